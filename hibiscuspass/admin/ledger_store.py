"""Changes that operators make to ledgers."""

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

# A batch of the former holder can still arrive; few can be on their way.
_MAX_ATTEMPTS = 20

_UNCONFIRMED = refusal.Refusal(
    reason.Reason.TIMEOUT,
    "the key-value service did not confirm the change; it may have taken"
    " effect, and repeating it with the same values is safe",
    run_state.RunState.UNKNOWN,
)


@attrs.frozen
class LedgerCopy:
    """A ledger as it was read; revision 0 if there is none yet."""

    ledger: ledger_lib.Ledger
    revision: int


@attrs.frozen
class Decision:
    """How a grant in doubt was closed.

    Attributes:
      grant_id: The grant.
      billed: Spend in the billing log before the decision.
      charged: Amount that the operator charged.
      freed: Amount that can be spent again.
    """

    grant_id: str
    billed: int
    charged: int
    freed: int


@attrs.frozen
class _Log:
    """Billing log of a grant.

    Attributes:
      batches: Number of batches.
      settled: Spend in them.
      charged: Amount of a decision in it.
      final_epoch: Epoch of the last batch if that is final, otherwise 0.
    """

    batches: int = 0
    settled: int = 0
    charged: int = 0
    final_epoch: int = 0


def decision_request_id(grant_id: str) -> str:
    """Returns the request id of the billing record of a decision."""
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
        """Reads a ledger; an empty one if there is none.

        Raises:
          ledger_lib.InvariantError: The stored ledger contradicts itself.
        """
        read = await self._store.get(
            ledger_codec.key(workspace), timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        for found in read.entries:
            return LedgerCopy(ledger_codec.decode(found.value), found.revision)
        return LedgerCopy(ledger_lib.Ledger(workspace), 0)

    async def top_up(
        self, workspace: str, top_up_id: str, amount: int
    ) -> ledger_lib.Ledger | refusal.Refusal:
        """Adds prepaid budget once per id.

        Returns:
          The ledger with the top-up, or a refusal: `CONFLICT` if the id exists
          with another amount, `TIMEOUT` if the outcome is not known.
        """
        return _mark_unknown(
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
        """Closes a grant whose holder and witness are certainly gone.

        The grant is first taken over, so that no router can do so any more;
        then the charge is billed in a final batch, which binds writers of all
        earlier epochs; then the grant is closed. After a fault in between, a
        repeated decision goes on where this one ended.

        Args:
          workspace: Workspace of the grant.
          grant_id: The grant.
          operation: Operation of the grant that the operator saw.
          charge: Amount to charge.
        """
        taken = await self._take_over(workspace, grant_id, operation)
        if isinstance(taken, refusal.Refusal):
            return taken
        amount, epoch, new_operation = taken
        log = await self._bill(workspace, grant_id, epoch, amount, charge)
        if isinstance(log, refusal.Refusal):
            return log
        billed = log.settled - log.charged
        closed = await self._update(
            workspace,
            lambda led: ledger_lib.charge(
                led, grant_id, new_operation, billed, log.charged
            ),
        )
        if isinstance(closed, refusal.Refusal):
            return closed
        return Decision(grant_id, billed, log.charged, amount - log.settled)

    async def _take_over(
        self, workspace: str, grant_id: str, operation: str
    ) -> tuple[int, int, str] | refusal.Refusal:
        """Returns amount, epoch and operation of the grant taken over."""
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
        return _mark_unknown(
            await budget_operations.update_ledger(
                self._store, workspace, change, timeout_s=self._timeout_s
            )
        )

    async def _read_log(
        self, workspace: str, grant_id: str
    ) -> _Log | refusal.Refusal:
        read = await self._store.get_prefix(
            billing_batch.prefix(workspace, grant_id),
            timeout_s=self._timeout_s,
        )
        if isinstance(read, refusal.Refusal):
            return read
        batches = [billing_batch.decode(e.value) for e in read.entries]
        if not batches:
            return _Log()
        own = decision_request_id(grant_id)
        return _Log(
            len(batches),
            batches[-1].settled,
            sum(
                r.cost
                for b in batches
                for r in b.records
                if r.request_id == own
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
    ) -> _Log | refusal.Refusal:
        """Writes the charge; returns the finished log.

        A final batch of the epoch before this decision, or of an earlier
        decision, has billed everything; nothing is added to it.
        """
        for _ in range(_MAX_ATTEMPTS):
            log = await self._read_log(workspace, grant_id)
            if isinstance(log, refusal.Refusal):
                return log
            if log.final_epoch >= epoch - 1:
                return log
            if not 0 <= charge <= amount - log.settled:
                return refusal.Refusal(
                    reason.Reason.INVALID_REQUEST,
                    f"charge {charge} is not allowed; allowed: 0 to"
                    f" {amount - log.settled}",
                )
            batch = billing_batch.BillingBatch(
                self._records(grant_id, charge),
                log.settled + charge,
                epoch,
                final=True,
            )
            await self._store.compare_and_swap(
                billing_batch.key(workspace, grant_id, log.batches),
                0,
                billing_batch.encode(batch),
                timeout_s=self._timeout_s,
            )
        return _UNCONFIRMED

    def _records(
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


def _mark_unknown(
    outcome: ledger_lib.Ledger | refusal.Refusal,
) -> ledger_lib.Ledger | refusal.Refusal:
    if (
        isinstance(outcome, refusal.Refusal)
        and outcome.reason is reason.Reason.TIMEOUT
    ):
        return _UNCONFIRMED
    return outcome
