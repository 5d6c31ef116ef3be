"""The budget subsystem of one router; it does no I/O."""

from collections.abc import Callable
from typing import Any

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import drainer
from hibiscuspass.core.budget import entry_role
from hibiscuspass.core.budget import events
from hibiscuspass.core.budget import ledger_client
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import reporter
from hibiscuspass.core.budget import timing as timing_lib
from hibiscuspass.core.budget import witness
from hibiscuspass.core.budget import witness_messages
from hibiscuspass.core.budget import workspace_holder

_Sender = incarnation.Incarnation
_WITNESS_WAKE_KEY = "\0witness"
# Above this number of workspaces, holder objects without state are discarded.
_MAX_IDLE_WORKSPACES = 5_000


class BudgetNode:
    """Combines the entry, holder, witness and report roles of one router.

    Each event returns the actions that follow from it. Messages to the router
    itself are handled at once and are not among the actions.
    """

    holder_type: type[workspace_holder.WorkspaceHolder] = (
        workspace_holder.WorkspaceHolder
    )
    witness_type: type[witness.WitnessRole] = witness.WitnessRole

    def __init__(
        self,
        own: incarnation.Incarnation,
        policy: node_context.PolicyLookup,
        timing: timing_lib.BudgetTiming | None = None,
    ) -> None:
        self.ctx = node_context.NodeContext(
            own, timing or timing_lib.BudgetTiming(), policy
        )
        self.entry = entry_role.EntryRole(self.ctx)
        self.witness = self.witness_type(self.ctx)
        self.reporter = reporter.Reporter(self.ctx, self._holder)
        self.holders: dict[str, workspace_holder.WorkspaceHolder] = {}
        self._drainer = drainer.Drainer(self.ctx)
        self._workspaces_to_pump: dict[str, None] = {}
        self._event_handlers: dict[type, Callable[[Any], None]] = {
            events.Acquire: self._on_acquire,
            events.Cancel: self._on_cancel,
            events.MarkUsed: self._on_mark_used,
            events.Settle: self._on_settle,
            events.Received: self._on_received,
            events.SendFailed: self._on_send_failed,
            events.KvReadDone: self._on_read_done,
            events.KvCasDone: self._on_cas_done,
            events.FleetChanged: self._on_fleet_changed,
            events.KeepReserves: self._on_keep_reserves,
            events.Drain: self._on_drain,
            events.Tick: lambda _: None,
        }
        self._message_handlers = self._make_handlers()

    def handle(
        self, event: events.Event, now_s: float
    ) -> tuple[actions.Action, ...]:
        """Handles an event.

        Args:
          event: The event.
          now_s: Time of a monotonic clock in seconds.

        Returns:
          The actions to carry out, in order.
        """
        self.ctx.now_s = max(now_s, self.ctx.now_s)
        self._event_handlers[type(event)](event)
        for key in self.ctx.pop_due_keys():
            self._wake(key)
        return self._process_until_idle()

    def next_wake_s(self) -> float | None:
        """Returns when the next `events.Tick` is due; None without timers."""
        return self.ctx.next_wake_s()

    # Processing.

    def _process_until_idle(self) -> tuple[actions.Action, ...]:
        result: list[actions.Action] = []
        if self.ctx.draining:
            # A router that is only a witness has no workspace to pump.
            self._pump_drain()
        while self._workspaces_to_pump or self.ctx.out:
            workspaces, self._workspaces_to_pump = self._workspaces_to_pump, {}
            for workspace in workspaces:
                self._pump_workspace(workspace)
            if self.ctx.draining:
                self._pump_drain()
            out, self.ctx.out = self.ctx.out, []
            for action in out:
                if (
                    isinstance(action, actions.Send)
                    and action.to == self.ctx.own
                ):
                    self._dispatch(self.ctx.own, action.msg)
                else:
                    result.append(action)
        return tuple(result)

    def _pump_workspace(self, workspace: str) -> None:
        holder = self.holders.get(workspace)
        if holder is None:
            return
        holder.pump()
        if len(self.holders) > _MAX_IDLE_WORKSPACES and holder.is_idle:
            del self.holders[workspace]

    def _wake(self, key: str) -> None:
        if key == entry_role.WAKE_KEY:
            self.entry.pump()
        elif key == reporter.WAKE_KEY:
            self.reporter.pump()
        elif key == _WITNESS_WAKE_KEY:
            self._check_suspected_holders()
        elif key == drainer.WAKE_KEY:
            pass
        else:
            self._workspaces_to_pump[key] = None

    def _holder(self, workspace: str) -> workspace_holder.WorkspaceHolder:
        self._workspaces_to_pump[workspace] = None
        holder = self.holders.get(workspace)
        if holder is None:
            holder = self.holder_type(self.ctx, workspace)
            self.holders[workspace] = holder
        return holder

    def _pump_drain(self) -> None:
        leaving = [
            (t, (grant_id, operation))
            for (grant_id, operation), t in self.witness.tables.items()
            if t.holder is not None
            and not t.sealed
            and self._has_other_witness(t.holder, grant_id)
        ]
        for t, (grant_id, operation) in leaving:
            if t.holder is not None and self.ctx.fleet.is_live(t.holder):
                self._announce_leaving(t, grant_id, operation)
        self._drainer.pump(
            self.holders,
            other_roles_done=not leaving and self.entry.is_idle,
        )

    def _has_other_witness(self, holder: _Sender, grant_id: str) -> bool:
        """Whether the holder can choose another witness for the grant."""
        return any(
            router not in (holder, self.ctx.own)
            for router in self.ctx.fleet.rendezvous_order(grant_id)
        )

    def _announce_leaving(
        self, table: witness.WitnessTable, grant_id: str, operation: str
    ) -> None:
        if self.ctx.now_s < table.warned_at_s + self.ctx.timing.append_retry_s:
            return
        table.warned_at_s = self.ctx.now_s
        assert table.holder is not None
        self.ctx.send(
            table.holder,
            witness_messages.WitnessLeaving(
                self.ctx.next_id(),
                table.holder,
                table.workspace,
                grant_id,
                operation,
            ),
        )

    def _check_suspected_holders(self) -> None:
        """Starts takeovers from holders that were suspected for too long."""
        if self.ctx.draining:
            return
        self.witness.discard_ended_tables()
        waiting = any(
            t.holder is not None
            and not t.ended
            and not self.ctx.fleet.is_reachable(t.holder)
            for t in self.witness.tables.values()
        )
        for grant_id, operation, table in self.witness.tables_to_take_over():
            holder = self._holder(table.workspace)
            holder.call_after_ledger_read(
                self._takeover_check(grant_id, operation, table.workspace)
            )
        if waiting:
            self.ctx.wake(
                _WITNESS_WAKE_KEY,
                self.ctx.now_s + self.ctx.timing.takeover_delay_s,
            )

    def _takeover_check(
        self, grant_id: str, operation: str, workspace: str
    ) -> Callable[[ledger_client.LedgerClient], None]:
        def check(client: ledger_client.LedgerClient) -> None:
            led = client.ledger
            grant = None if led is None else led.grants.get(grant_id)
            witness_table = self.witness.tables.get((grant_id, operation))
            if witness_table is None:
                return
            if grant is None or (
                grant.operation != operation
                and grant.epoch >= witness_table.epoch
            ):
                self.witness.end_epoch(grant_id, operation)
                return
            if grant.operation != operation:
                return
            if self.ctx.fleet.is_reachable(grant.holder):
                return
            table = self.witness.seal_epoch(
                grant_id, operation, workspace, grant.holder
            )
            self._holder(workspace).reconciler.start_takeover(grant, table)

        return check

    # Events.

    def _on_acquire(self, event: events.Acquire) -> None:
        self.entry.acquire(event.req, event.deadline_s)

    def _on_cancel(self, event: events.Cancel) -> None:
        self.entry.cancel(event.attempt_id)

    def _on_mark_used(self, event: events.MarkUsed) -> None:
        self.entry.mark_used(event.permit, event.backend)

    def _on_settle(self, event: events.Settle) -> None:
        self.entry.settle(event.permit, event.cost, event.kind)

    def _on_received(self, event: events.Received) -> None:
        self._dispatch(event.sender, event.msg)

    def _on_send_failed(self, event: events.SendFailed) -> None:
        self.entry.on_send_failed(event.msg)

    def _on_read_done(self, event: events.KvReadDone) -> None:
        self._on_kv_call_done(event.token, event.result, is_write=False)

    def _on_cas_done(self, event: events.KvCasDone) -> None:
        self._on_kv_call_done(event.token, event.result, is_write=True)

    def _on_kv_call_done(
        self, token: int, result: Any, *, is_write: bool
    ) -> None:
        workspace = self.ctx.end_call(token)
        holder = self.holders.get(workspace)
        if holder is not None:
            holder.on_call_done(token, result, is_write=is_write)
            self._workspaces_to_pump[workspace] = None

    def _on_fleet_changed(self, event: events.FleetChanged) -> None:
        self.ctx.fleet.update(event.view)
        self._workspaces_to_pump.update((w, None) for w in self.holders)
        self._check_suspected_holders()

    def _on_keep_reserves(self, event: events.KeepReserves) -> None:
        wanted = set(event.workspaces)
        for workspace, holder in self.holders.items():
            holder.state.keeps_reserve = workspace in wanted
        for workspace in wanted:
            self._holder(workspace).state.keeps_reserve = True

    def _on_drain(self, _: events.Drain) -> None:
        self.ctx.draining = True
        self.entry.pump()
        self._workspaces_to_pump.update((w, None) for w in self.holders)

    # Messages.

    def _dispatch(self, sender: _Sender, msg: message.Message) -> None:
        if isinstance(msg, message.Request) and msg.to != self.ctx.own:
            return
        handler = self._message_handlers.get(type(msg))
        if handler is not None:
            handler(sender, msg)

    def _make_handlers(self) -> dict[type, Callable[[_Sender, Any], None]]:
        holder_type = workspace_holder.WorkspaceHolder
        to_holder: dict[type, Callable[[Any, _Sender, Any], None]] = {
            messages.Ask: holder_type.on_ask,
            messages.VoidPermit: holder_type.on_void_permit,
            messages.PermitUsed: holder_type.on_permit_used,
            messages.SettlePermit: holder_type.on_settle_permit,
            messages.StatusAnswer: holder_type.on_status_answer,
            witness_messages.RowsAppended: holder_type.on_rows_appended,
            witness_messages.TableInstalled: holder_type.on_table_installed,
            witness_messages.EpochSealed: holder_type.on_epoch_sealed,
            messages.RecallBudget: holder_type.on_recall_budget,
        }
        handlers = {
            msg_type: self._holder_handler(method)
            for msg_type, method in to_holder.items()
        }
        return handlers | {
            messages.PermitGranted: self.entry.on_permit_granted,
            messages.AskAttached: lambda _, m: self.entry.on_ask_attached(m),
            messages.AskRefused: self.entry.on_ask_refused,
            messages.GrantMoved: lambda _, m: self.entry.on_grant_moved(m),
            messages.SettlementsDurable: self._on_settlements_durable,
            messages.StatusCheck: self.entry.on_status_check,
            witness_messages.AppendRows: self.witness.on_append_rows,
            witness_messages.InstallTable: self.witness.on_install_table,
            witness_messages.SealEpoch: self.witness.on_seal_epoch,
            witness_messages.ForgetTable: self._on_forget_table,
            witness_messages.WitnessLeaving: self._on_witness_leaving,
            messages.BudgetRecalled: self._on_budget_recalled,
            messages.HandOver: self._on_hand_over,
            messages.GrantQuery: self._on_grant_query,
            messages.GrantAnswer: lambda _, m: self.reporter.on_answer(m),
            messages.ReportRequest: self.reporter.on_request,
        }

    def _holder_handler(
        self, method: Callable[[Any, _Sender, Any], None]
    ) -> Callable[[_Sender, Any], None]:
        name = method.__name__

        def handle(sender: _Sender, msg: Any) -> None:
            # A late reply must not create a holder object.
            if isinstance(msg, message.Reply) and (
                msg.workspace not in self.holders  # type: ignore[attr-defined]
            ):
                return
            holder = self._holder(msg.workspace)
            getattr(holder, name)(sender, msg)

        return handle

    def _send_done(self, sender: _Sender, msg: message.Message) -> None:
        self.ctx.send(sender, messages.Done(msg.ask_id))

    def _on_settlements_durable(
        self, sender: _Sender, msg: messages.SettlementsDurable
    ) -> None:
        self.entry.on_settlements_durable(msg)
        self._send_done(sender, msg)

    def _on_forget_table(
        self, sender: _Sender, msg: witness_messages.ForgetTable
    ) -> None:
        self.witness.on_forget_table(sender, msg)
        self._send_done(sender, msg)

    def _on_witness_leaving(
        self, sender: _Sender, msg: witness_messages.WitnessLeaving
    ) -> None:
        self._holder(msg.workspace).on_witness_leaving(msg)
        self._send_done(sender, msg)

    def _on_budget_recalled(
        self, sender: _Sender, msg: messages.BudgetRecalled
    ) -> None:
        self._holder(msg.workspace).issuer.on_budget_recalled(sender)

    def _on_hand_over(self, sender: _Sender, msg: messages.HandOver) -> None:
        def start(client: ledger_client.LedgerClient) -> None:
            led = client.ledger
            grant = None if led is None else led.grants.get(msg.grant_id)
            if grant is not None and grant.operation == msg.operation:
                self._holder(msg.workspace).reconciler.start_takeover(
                    grant, msg.table
                )

        self._holder(msg.workspace).call_after_ledger_read(start)
        self._send_done(sender, msg)

    def _on_grant_query(
        self, sender: _Sender, msg: messages.GrantQuery
    ) -> None:
        states = self._holder(msg.workspace).reconciler.grant_states()
        self.ctx.send(
            sender,
            messages.GrantAnswer(
                msg.ask_id, msg.workspace, self.ctx.own, states
            ),
        )
