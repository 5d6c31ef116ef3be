"""Reads ledgers and applies the changes that operators make to them."""

from collections.abc import Callable
from typing import Any
import uuid

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import permit
from hibiscuspass.router import budget_operations

# Each attempt can lose to a late billing batch of the former holder; only a few
# such batches can still be in flight.
_MAX_ATTEMPTS = 20

_UNCONFIRMED = refusal.Refusal(
    reason.Reason.TIMEOUT,
    "the key-value service did not confirm the change; it may have taken"
    " effect, and repeating it with the same values is safe",
    run_state.RunState.UNKNOWN,
)


@attrs.frozen
class LedgerCopy:
    """A ledger as it was read; its revision is 0 if none is stored yet."""

    ledger: ledger_lib.Ledger
    revision: int


@attrs.frozen
class Decision:
    """How a grant in doubt was closed.

    Attributes:
      grant_id: Id of the grant.
      billed: Spend in the billing log before the decision.
      charged: Amount charged by the decision.
      freed: Amount returned to the free budget of the workspace.
    """

    grant_id: str
    billed: int
    charged: int
    freed: int


@attrs.frozen
class _BillingLog:
    """Summary of the billing log of a grant.

    Attributes:
      batches: Number of batches.
      settled: Total spend in the batches.
      charged: Amount charged by an operator's decision in the log.
      final_epoch: Epoch of the last batch if that batch is final, otherwise 0.
    """

    batches: int = 0
    settled: int = 0
    charged: int = 0
    final_epoch: int = 0


def decision_request_id(grant_id: str) -> str:
    """Returns the request id in the billing record of a decision."""
    return f"operator-decision/{grant_id}"


class LedgerStore:
    """Reads ledgers, adds top-ups and closes grants in doubt."""

    def __init__(
        self,
        store: kv_store.KvStore,
        process: incarnation.Incarnation,
        timeout_s: float,
    ) -> None:
        self._store = store
        self._process = process
        self._timeout_s = timeout_s

    async def read(self, workspace: str) -> LedgerCopy | refusal.Refusal:
        """Reads a ledger; returns an empty one if none is stored.

        Raises:
          ledger_lib.InvariantError: The stored ledger violates an invariant.
        """
        read = await self._store.get(
            ledger_codec.key(workspace), timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        for kv_entry in read.entries:
            return LedgerCopy(
                ledger_codec.decode(kv_entry.value), kv_entry.revision
            )
        return LedgerCopy(ledger_lib.Ledger(workspace), 0)

    async def top_up(
        self, workspace: str, top_up_id: str, amount: int
    ) -> ledger_lib.Ledger | refusal.Refusal:
        """Adds prepaid budget at most once per id.

        Returns:
          The ledger with the top-up, or a refusal: `CONFLICT` if the id exists
          with another amount, `TIMEOUT` if the outcome is not known.
        """
        return _replace_timeout(
            await budget_operations.top_up(
                self._store,
                workspace,
                top_up_id,
                amount,
                timeout_s=self._timeout_s,
            )
        )

    async def decide(
        self, workspace: str, grant_id: str, operation: str, charge: int
    ) -> Decision | refusal.Refusal:
        """Closes a grant whose holder and witness have certainly ended.

        First, the grant is taken over, so that no router can take it over any
        more. Then the charge is billed in a final batch, after which writers of
        all earlier epochs can append nothing. Last, the grant is closed in the
        ledger. If a step fails, a repeated decision continues after the last
        completed step.

        Args:
          workspace: Workspace of the grant.
          grant_id: Id of the grant.
          operation: Operation of the grant in the report that the decision is
            based on.
          charge: Amount to charge.
        """
        takeover = await self._take_over(workspace, grant_id, operation)
        if isinstance(takeover, refusal.Refusal):
            return takeover
        amount, epoch, new_operation = takeover
        billing_log = await self._bill(
            workspace, grant_id, epoch, amount, charge
        )
        if isinstance(billing_log, refusal.Refusal):
            return billing_log
        billed = billing_log.settled - billing_log.charged
        closed_ledger = await self._update(
            workspace,
            lambda led: ledger_lib.charge(
                led, grant_id, new_operation, billed, billing_log.charged
            ),
        )
        if isinstance(closed_ledger, refusal.Refusal):
            return closed_ledger
        return Decision(
            grant_id, billed, billing_log.charged, amount - billing_log.settled
        )

    async def _take_over(
        self, workspace: str, grant_id: str, operation: str
    ) -> tuple[int, int, str] | refusal.Refusal:
        """Takes a grant over; returns its amount, new epoch and operation."""
        new_operation = f"decision-{uuid.uuid4().hex}"
        ledger = await self._update(
            workspace,
            lambda led: ledger_lib.take_over(
                led, grant_id, operation, new_operation, self._process, None
            ),
        )
        if isinstance(ledger, refusal.Refusal):
            return ledger
        grant = ledger.grants[grant_id]
        return grant.amount, grant.epoch, new_operation

    async def _update(
        self, workspace: str, change: Callable[[ledger_lib.Ledger], Any]
    ) -> ledger_lib.Ledger | refusal.Refusal:
        return _replace_timeout(
            await budget_operations.update_ledger(
                self._store, workspace, change, timeout_s=self._timeout_s
            )
        )

    async def _read_log(
        self, workspace: str, grant_id: str
    ) -> _BillingLog | refusal.Refusal:
        read = await self._store.get_prefix(
            billing_batch.prefix(workspace, grant_id),
            timeout_s=self._timeout_s,
        )
        if isinstance(read, refusal.Refusal):
            return read
        batches = [billing_batch.decode(e.value) for e in read.entries]
        if not batches:
            return _BillingLog()
        decision_id = decision_request_id(grant_id)
        return _BillingLog(
            len(batches),
            batches[-1].settled,
            sum(
                r.cost
                for b in batches
                for r in b.records
                if r.request_id == decision_id
            ),
            batches[-1].epoch if batches[-1].final else 0,
        )

    async def _bill(
        self,
        workspace: str,
        grant_id: str,
        epoch: int,
        amount: int,
        charge: int,
    ) -> _BillingLog | refusal.Refusal:
        """Bills the charge in a final batch; returns the resulting log.

        If the log already ends with a final batch, of the epoch before this
        decision or of an earlier attempt at a decision, everything is billed
        and nothing is added.
        """
        for _ in range(_MAX_ATTEMPTS):
            billing_log = await self._read_log(workspace, grant_id)
            if isinstance(billing_log, refusal.Refusal):
                return billing_log
            if billing_log.final_epoch >= epoch - 1:
                return billing_log
            if not 0 <= charge <= amount - billing_log.settled:
                return refusal.Refusal(
                    reason.Reason.INVALID_REQUEST,
                    f"charge {charge} is not allowed; allowed: 0 to"
                    f" {amount - billing_log.settled}",
                )
            batch = billing_batch.BillingBatch(
                self._billing_records(grant_id, charge),
                billing_log.settled + charge,
                epoch,
                final=True,
            )
            await self._store.compare_and_swap(
                billing_batch.key(workspace, grant_id, billing_log.batches),
                0,
                billing_batch.encode(batch),
                timeout_s=self._timeout_s,
            )
        return _UNCONFIRMED

    def _billing_records(
        self, grant_id: str, charge: int
    ) -> tuple[billing_batch.BillingRecord, ...]:
        if charge == 0:
            return ()
        return (
            billing_batch.BillingRecord(
                request_id=decision_request_id(grant_id),
                grant_id=grant_id,
                cost=charge,
                kind=permit.CostKind.ESTIMATED,
                entry=str(self._process),
                model="",
            ),
        )


def _replace_timeout(
    outcome: ledger_lib.Ledger | refusal.Refusal,
) -> ledger_lib.Ledger | refusal.Refusal:
    if (
        isinstance(outcome, refusal.Refusal)
        and outcome.reason is reason.Reason.TIMEOUT
    ):
        return _UNCONFIRMED
    return outcome
