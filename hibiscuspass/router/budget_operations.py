"""Budget changes by operators, for administration programs."""

from collections.abc import Callable

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import permit as permit_lib

# Holders write the same key, so conflicts are common, but this many in a row
# are not.
_MAX_ATTEMPTS = 20

_Change = Callable[[ledger_lib.Ledger], ledger_lib.Ledger | refusal.Refusal]


async def update_ledger(
    kv: kv_store.KvStore,
    workspace: str,
    change: _Change,
    *,
    timeout_s: float,
) -> ledger_lib.Ledger | refusal.Refusal:
    """Applies an idempotent change to a ledger by compare-and-swap.

    After a conflict or a lost reply the ledger is read again and the change is
    applied to the stored value, so it takes effect only once.

    Args:
      kv: Key-value service.
      workspace: Workspace to change; its ledger may be absent.
      change: Returns the changed ledger, an equal one if the change is already
        applied, or a refusal.
      timeout_s: Time limit of each call in seconds.

    Returns:
      The ledger with the change; the refusal of `change`; the service's
      refusal (after `TIMEOUT` the change may have taken effect); or `CONFLICT`
      after many conflicts.
    """
    key = ledger_codec.key(workspace)
    last_timeout: refusal.Refusal | None = None
    for _ in range(_MAX_ATTEMPTS):
        stored = await kv.get(key, timeout_s=timeout_s)
        if isinstance(stored, refusal.Refusal):
            return last_timeout or stored
        ledger, revision = ledger_lib.Ledger(workspace), 0
        if stored.entries:
            ledger = ledger_codec.decode(stored.entries[0].value)
            revision = stored.entries[0].revision
        updated = change(ledger)
        if isinstance(updated, refusal.Refusal) or updated == ledger:
            return updated
        result = await kv.compare_and_swap(
            key, revision, ledger_codec.encode(updated), timeout_s=timeout_s
        )
        if isinstance(result, refusal.Refusal):
            if result.reason is not reason_lib.Reason.TIMEOUT:
                return last_timeout or result
            last_timeout = result
        elif result.succeeded:
            return updated
    return last_timeout or refusal.Refusal(
        reason_lib.Reason.CONFLICT,
        f"ledger {workspace!r} changed during each of {_MAX_ATTEMPTS} tries",
    )


async def top_up(
    kv: kv_store.KvStore,
    workspace: str,
    top_up_id: str,
    amount: int,
    *,
    timeout_s: float,
) -> ledger_lib.Ledger | refusal.Refusal:
    """Adds prepaid units once per `top_up_id`; creates the ledger if absent."""
    return await update_ledger(
        kv,
        workspace,
        lambda ledger: ledger_lib.top_up(ledger, top_up_id, amount),
        timeout_s=timeout_s,
    )


async def charge_in_doubt(
    kv: kv_store.KvStore,
    workspace: str,
    grant_id: str,
    operation: str,
    charged: int,
    *,
    timeout_s: float,
) -> ledger_lib.Ledger | refusal.Refusal:
    """Charges and closes a grant whose holder and witness are gone.

    Writes a final billing batch for `charged` units, then closes the grant.
    The final batch has a higher epoch than the grant, so it also fences a
    holder that was only paused. A repeated call finds the batch and only
    closes the grant.

    Args:
      kv: Key-value service.
      workspace: Workspace of the grant.
      grant_id: Grant in doubt.
      operation: Operation id of the grant, as the operator's report showed it.
      charged: Units to charge in addition to those in the billing log.
      timeout_s: Time limit of each call in seconds.

    Returns:
      The new ledger, or a refusal: `NOT_FOUND` or `STALE` if the grant is
      closed or was taken over, `INVALID_REQUEST` for an amount out of range,
      or the service's refusal, after which the call may be repeated.
    """
    stored = await kv.get(ledger_codec.key(workspace), timeout_s=timeout_s)
    if isinstance(stored, refusal.Refusal):
        return stored
    ledger = ledger_lib.Ledger(workspace)
    if stored.entries:
        ledger = ledger_codec.decode(stored.entries[0].value)
    log = await kv.get_prefix(
        billing_batch.prefix(workspace, grant_id), timeout_s=timeout_s
    )
    if isinstance(log, refusal.Refusal):
        return log
    batches = [billing_batch.decode(e.value) for e in log.entries]
    logged = batches[-1].settled if batches else 0
    if batches and _is_operator_batch(batches[-1], grant_id):
        charged = sum(r.cost for r in batches[-1].records)
        logged -= charged
    checked = ledger_lib.charge(ledger, grant_id, operation, logged, charged)
    if isinstance(checked, refusal.Refusal):
        return checked
    if grant_id not in ledger.grants:
        return refusal.Refusal(
            reason_lib.Reason.NOT_FOUND, f"grant {grant_id!r} is not open"
        )
    if not (batches and _is_operator_batch(batches[-1], grant_id)):
        batch = _make_operator_batch(
            grant_id, logged, charged, ledger.grants[grant_id].epoch
        )
        written = await kv.compare_and_swap(
            billing_batch.key(workspace, grant_id, len(batches)),
            0,
            billing_batch.encode(batch),
            timeout_s=timeout_s,
        )
        if isinstance(written, refusal.Refusal):
            return written
        if not written.succeeded:
            return refusal.Refusal(
                reason_lib.Reason.CONFLICT,
                f"grant {grant_id!r} has a new billing batch; it is in use",
            )
    return await update_ledger(
        kv,
        workspace,
        lambda current: ledger_lib.charge(
            current, grant_id, operation, logged, charged
        ),
        timeout_s=timeout_s,
    )


def _operator_request_id(grant_id: str) -> str:
    return f"operator:{grant_id}"


def _is_operator_batch(
    batch: billing_batch.BillingBatch, grant_id: str
) -> bool:
    return batch.final and all(
        r.request_id == _operator_request_id(grant_id) for r in batch.records
    )


def _make_operator_batch(
    grant_id: str, logged: int, charged: int, epoch: int
) -> billing_batch.BillingBatch:
    record = billing_batch.BillingRecord(
        _operator_request_id(grant_id),
        grant_id,
        charged,
        permit_lib.CostKind.ESTIMATED,
        "operator",
        "",
    )
    return billing_batch.BillingBatch(
        (record,) if charged else (), logged + charged, epoch + 1, final=True
    )
