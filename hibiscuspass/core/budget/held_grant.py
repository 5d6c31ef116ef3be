"""A grant that this router holds and issues permits from."""

from collections.abc import Iterable

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import ask_answers
from hibiscuspass.core.budget import ask_waiters
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import billing_log
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import proposal as proposal_lib
from hibiscuspass.core.budget import request_claims
from hibiscuspass.core.budget import settlement_notices
from hibiscuspass.core.budget import table_replicator
from hibiscuspass.core.budget import witness_messages

_OPEN = permit_row.RowState.OPEN
_SETTLED = permit_row.RowState.SETTLED
_BILLED = permit_row.RowState.BILLED
_REMOVED = permit_row.RowState.REMOVED


class HeldGrant:
    """Keeps the permit table of a grant, its replica and its billing log.

    Each changed row is sent to the witness. A permit is handed out, and a
    settlement billed, only after the witness has acknowledged the row.

    Attributes:
      workspace: Workspace that pays.
      id: Id of the grant.
      operation: Id of the ledger change that began the current epoch.
      epoch: Current epoch of the grant.
      witness: Router that acknowledges permits; None for a solo grant.
      amount: Amount of the grant in the latest known ledger.
      pending_amount: Lower amount in a ledger write of unknown outcome, if any.
      is_reserve: Whether the grant is the reserve of a failure domain.
      closing: Whether the grant is to be closed and issues no more permits.
      frozen: Whether the grant is being handed over to another router.
      table: Permits of the grant.
      billing: Billing log of the grant.
      claims: Claims of requests that other grants may bill as well.
      proposal: Change of witness that the ledger does not contain yet.
      waiters: Asks that wait for the witness to acknowledge their permits.
      last_used_at_s: Time at which the latest permit was opened.
      notices: Notices of durable settlements for the entry routers.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        workspace: str,
        grant: grant_lib.Grant,
        snapshot: permit_table.TableSnapshot | None = None,
    ) -> None:
        self._ctx = ctx
        self.workspace = workspace
        self.id = grant.id
        self.operation = grant.operation
        self.epoch = grant.epoch
        self.witness = grant.witness
        self.amount = grant.amount
        self.pending_amount: int | None = None
        self.is_reserve = False
        self.closing = False
        self.frozen = False
        self.table = permit_table.PermitTable(snapshot)
        self.billing = billing_log.BillingLog(
            ctx,
            workspace,
            grant.id,
            batches=self.table.batches,
            logged=self.table.logged,
            on_batch_durable=self._on_batch_durable,
        )
        self.claims = request_claims.RequestClaims(
            ctx, workspace, grant.id, on_won=self._bill, on_lost=self._remove
        )
        self.proposal: proposal_lib.Proposal | None = None
        self.waiters = ask_waiters.AskWaiters()
        self.last_used_at_s = ctx.now_s
        self.notices = settlement_notices.SettlementNotices(ctx, grant.id)
        self._replicator = self._make_replicator()
        for row in self.table.rows.values():
            self._on_row_acknowledged(row)

    @property
    def confirmed_amount(self) -> int:
        """Amount that is granted whether or not a pending write succeeds."""
        pending_amount = (
            self.amount if self.pending_amount is None else self.pending_amount
        )
        return min(self.amount, pending_amount)

    @property
    def available(self) -> int:
        """Amount that is neither spent nor held by open permits."""
        return self.confirmed_amount - self.table.settled - self.table.held

    @property
    def returnable(self) -> int:
        """Amount that can be returned to the ledger."""
        # A router that takes the grant over starts from the witness's table, so
        # the remaining amount must cover the holds in that table.
        witness_lags = (
            self._replicator is not None and self._replicator.awaits_release_ack
        )
        if self.proposal is not None or self.frozen or witness_lags:
            return 0
        return max(0, self.available)

    @property
    def can_issue(self) -> bool:
        """Whether new permits can be issued now."""
        return not (self.closing or self.frozen) and self.proposal is None

    @property
    def witness_is_unresponsive(self) -> bool:
        """Whether the witness has not answered an append in time."""
        return self._replicator is not None and self._replicator.is_unresponsive

    @property
    def ready_to_close(self) -> bool:
        """Whether all spend is durable and a final batch ends the log."""
        return (
            self.closing
            and not self.frozen
            and self.billing.final
            and self.table.open_count == 0
            and self.table.unlogged == 0
        )

    def open(self, sender: incarnation.Incarnation, ask: messages.Ask) -> None:
        """Opens a permit for a request whose worst-case cost is available."""
        self.last_used_at_s = self._ctx.now_s
        row = permit_row.PermitRow(
            ask.request_id,
            ask.attempt_id,
            sender,
            ask.worst_case,
            ask.keyed,
            ask.model,
            contested=ask.contested,
        )
        self.waiters.add(sender, ask)
        self.update_row(row)

    def reassign(
        self,
        row: permit_row.PermitRow,
        sender: incarnation.Incarnation,
        ask: messages.Ask,
    ) -> None:
        """Assigns the permit of an entry router that is gone to a retry."""
        self.waiters.add(sender, ask)
        self.update_row(permit_row.as_reassigned(row, ask.attempt_id, sender))

    def is_acknowledged(self, request_id: str) -> bool:
        """Whether the witness has the current row of a request."""
        if self._replicator is None:
            return True
        if self.proposal is not None and request_id in self.proposal.changed:
            return False
        return not self._replicator.awaits_acknowledgement(request_id)

    def settle(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        """Records the final cost of an attempt."""
        row = self.table.rows.get(msg.request_id)
        if (
            row is None
            or row.attempt_id != msg.attempt_id
            or row.state is _BILLED
        ):
            # The permit was billed or released earlier.
            self.notices.add(sender, msg.attempt_id)
        elif row.state is _OPEN:
            self.finish(row, msg.cost, msg.kind)

    def finish(
        self, row: permit_row.PermitRow, cost: int, kind: permit_lib.CostKind
    ) -> None:
        """Settles an open permit, or releases it if the cost is 0."""
        if cost <= 0:
            self.release(row)
            self.notices.add(row.entry, row.attempt_id)
        else:
            self.update_row(permit_row.as_settled(row, cost, kind))

    def release(self, row: permit_row.PermitRow) -> None:
        """Releases the hold of an open permit that was not used."""
        self.update_row(permit_row.as_released(row))

    def update_row(self, row: permit_row.PermitRow) -> None:
        """Stores a row in the table and queues it for the witness."""
        self.table.store_row(row)
        if row.state is not _OPEN:
            self.waiters.pop(row)
        if self.proposal is not None:
            self.proposal.changed[row.request_id] = row
        if self._replicator is not None:
            self._replicator.queue_row(row)
        if self._usable_before_acknowledgement():
            self._on_row_acknowledged(row)

    def pump(self) -> None:
        """Sends due messages and starts due key-value calls."""
        if self.frozen:
            return
        wakes = [self._replicate(), self._pump_proposal(), self.claims.pump()]
        final = self.closing and self._ready_for_final_batch
        wakes.append(self.billing.pump(self.epoch, closing=final))
        self.notices.flush()
        for at_s in wakes:
            if at_s is not None:
                self._ctx.wake(self.workspace, at_s)

    @property
    def _ready_for_final_batch(self) -> bool:
        # No permit is open, and each settled one is queued for billing.
        return self.table.open_count == 0 and len(self.billing.pending) == sum(
            r.state is _SETTLED for r in self.table.rows.values()
        )

    def on_rows_appended(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.RowsAppended,
    ) -> None:
        """Handles the witness's acknowledgement of appended rows."""
        replicator = self._replicator
        expected = msg.operation == self.operation and sender == self.witness
        if replicator is None or self.frozen or not expected:
            return
        if msg.sealed:
            self.propose_witness()
            return
        if self.proposal is not None:
            if self.proposal.may_apply or not self._ctx.fleet.is_live(sender):
                # The acknowledgement is too late: the next witness would not
                # know a permit that is handed out now.
                return
            self.cancel_proposal()
        for row in replicator.on_rows_appended(msg):
            self._on_row_acknowledged(row)

    def propose_witness(self) -> None:
        """Proposes another witness for the grant."""
        if self.proposal is not None or self.frozen:
            return
        proposal = proposal_lib.Proposal(
            self._ctx,
            self.workspace,
            self.id,
            self.operation,
            self.epoch + 1,
            self.table.snapshot(),
        )
        if proposal.witness is not None:
            self.proposal = proposal
            self._ctx.emit(
                "witness.replacing", workspace=self.workspace, grant_id=self.id
            )

    def activate_proposal(self, grant: grant_lib.Grant) -> None:
        """Begins the epoch of the proposal after the ledger contains it."""
        proposal = self.proposal
        assert proposal is not None
        old_witness, old_operation = self.witness, self.operation
        self.proposal = None
        self.operation = grant.operation
        self.epoch = grant.epoch
        self.witness = grant.witness
        self._replicator = self._make_replicator()
        if self._replicator is not None:
            self._replicator.queue_rows(proposal.changed.values())
        for row in proposal.table.rows:
            if self.table.rows.get(row.request_id) == row:
                self._on_row_acknowledged(row)
        if old_witness is not None:
            self._ctx.send(
                old_witness,
                witness_messages.ForgetTable(
                    self._ctx.next_id(), old_witness, self.id, old_operation
                ),
            )

    def _usable_before_acknowledgement(self) -> bool:
        # A proposed witness must have a settlement before it is billed.
        return self.witness is None and self.proposal is None

    def cancel_proposal(self) -> None:
        """Discards the proposal and continues the current epoch."""
        proposal, self.proposal = self.proposal, None
        if proposal is not None and self.witness is None:
            for row in proposal.changed.values():
                self._on_row_acknowledged(row)

    def _make_replicator(self) -> table_replicator.TableReplicator | None:
        if self.witness is None:
            return None
        return table_replicator.TableReplicator(
            self._ctx, self.workspace, self.id, self.operation, self.witness
        )

    def _replicate(self) -> float | None:
        if self._replicator is None:
            return None
        if self.proposal is not None and self.proposal.may_apply:
            return None
        at_s = self._replicator.pump(self.table)
        assert self.witness is not None
        if self._replicator.tries > self._ctx.timing.append_tries:
            if self.proposal is None:
                self._ctx.mark_unresponsive(self.witness)
            self.propose_witness()
        elif self._ctx.fleet.is_gone(self.witness):
            self.propose_witness()
        return at_s

    def _pump_proposal(self) -> float | None:
        if self.proposal is None:
            return None
        at_s = self.proposal.pump()
        if self.proposal.witness is None:
            self.cancel_proposal()
        return at_s

    def _on_row_acknowledged(self, row: permit_row.PermitRow) -> None:
        """Answers or bills a row that the witness has acknowledged."""
        if self.table.rows.get(row.request_id) != row:
            return
        if row.state is _SETTLED:
            if request_claims.is_needed(row):
                self.claims.add(row)
            else:
                self._bill(row)
        elif row.state is _OPEN:
            self._answer_waiters(row)

    def _bill(self, row: permit_row.PermitRow) -> None:
        if self.table.rows.get(row.request_id) == row:
            self.billing.add(billing_batch.make_record(row, self.id))

    def _remove(self, row: permit_row.PermitRow) -> None:
        if self.table.rows.get(row.request_id) == row and not self.frozen:
            self.update_row(permit_row.as_removed(row))
            self.notices.add(row.entry, row.attempt_id)

    def mark_contested(
        self,
        row: permit_row.PermitRow,
        sender: incarnation.Incarnation,
        ask: messages.Ask,
    ) -> None:
        """Marks a permit whose request another router may have granted too."""
        self.waiters.add(sender, ask)
        self.update_row(attrs.evolve(row, contested=True))

    def _answer_waiters(self, row: permit_row.PermitRow) -> None:
        for sender, ask in self.waiters.pop(row):
            self._ctx.send(sender, self.permit_granted(row, ask.ask_id))

    def permit_granted(
        self, row: permit_row.PermitRow, ask_id: int
    ) -> messages.PermitGranted:
        """Returns the answer to an ask whose open permit is acknowledged."""
        return ask_answers.permit_granted(
            row, ask_id, self.workspace, self.id, self.epoch
        )

    def _on_batch_durable(
        self,
        records: Iterable[billing_batch.BillingRecord],
        batches: int,
        logged: int,
    ) -> None:
        rows = []
        for record in records:
            row = self.table.rows.get(record.request_id)
            if row is None or row.state in (_BILLED, _REMOVED):
                continue
            self.notices.add(row.entry, row.attempt_id)
            rows.append(permit_row.as_billed(row, record.cost, record.kind))
        self.table.apply(rows, batches, logged)
        if self.frozen:
            return
        if self.proposal is not None:
            self.proposal.changed.update((r.request_id, r) for r in rows)
        if self._replicator is not None:
            self._replicator.queue_rows(rows)
            self._replicator.queue_log_position()
