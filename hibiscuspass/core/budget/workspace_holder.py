"""Holds the grants of one workspace on one router.

The holder role of the budget protocol: it issues permits to entry routers.
"""

from collections.abc import Callable

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import ask_answers
from hibiscuspass.core.budget import grant_reconciler
from hibiscuspass.core.budget import ledger_client
from hibiscuspass.core.budget import ledger_planner
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_issuer
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import witness_messages
from hibiscuspass.core.budget import workspace_state

_LedgerCallback = Callable[[ledger_client.LedgerClient], None]


class WorkspaceHolder:
    """Issues permits and reconciles the held grants with the ledger.

    Each event changes the state and then calls `pump`, which performs all
    actions that the new state allows. The next value of the ledger is always
    planned from the latest known one, and local state only follows a ledger
    that was read back or certainly written, so a lost reply needs no special
    case.

    Attributes:
      workspace: Workspace whose grants are held.
      state: Grants, asks and the latest known ledger.
      reconciler: Updates held grants from the ledger and takes grants over.
      issuer: Answers asks for permits.
    """

    reconciler_type: type[grant_reconciler.GrantReconciler] = (
        grant_reconciler.GrantReconciler
    )
    issuer_type: type[permit_issuer.PermitIssuer] = permit_issuer.PermitIssuer

    def __init__(self, ctx: node_context.NodeContext, workspace: str) -> None:
        self._ctx = ctx
        self.workspace = workspace
        self.state = workspace_state.WorkspaceState(ctx, workspace)
        self.reconciler = self.reconciler_type(self.state)
        self.issuer = self.issuer_type(self.state, self.reconciler)
        self.reconciler.requeue = self.issuer.on_ask
        self._planner = ledger_planner.LedgerPlanner(self.state)
        self._ledger_callbacks: list[tuple[int, _LedgerCallback]] = []

    @property
    def is_idle(self) -> bool:
        """Whether this object has no state and can be discarded."""
        return not (self._needs_ledger() or self.state.ledger_client.busy)

    def on_ask(
        self, sender: incarnation.Incarnation, msg: messages.Ask
    ) -> None:
        """Answers an ask for a permit now, or queues it."""
        self.issuer.on_ask(sender, msg)

    def on_status_answer(
        self, sender: incarnation.Incarnation, msg: messages.StatusAnswer
    ) -> None:
        """Handles an entry router's answer to a status check."""
        self.reconciler.on_status_answer(sender, msg)

    def on_recall_budget(
        self, sender: incarnation.Incarnation, msg: messages.RecallBudget
    ) -> None:
        """Queues a recall, which is answered after the ledger is updated."""
        self.state.pending_recalls.append((self._ctx.next_id(), sender, msg))

    def on_settle_permit(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        """Records the final cost of an attempt."""
        held = self.state.grants.get(msg.grant_id)
        if held is None:
            self._answer_grant_moved(sender, msg)
            return
        if not held.frozen:
            held.settle(sender, msg)
        self._ctx.send(sender, messages.Done(msg.ask_id))

    def on_void_permit(
        self, sender: incarnation.Incarnation, msg: messages.VoidPermit
    ) -> None:
        """Releases the permit of an attempt that will not use it."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None and not held.frozen:
            row = held.table.rows.get(msg.request_id)
            if (
                row is not None
                and row.attempt_id == msg.attempt_id
                and row.entry == sender
                and row.state is permit_row.RowState.OPEN
            ):
                held.release(row)
        self._ctx.send(sender, messages.Done(msg.ask_id))

    def on_permit_used(
        self, sender: incarnation.Incarnation, msg: messages.PermitUsed
    ) -> None:
        """Records the backend server of an attempt."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None and not held.frozen:
            row = held.table.rows.get(msg.request_id)
            if (
                row is not None
                and row.attempt_id == msg.attempt_id
                and row.state is permit_row.RowState.OPEN
            ):
                held.update_row(ask_answers.with_backend(row, msg.backend))
        self._ctx.send(sender, messages.Done(msg.ask_id))

    def on_rows_appended(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.RowsAppended,
    ) -> None:
        """Handles a witness's acknowledgement of appended rows."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None:
            held.on_rows_appended(sender, msg)

    def on_table_installed(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.TableInstalled,
    ) -> None:
        """Handles the confirmation that a new witness has the table."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None and held.proposal is not None:
            held.proposal.on_table_installed(sender, msg)
        takeover = self.state.takeovers.get(msg.grant_id)
        if takeover is not None and takeover.proposal is not None:
            takeover.proposal.on_table_installed(sender, msg)

    def on_epoch_sealed(
        self, sender: incarnation.Incarnation, msg: witness_messages.EpochSealed
    ) -> None:
        """Handles a witness's answer with the table of a sealed epoch."""
        takeover = self.state.takeovers.get(msg.grant_id)
        if takeover is not None:
            takeover.on_epoch_sealed(sender, msg)

    def on_witness_leaving(self, msg: witness_messages.WitnessLeaving) -> None:
        """Replaces a witness that is about to stop."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None and held.operation == msg.operation:
            held.propose_witness()

    def on_call_done(
        self,
        token: int,
        result: kv_store.ReadResult | kv_store.CasResult | refusal.Refusal,
        *,
        is_write: bool,
    ) -> None:
        """Handles the result of a call to the key-value service.

        Args:
          token: Token of the call.
          result: Result of the call.
          is_write: Whether the call was a compare-and-swap write.
        """
        if self.state.ledger_client.owns(token):
            is_current = (
                self.state.ledger_client.on_cas(result)  # type: ignore[arg-type]
                if is_write
                else self.state.ledger_client.on_read(result)  # type: ignore[arg-type]
            )
            if is_current:
                self.reconciler.apply_ledger()
            return
        if self.state.handovers.owns(token):
            if is_write:
                self.state.handovers.on_cas(result)  # type: ignore[arg-type]
            else:
                self.reconciler.on_table_fetched(result)  # type: ignore[arg-type]
            return
        for held in self.state.grants.values():
            if held.claims.owns(token):
                held.claims.on_cas(token, result)  # type: ignore[arg-type]
                return
            if held.billing.owns(token):
                if is_write:
                    held.billing.on_cas(result)  # type: ignore[arg-type]
                else:
                    held.billing.on_read(result)  # type: ignore[arg-type]
                return

    def call_after_ledger_read(self, callback: _LedgerCallback) -> None:
        """Calls `callback` after the ledger has been read by a later call."""
        self._ledger_callbacks.append((self._ctx.next_id(), callback))

    def pump(self) -> None:
        """Performs all actions that the current state allows."""
        self.issuer.serve_pending()
        self.reconciler.pump()
        self.issuer.finish_recall()
        self.issuer.expire()
        self._sync_ledger()

    def _sync_ledger(self) -> None:
        client = self.state.ledger_client
        if client.busy:
            return
        if self._ctx.now_s < client.retry_at_s:
            if self._needs_ledger():
                self._ctx.wake(self.workspace, client.retry_at_s)
            return
        if client.failing or not client.was_read:
            if self._needs_ledger():
                client.read()
            return
        if client.ledger is not None:
            planned = self._planner.plan(client.ledger)
            if planned != client.ledger:
                self.reconciler.prepare_write(planned)
                client.write(planned)
                return
        self._answer_deferred()
        if not client.busy and self._is_read_due():
            client.read()

    def _needs_ledger(self) -> bool:
        return bool(
            self.state.pending
            or self.state.pending_recalls
            or self._ledger_callbacks
            or self.state.grants
            or self.state.takeovers
            or self.state.ledger_client.write_outcome_unknown
            or self.state.keeps_reserve
            or self.state.requested_amount
        )

    def _is_read_due(self) -> bool:
        read_at_s = self.state.ledger_client.read_at_s
        token = self.state.ledger_client.read_token
        if not all(map(self.state.is_ledger_fresh_for, self.state.pending)):
            return True
        if any(token < after for after, _ in self._ledger_callbacks):
            return True
        if any(token < after for after, _, _ in self.state.pending_recalls):
            return True
        if self.state.ledger_client.write_outcome_unknown:
            return True
        if not (
            self.state.grants
            or self.state.requested_amount
            or self.state.takeovers
        ):
            return False
        poll_s = self._ctx.timing.ledger_poll_s
        if self.state.ledger_is_short and self._ctx.fleet.suspects_any:
            # Routers that can't reach this one ask through the ledger.
            poll_s = min(poll_s, self._ctx.timing.partition_poll_s)
        handing_over = any(g.frozen for g in self.state.grants.values())
        if self.state.requested_amount or self.state.takeovers or handing_over:
            poll_s = min(poll_s, self._ctx.timing.recall_wait_s)
        due_s = read_at_s + poll_s
        if self._ctx.now_s >= due_s:
            return True
        self._ctx.wake(self.workspace, due_s)
        return False

    def _answer_grant_moved(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        def answer(client: ledger_client.LedgerClient) -> None:
            ledger = client.ledger
            g = None if ledger is None else ledger.grants.get(msg.grant_id)
            self._ctx.send(
                sender,
                messages.GrantMoved(
                    msg.ask_id,
                    self.workspace,
                    msg.grant_id,
                    closed=g is None,
                    holder=None if g is None else g.holder,
                    epoch=0 if g is None else g.epoch,
                ),
            )

        self.call_after_ledger_read(answer)

    def _answer_deferred(self) -> None:
        client = self.state.ledger_client
        token = client.read_token
        pending_recalls, self.state.pending_recalls = (
            self.state.pending_recalls,
            [],
        )
        for after, sender, msg in pending_recalls:
            if token > after:
                self._ctx.send(
                    sender,
                    messages.BudgetRecalled(msg.ask_id, self.workspace),
                )
            else:
                self.state.pending_recalls.append((after, sender, msg))
        due = [
            callback
            for after, callback in self._ledger_callbacks
            if token > after
        ]
        self._ledger_callbacks = [
            x for x in self._ledger_callbacks if token < x[0]
        ]
        for callback in due:
            callback(client)
        self.issuer.answer_from_ledger()
