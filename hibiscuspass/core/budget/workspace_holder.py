"""Holds the grants of one workspace on one router."""

from collections.abc import Callable

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import ask_answers
from hibiscuspass.core.budget import grant_keeper
from hibiscuspass.core.budget import ledger_client
from hibiscuspass.core.budget import ledger_planner
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_issuer
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import witness_messages
from hibiscuspass.core.budget import workspace_state

_OnLedger = Callable[[ledger_client.LedgerClient], None]


class WorkspaceHolder:
    """Issues permits and keeps the ledger in line with what is held.

    Each event changes the state and then calls `pump`, which does whatever has
    become possible. The ledger is only changed by planning its next value from
    the present one, and local state only follows a ledger that was read back
    or written for certain, so a lost reply needs no special case.

    Attributes:
      workspace: The workspace.
      state: Grants, asks and the ledger.
      keeper: Follows the ledger and takes grants over.
      issuer: Answers asks.
    """

    keeper_type: type[grant_keeper.GrantKeeper] = grant_keeper.GrantKeeper
    issuer_type: type[permit_issuer.PermitIssuer] = permit_issuer.PermitIssuer

    def __init__(self, ctx: node_context.NodeContext, workspace: str) -> None:
        self._ctx = ctx
        self.workspace = workspace
        self.state = workspace_state.WorkspaceState(ctx, workspace)
        self.keeper = self.keeper_type(self.state)
        self.issuer = self.issuer_type(self.state, self.keeper)
        self.keeper.requeue = self.issuer.on_ask
        self._planner = ledger_planner.LedgerPlanner(self.state)
        self._on_ledger: list[tuple[int, _OnLedger]] = []

    @property
    def unused(self) -> bool:
        """Whether this object has nothing to keep."""
        return not (self._needs_ledger() or self.state.ledger_client.busy)

    def on_ask(
        self, sender: incarnation.Incarnation, msg: messages.Ask
    ) -> None:
        """Serves an ask now, or queues it."""
        self.issuer.on_ask(sender, msg)

    def on_statuses(
        self, sender: incarnation.Incarnation, msg: messages.StatusAnswer
    ) -> None:
        """Takes in an entry router's answer to a status check."""
        self.keeper.on_statuses(sender, msg)

    def on_recall(
        self, sender: incarnation.Incarnation, msg: messages.RecallBudget
    ) -> None:
        """Returns what is not used and answers afterwards."""
        self.state.pending_recalls.append((self._ctx.next_id(), sender, msg))

    def on_settle(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        """Takes in the final cost of an attempt."""
        held = self.state.grants.get(msg.grant_id)
        if held is None:
            self._answer_moved(sender, msg)
            return
        if not held.frozen:
            held.settle(sender, msg)
        self._ctx.send(sender, messages.Done(msg.ask_id))

    def on_void(
        self, sender: incarnation.Incarnation, msg: messages.VoidPermit
    ) -> None:
        """Releases the hold of an attempt that won't use it."""
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

    def on_used(
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
                held.put(ask_answers.with_backend(row, msg.backend))
        self._ctx.send(sender, messages.Done(msg.ask_id))

    def on_appended(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.RowsAppended,
    ) -> None:
        """Takes in a witness's acknowledgement."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None:
            held.on_appended(sender, msg)

    def on_installed(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.TableInstalled,
    ) -> None:
        """Takes in a new witness's confirmation."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None and held.proposal is not None:
            held.proposal.on_installed(sender, msg)
        t = self.state.takeovers.get(msg.grant_id)
        if t is not None and t.proposal is not None:
            t.proposal.on_installed(sender, msg)

    def on_sealed(
        self, sender: incarnation.Incarnation, msg: witness_messages.EpochSealed
    ) -> None:
        """Takes in the table of a sealed epoch."""
        t = self.state.takeovers.get(msg.grant_id)
        if t is not None:
            t.on_sealed(sender, msg)

    def on_witness_leaving(self, msg: witness_messages.WitnessLeaving) -> None:
        """Replaces a witness that is about to stop."""
        held = self.state.grants.get(msg.grant_id)
        if held is not None and held.operation == msg.operation:
            held.propose()

    def on_call_done(
        self,
        token: int,
        result: kv_store.ReadResult | kv_store.CasResult | refusal.Refusal,
        *,
        is_write: bool,
    ) -> None:
        """Takes in a result of the key-value service."""
        if self.state.ledger_client.owns(token):
            learned = (
                self.state.ledger_client.on_cas(result)  # type: ignore[arg-type]
                if is_write
                else self.state.ledger_client.on_read(result)  # type: ignore[arg-type]
            )
            if learned:
                self.keeper.absorb()
            return
        if self.state.handovers.owns(token):
            if is_write:
                self.state.handovers.on_cas(result)  # type: ignore[arg-type]
            else:
                self.keeper.on_fetched(result)  # type: ignore[arg-type]
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

    def on_ledger(self, call: _OnLedger) -> None:
        """Calls back once the ledger has been read after this moment."""
        self._on_ledger.append((self._ctx.next_id(), call))

    def pump(self) -> None:
        """Does whatever has become possible."""
        self.issuer.serve_pending()
        self.keeper.pump()
        self.issuer.end_recall()
        self.issuer.expire()
        self._sync()

    def _sync(self) -> None:
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
                self.keeper.expect(planned)
                client.write(planned)
                return
        self._conclude()
        if not client.busy and self._wants_read():
            client.read()

    def _needs_ledger(self) -> bool:
        return bool(
            self.state.pending
            or self.state.pending_recalls
            or self._on_ledger
            or self.state.grants
            or self.state.takeovers
            or self.state.ledger_client.write_outcome_unknown
            or self.state.keeps_reserve
            or self.state.requested_amount
        )

    def _wants_read(self) -> bool:
        read_at_s = self.state.ledger_client.read_at_s
        token = self.state.ledger_client.read_token
        if not all(map(self.state.is_ledger_fresh_for, self.state.pending)):
            return True
        if any(token < after for after, _ in self._on_ledger):
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
            # Routers that can't be reached ask through the ledger.
            poll_s = min(poll_s, self._ctx.timing.partition_poll_s)
        handing_over = any(g.frozen for g in self.state.grants.values())
        if self.state.requested_amount or self.state.takeovers or handing_over:
            poll_s = min(poll_s, self._ctx.timing.recall_wait_s)
        due_s = read_at_s + poll_s
        if self._ctx.now_s >= due_s:
            return True
        self._ctx.wake(self.workspace, due_s)
        return False

    def _answer_moved(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        def answer(client: ledger_client.LedgerClient) -> None:
            led = client.ledger
            g = None if led is None else led.grants.get(msg.grant_id)
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

        self.on_ledger(answer)

    def _conclude(self) -> None:
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
        due = [call for after, call in self._on_ledger if token > after]
        self._on_ledger = [x for x in self._on_ledger if token < x[0]]
        for call in due:
            call(client)
        self.issuer.conclude()
