"""A grant that this router holds."""

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
from hibiscuspass.core.budget import replica as replica_lib
from hibiscuspass.core.budget import request_claims
from hibiscuspass.core.budget import settlement_notices
from hibiscuspass.core.budget import witness_messages

_OPEN = permit_row.RowState.OPEN
_SETTLED = permit_row.RowState.SETTLED
_BILLED = permit_row.RowState.BILLED
_REMOVED = permit_row.RowState.REMOVED


class HeldGrant:
    """Permit table, its copy at the witness, and its billing log.

    Attributes:
      workspace: Workspace that pays.
      id: Id of the grant; `operation` names its `epoch`.
      witness: Router that acknowledges permits; None for a solo grant.
      amount: Amount in the ledger; `ceiling`: a lower one of an open write.
      standing: Whether it is a standing reserve; `closing`: about to be
        closed; `frozen`: being handed over.
      table: The permits; `billing` is their log.
      claims: Claims of requests that other grants may bill as well.
      proposal: Change of witness on its way into the ledger.
      waiters: Asks that wait for the witness.
      used_at_s: Time of the latest permit.
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
        self.ceiling: int | None = None
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
            on_logged=self._on_logged,
        )
        self.claims = request_claims.RequestClaims(
            ctx,
            workspace,
            grant.id,
            on_won=self._bill,
            on_lost=self._release_claimed,
        )
        self.proposal: proposal_lib.Proposal | None = None
        self.waiters = ask_waiters.AskWaiters()
        self.used_at_s = ctx.now_s
        self.notices = settlement_notices.SettlementNotices(ctx, grant.id)
        self._replica = self._make_replica()
        for row in self.table.rows.values():
            self._acknowledge(row)

    @property
    def usable(self) -> int:
        """Amount that is certainly granted whatever becomes of a write."""
        ceiling = self.amount if self.ceiling is None else self.ceiling
        return min(self.amount, ceiling)

    @property
    def available(self) -> int:
        """Amount that new permits can hold."""
        return self.usable - self.table.settled - self.table.held

    @property
    def returnable(self) -> int:
        """Amount that can go back to the ledger.

        A router that takes the grant over starts from the witness's table, so
        the remaining amount must cover the holds that the witness knows.
        """
        lacks = self._replica is not None and self._replica.lacks_release
        if self.proposal is not None or self.frozen or lacks:
            return 0
        return max(0, self.available)

    @property
    def can_issue(self) -> bool:
        """Whether new permits can be issued now."""
        return not (self.closing or self.frozen) and self.proposal is None

    @property
    def is_stuck(self) -> bool:
        """Whether its witness doesn't answer."""
        return self._replica is not None and self._replica.is_late

    @property
    def ready_to_close(self) -> bool:
        """Whether all spend is in the log under a final batch."""
        return (
            self.closing
            and not self.frozen
            and self.billing.final
            and self.table.open_count == 0
            and self.table.unlogged == 0
        )

    def open(self, sender: incarnation.Incarnation, ask: messages.Ask) -> None:
        """Holds the worst case of a request; the caller checked the room."""
        self.used_at_s = self._ctx.now_s
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
        self.put(row)

    def reassign(
        self,
        row: permit_row.PermitRow,
        sender: incarnation.Incarnation,
        ask: messages.Ask,
    ) -> None:
        """Gives the permit of a router that is gone to a retry."""
        self.waiters.add(sender, ask)
        self.put(permit_row.reassigned(row, ask.attempt_id, sender))

    def is_acknowledged(self, request_id: str) -> bool:
        """Whether the witness has the present row of a request."""
        if self._replica is None:
            return True
        if self.proposal is not None and request_id in self.proposal.changed:
            return False
        return not self._replica.waits_for(request_id)

    def settle(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        """Takes in the final cost of an attempt."""
        row = self.table.rows.get(msg.request_id)
        if (
            row is None
            or row.attempt_id != msg.attempt_id
            or row.state is _BILLED
        ):
            # It was billed or found void earlier.
            self.notices.add(sender, msg.attempt_id)
        elif row.state is _OPEN:
            self.finish(row, msg.cost, msg.kind)

    def finish(
        self,
        row: permit_row.PermitRow,
        cost: int,
        kind: permit_lib.CostKind,
    ) -> None:
        """Settles an open permit; cost 0 means that it was not used."""
        if cost <= 0:
            self.release(row)
            self.notices.add(row.entry, row.attempt_id)
        else:
            self.put(permit_row.settled(row, cost, kind))

    def release(self, row: permit_row.PermitRow) -> None:
        """Ends an open permit that its attempt has not used."""
        self.put(permit_row.released(row))

    def put(self, row: permit_row.PermitRow) -> None:
        """Changes the table and queues the row for the witness."""
        self.table.put(row)
        if row.state is not _OPEN:
            self.waiters.pop(row)
        if self.proposal is not None:
            self.proposal.changed[row.request_id] = row
        if self._replica is not None:
            self._replica.put(row)
        if self._usable_before_acknowledgement():
            self._acknowledge(row)

    def pump(self) -> None:
        """Sends what is due."""
        if self.frozen:
            return
        wakes = [
            self._pump_replica(),
            self._pump_proposal(),
            self.claims.pump(),
        ]
        final = self.closing and self._quiet_but_log
        wakes.append(self.billing.pump(self.epoch, closing=final))
        self.notices.flush()
        for at_s in wakes:
            if at_s is not None:
                self._ctx.wake(self.workspace, at_s)

    @property
    def _quiet_but_log(self) -> bool:
        return self.table.open_count == 0 and len(self.billing.pending) == sum(
            r.state is _SETTLED for r in self.table.rows.values()
        )

    def on_appended(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.RowsAppended,
    ) -> None:
        """Takes in an acknowledgement of the witness."""
        replica = self._replica
        expected = msg.operation == self.operation and sender == self.witness
        if replica is None or self.frozen or not expected:
            return
        if msg.sealed:
            self.propose()
            return
        if self.proposal is not None:
            if self.proposal.may_apply or not self._ctx.fleet.is_live(sender):
                # Too late: the next witness must know each permit in use.
                return
            self.cancel_proposal()
        for row in replica.on_appended(msg):
            self._acknowledge(row)

    def propose(self) -> None:
        """Starts to replace the witness."""
        if self.proposal is not None or self.frozen:
            return
        new = proposal_lib.Proposal(
            self._ctx,
            self.workspace,
            self.id,
            self.operation,
            self.epoch + 1,
            self.table.snapshot(),
        )
        if new.witness is not None:
            self.proposal = new
            self._ctx.emit(
                "witness.replacing",
                workspace=self.workspace,
                grant_id=self.id,
            )

    def activate(self, grant: grant_lib.Grant) -> None:
        """Begins the epoch of the proposal, which is in the ledger now."""
        done = self.proposal
        assert done is not None
        old_witness, old_operation = self.witness, self.operation
        self.proposal = None
        self.operation = grant.operation
        self.epoch = grant.epoch
        self.witness = grant.witness
        self._replica = self._make_replica()
        if self._replica is not None:
            self._replica.put_all(done.changed.values())
        for row in done.table.rows:
            if self.table.rows.get(row.request_id) == row:
                self._acknowledge(row)
        if old_witness is not None:
            self._ctx.send(
                old_witness,
                witness_messages.ForgetTable(
                    self._ctx.next_id(), old_witness, self.id, old_operation
                ),
            )

    def _usable_before_acknowledgement(self) -> bool:
        # Once a witness is proposed, it must know a settlement before its bill.
        return self.witness is None and self.proposal is None

    def cancel_proposal(self) -> None:
        """Goes on in the present epoch."""
        done, self.proposal = self.proposal, None
        if done is not None and self.witness is None:
            for row in done.changed.values():
                self._acknowledge(row)

    def _make_replica(self) -> replica_lib.Replica | None:
        if self.witness is None:
            return None
        return replica_lib.Replica(
            self._ctx, self.workspace, self.id, self.operation, self.witness
        )

    def _pump_replica(self) -> float | None:
        if self._replica is None:
            return None
        if self.proposal is not None and self.proposal.may_apply:
            return None
        at_s = self._replica.pump(self.table)
        assert self.witness is not None
        if self._replica.tries > self._ctx.timing.append_tries:
            if self.proposal is None:
                self._ctx.mark_unresponsive(self.witness)
            self.propose()
        elif self._ctx.fleet.is_gone(self.witness):
            self.propose()
        return at_s

    def _pump_proposal(self) -> float | None:
        if self.proposal is None:
            return None
        at_s = self.proposal.pump()
        if self.proposal.witness is None:
            self.cancel_proposal()
        return at_s

    def _acknowledge(self, row: permit_row.PermitRow) -> None:
        """Uses a row that the witness has."""
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
            self.billing.add(billing_batch.record_of(row, self.id))

    def _release_claimed(self, row: permit_row.PermitRow) -> None:
        if self.table.rows.get(row.request_id) == row and not self.frozen:
            self.put(permit_row.removed(row))
            self.notices.add(row.entry, row.attempt_id)

    def contest(
        self,
        row: permit_row.PermitRow,
        sender: incarnation.Incarnation,
        ask: messages.Ask,
    ) -> None:
        """Records that the entry router has asked another router since."""
        self.waiters.add(sender, ask)
        self.put(attrs.evolve(row, contested=True))

    def _answer_waiters(self, row: permit_row.PermitRow) -> None:
        for sender, ask in self.waiters.pop(row):
            self._ctx.send(sender, self.granted(row, ask.ask_id))

    def granted(
        self, row: permit_row.PermitRow, ask_id: int
    ) -> messages.PermitGranted:
        """Returns the answer for an acknowledged open permit."""
        return ask_answers.granted(
            row, ask_id, self.workspace, self.id, self.epoch
        )

    def _on_logged(
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
            rows.append(permit_row.billed(row, record.cost, record.kind))
        self.table.apply(rows, batches, logged)
        if self.frozen:
            return
        if self.proposal is not None:
            self.proposal.changed.update((r.request_id, r) for r in rows)
        if self._replica is not None:
            self._replica.put_all(rows)
            self._replica.note_log()
