"""Holds the grants of one workspace on one router."""

from collections.abc import Callable
import itertools

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import ask_answers
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_planner
from hibiscuspass.core.budget import ledger_port
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import pending_ask
from hibiscuspass.core.budget import permit_checks
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import recall as recall_lib
from hibiscuspass.core.budget import takeover as takeover_lib
from hibiscuspass.core.configuration import workspace as workspace_lib

_Stage = pending_ask.AskStage
_OnLedger = Callable[[ledger_port.LedgerPort], None]

# An unused want is withdrawn after this time, so that a workspace near the end
# of its budget doesn't cause two writes for each refused request.
_WANT_KEPT_S = 5.0


class WorkspaceHolder:
    """Issues permits and keeps the ledger in line with what is held.

    Each event changes the state and then calls `pump`, which does whatever has
    become possible. The ledger is only changed by planning its next value from
    the present one, and local state only follows a ledger that was read back
    or written for certain, so a lost reply needs no special case.

    Attributes:
      workspace: The workspace.
      port: The ledger.
      grants: Held grants by id.
      takeovers: Grants that this router is about to take over, by id.
      pending: Asks that can't be answered yet.
    """

    grant_type: type[held_grant.HeldGrant] = held_grant.HeldGrant

    def __init__(self, ctx: node_context.NodeContext, workspace: str) -> None:
        self._ctx = ctx
        self.workspace = workspace
        self.port = ledger_port.LedgerPort(ctx, workspace)
        self.grants: dict[str, held_grant.HeldGrant] = {}
        self.takeovers: dict[str, takeover_lib.Takeover] = {}
        self.pending: list[pending_ask.PendingAsk] = []
        self.keeps_reserve = False
        self._checks: dict[str, permit_checks.PermitChecks] = {}
        self._recall: recall_lib.Recall | None = None
        self._recallers: list[
            tuple[int, incarnation.Incarnation, messages.RecallBudget]
        ] = []
        self._on_ledger: list[tuple[int, _OnLedger]] = []
        self._want = 0
        self._want_until_s = 0.0
        self._next_poll_s = 0.0
        self._next_record_s = 0.0
        self._standing_id = ""

    # Events.

    def on_ask(
        self, sender: incarnation.Incarnation, msg: messages.Ask
    ) -> None:
        """Serves an ask now, or queues it."""
        if self._ctx.draining:
            self._ctx.send(sender, ask_answers.shutting_down(msg))
            return
        ask = pending_ask.PendingAsk(
            sender,
            msg,
            self._ctx.now_s - self._ctx.timing.fresh_s,
            self._ctx.now_s + self._ctx.timing.ask_expiry_s,
        )
        if not self._serve(ask):
            self.pending.append(ask)
            self._ctx.wake(self.workspace, ask.deadline_s)

    def on_recall(
        self, sender: incarnation.Incarnation, msg: messages.RecallBudget
    ) -> None:
        """Returns what is not used and answers afterwards."""
        self._recallers.append((self._ctx.next_id(), sender, msg))

    def on_settle(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        """Takes in the final cost of an attempt."""
        held = self.grants.get(msg.grant_id)
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
        held = self.grants.get(msg.grant_id)
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
        held = self.grants.get(msg.grant_id)
        if held is not None and not held.frozen:
            row = held.table.rows.get(msg.request_id)
            if (
                row is not None
                and row.attempt_id == msg.attempt_id
                and row.state is permit_row.RowState.OPEN
            ):
                held.put(ask_answers.with_backend(row, msg.backend))
        self._ctx.send(sender, messages.Done(msg.ask_id))

    def on_statuses(
        self, sender: incarnation.Incarnation, msg: messages.StatusAnswer
    ) -> None:
        """Takes in an entry router's answer to a status check."""
        checks = self._checks.get(msg.grant_id)
        if checks is not None:
            checks.on_statuses(sender, msg)

    def on_appended(
        self, sender: incarnation.Incarnation, msg: messages.RowsAppended
    ) -> None:
        """Takes in a witness's acknowledgement."""
        held = self.grants.get(msg.grant_id)
        if held is not None:
            held.on_appended(sender, msg)

    def on_installed(
        self, sender: incarnation.Incarnation, msg: messages.TableInstalled
    ) -> None:
        """Takes in a new witness's confirmation."""
        held = self.grants.get(msg.grant_id)
        if held is not None and held.proposal is not None:
            held.proposal.on_installed(sender, msg)
        t = self.takeovers.get(msg.grant_id)
        if t is not None and t.proposal is not None:
            t.proposal.on_installed(sender, msg)

    def on_sealed(
        self, sender: incarnation.Incarnation, msg: messages.EpochSealed
    ) -> None:
        """Takes in the table of a sealed epoch."""
        t = self.takeovers.get(msg.grant_id)
        if t is not None:
            t.on_sealed(sender, msg)

    def on_witness_leaving(self, msg: messages.WitnessLeaving) -> None:
        """Replaces a witness that is about to stop."""
        held = self.grants.get(msg.grant_id)
        if held is not None and held.operation == msg.operation:
            held.propose()

    def on_recalled(self, sender: incarnation.Incarnation) -> None:
        """Takes in a holder's answer to a recall."""
        if self._recall is not None:
            self._recall.waiting.discard(sender)

    def on_call_done(
        self,
        token: int,
        result: kv_store.ReadResult | kv_store.CasResult | refusal.Refusal,
        *,
        is_write: bool,
    ) -> None:
        """Takes in a result of the key-value service."""
        if self.port.owns(token):
            learned = (
                self.port.on_cas(result)  # type: ignore[arg-type]
                if is_write
                else self.port.on_read(result)  # type: ignore[arg-type]
            )
            if learned:
                self._absorb()
            return
        for held in self.grants.values():
            if held.claims.owns(token):
                held.claims.on_cas(token, result)  # type: ignore[arg-type]
                return
            if held.billing.owns(token):
                if is_write:
                    held.billing.on_cas(result)  # type: ignore[arg-type]
                else:
                    held.billing.on_read(result)  # type: ignore[arg-type]
                return

    def start_takeover(
        self,
        grant: grant_lib.Grant,
        table: permit_table.TableSnapshot | None = None,
    ) -> None:
        """Begins to take a grant over from its holder."""
        known = self.takeovers.get(grant.id)
        if known is not None and (
            known.grant.operation == grant.operation and not known.failed
        ):
            return
        if known is not None and known.proposal and known.proposal.sent:
            return
        if self._ctx.draining or grant.holder == self._ctx.own:
            return
        self.takeovers[grant.id] = takeover_lib.Takeover(
            self._ctx, self.workspace, grant, table
        )
        self._ctx.emit(
            "takeover.started", workspace=self.workspace, grant_id=grant.id
        )

    def on_ledger(self, call: _OnLedger) -> None:
        """Calls back once the ledger has been read after this moment."""
        self._on_ledger.append((self._ctx.next_id(), call))

    def pump(self) -> None:
        """Does whatever has become possible."""
        self.pending = [a for a in self.pending if not self._serve(a)]
        for held in list(self.grants.values()):
            self._checks[held.id].pump()
            self._retire_idle(held)
            self._seek_witness(held)
            held.pump()
        self._pump_takeovers()
        self._end_recall()
        self._expire()
        self._sync()

    @property
    def unused(self) -> bool:
        """Whether this object has nothing to keep."""
        return not (
            self.grants
            or self.takeovers
            or self.pending
            or self._on_ledger
            or self._recallers
            or self.port.busy
            or self.port.undecided
            or self.keeps_reserve
            or self._want
        )

    # Serving.

    def _serve(self, ask: pending_ask.PendingAsk) -> bool:
        if not self._ctx.policy(self.workspace):
            self._ctx.send(ask.sender, ask_answers.unknown_workspace(ask.msg))
            return True
        for held in self.grants.values():
            row = self._lookup(held, ask.msg)
            if row is not None:
                return self._serve_known(held, row, ask)
        held_or_none = self._usable_grant(ask)
        if held_or_none is None:
            return False
        held_or_none.open(ask.sender, ask.msg)
        return True

    def _lookup(
        self, held: held_grant.HeldGrant, msg: messages.Ask
    ) -> permit_row.PermitRow | None:
        return held.table.rows.get(msg.request_id)

    def _serve_known(
        self,
        held: held_grant.HeldGrant,
        row: permit_row.PermitRow,
        ask: pending_ask.PendingAsk,
    ) -> bool:
        msg = ask.msg
        if row.state is not permit_row.RowState.OPEN:
            self._ctx.send(ask.sender, ask_answers.attached(msg, row))
        elif row.attempt_id == msg.attempt_id:
            if held.frozen:
                return False
            if msg.contested and not (row.contested or row.keyed):
                held.contest(row, ask.sender, msg)
            elif held.is_acknowledged(row.request_id):
                self._ctx.send(ask.sender, held.granted(row, msg.ask_id))
            else:
                held.wait_for(ask.sender, msg)
        elif not self._ctx.fleet.is_gone(row.entry):
            self._ctx.send(ask.sender, ask_answers.attached(msg, row))
        elif msg.worst_case > row.hold:
            self._ctx.send(ask.sender, ask_answers.key_reused(msg, row.hold))
        elif held.can_issue:
            held.reassign(row, ask.sender, msg)
        else:
            return False
        return True

    def _usable_grant(
        self, ask: pending_ask.PendingAsk
    ) -> held_grant.HeldGrant | None:
        need = ask.msg.worst_case
        if ask.msg.keyed:
            primary = self._primary()
            if primary and primary.can_issue and primary.room >= need:
                return primary
            return None
        # Standing reserves are for outages and for the end of the budget.
        reserve_too = self.port.failing or ask.stage is not _Stage.NEW
        usable = [
            g
            for g in self.grants.values()
            if g.can_issue
            and g.room >= need
            and (reserve_too or not g.standing)
        ]
        return min(usable, key=lambda g: g.standing, default=None)

    def _primary(self) -> held_grant.HeldGrant | None:
        led = self.port.ledger
        return None if led is None else self.grants.get(led.primary)

    def _answer_moved(
        self, sender: incarnation.Incarnation, msg: messages.SettlePermit
    ) -> None:
        def answer(port: ledger_port.LedgerPort) -> None:
            led = port.ledger
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

    def _refuse(
        self, ask: pending_ask.PendingAsk, answer: messages.AskRefused
    ) -> None:
        self.pending.remove(ask)
        self._ctx.send(ask.sender, answer)

    # Timers.

    def _expire(self) -> None:
        for ask in list(self.pending):
            if self._ctx.now_s < ask.deadline_s:
                continue
            if ask.stage is _Stage.RECALLED and not self.port.failing:
                answer = ask_answers.exhausted(ask.msg, final=False)
            else:
                answer = ask_answers.unavailable(ask.msg)
            self._refuse(ask, answer)

    def _retire_idle(self, held: held_grant.HeldGrant) -> None:
        if held.closing or held.standing or self._is_primary(held):
            return
        idle_at_s = held.used_at_s + self._ctx.timing.idle_s
        first = self._ctx.fleet.order(self.workspace)[:1] == (self._ctx.own,)
        if self._ctx.draining or (
            self._ctx.now_s >= idle_at_s
            and held.table.open_count == 0
            and not first
        ):
            held.closing = True
        elif not first:
            self._ctx.wake(
                self.workspace,
                max(idle_at_s, self._ctx.now_s + self._ctx.timing.status_s),
            )

    def _seek_witness(self, held: held_grant.HeldGrant) -> None:
        """Turns a solo grant into a witnessed one when that is possible."""
        if held.witness is not None or held.closing:
            return
        if not self.port.failing:
            held.propose()
        elif held.proposal is not None and not held.proposal.sent:
            # No permit is issued during a proposal, and without the ledger it
            # can't succeed.
            held.proposal = None

    def _pump_takeovers(self) -> None:
        for t in list(self.takeovers.values()):
            t.pump()
            if t.failed and self._ctx.now_s >= t.retry_at_s:
                del self.takeovers[t.grant.id]

    def _is_primary(self, held: held_grant.HeldGrant) -> bool:
        return self.port.ledger is not None and (
            self.port.ledger.primary == held.id
        )

    def _end_recall(self) -> None:
        if self._recall is None or not self._recall.done:
            return
        for ask in self.pending:
            if ask.stage is _Stage.RECALLING:
                ask.stage = _Stage.RECALLED
                ask.fresh_after_s = self._ctx.now_s
        if self._recall.waiting:
            self._want = sum(
                a.msg.worst_case
                for a in self.pending
                if a.stage is _Stage.RECALLED
            )
            self._want_until_s = self._ctx.now_s + _WANT_KEPT_S
        self._recall = None

    # The ledger.

    def _sync(self) -> None:
        port = self.port
        if port.busy:
            return
        if self._ctx.now_s < port.retry_at_s:
            if self._needs_ledger():
                self._ctx.wake(self.workspace, port.retry_at_s)
            return
        if port.failing or not port.known:
            if self._needs_ledger():
                port.read()
            return
        if port.ledger is not None:
            planned = self._plan(port.ledger)
            if planned != port.ledger:
                self._write(planned)
                return
        self._conclude()
        if not port.busy and self._wants_read():
            port.read()

    def _needs_ledger(self) -> bool:
        return bool(
            self.pending
            or self._recallers
            or self._on_ledger
            or self.grants
            or self.takeovers
            or self.port.undecided
            or self.keeps_reserve
            or self._want
        )

    def _wants_read(self) -> bool:
        read_at_s = self.port.read_at_s
        token = self.port.read_token
        if any(read_at_s < a.fresh_after_s for a in self.pending):
            return True
        if any(token < after for after, _ in self._on_ledger):
            return True
        if any(token < after for after, _, _ in self._recallers):
            return True
        if self.port.undecided:
            return True
        if not (self.grants or self._want or self.takeovers):
            return False
        poll_s = self._ctx.timing.ledger_poll_s
        if self._want or self.takeovers:
            poll_s = min(poll_s, self._ctx.timing.recall_wait_s)
        due_s = read_at_s + poll_s
        if self._ctx.now_s >= due_s:
            return True
        self._ctx.wake(self.workspace, due_s)
        return False

    def _write(self, planned: ledger_lib.Ledger) -> None:
        for held in self.grants.values():
            g = planned.grants.get(held.id)
            amount = 0 if g is None else g.amount
            if amount < held.usable:
                held.ceiling = amount
            if held.proposal is not None and (
                g is not None and g.operation == held.proposal.operation
            ):
                held.proposal.sent = True
        for t in self.takeovers.values():
            g = planned.grants.get(t.grant.id)
            if t.proposal is not None and (
                g is not None and g.operation == t.proposal.operation
            ):
                t.proposal.sent = True
        self.port.write(planned)

    def _plan(self, led: ledger_lib.Ledger) -> ledger_lib.Ledger:
        policy = self._ctx.policy(self.workspace)
        solo_limit = policy.solo_grant_limit if policy else 0
        new = ledger_planner.apply_takeovers(
            self._ctx, led, self.takeovers.values(), solo_limit
        )
        record = self._ctx.now_s >= self._next_record_s
        deficit = self._deficit(new)
        for held in sorted(self.grants.values(), key=lambda g: g.standing):
            give = self._give_back(held, deficit)
            deficit -= give
            new = ledger_planner.apply_held(new, held, give)
        new = self._draw(new, policy)
        if record:
            for held in self.grants.values():
                new = ledger_planner.record(new, held)
        if new == led and not self._want_changes(led):
            if record:
                self._next_record_s = (
                    self._ctx.now_s + self._ctx.timing.record_s
                )
            return led
        # Other changes carry the log's position along for free.
        for held in self.grants.values():
            new = ledger_planner.record(new, held)
        return ledger_planner.prune_wants(self._ctx, new, self._current_want())

    def _current_want(self) -> int:
        if self._want and self._ctx.now_s >= self._want_until_s:
            self._want = 0
        return self._want

    def _want_changes(self, led: ledger_lib.Ledger) -> bool:
        return led.wants.get(str(self._ctx.own), 0) != self._current_want()

    def _deficit(self, led: ledger_lib.Ledger) -> int:
        wants = ledger_planner.others_wants(self._ctx, led)
        for _, sender, msg in self._recallers:
            wants[sender] = max(wants.get(sender, 0), msg.amount)
        if not wants:
            return 0
        if self.pending and min(wants) > self._ctx.own:
            # Both sides lack budget. The order of names decides who gives, so
            # that the remainder ends up at one router.
            return 0
        return max(0, sum(wants.values()) - led.free)

    def _give_back(self, held: held_grant.HeldGrant, deficit: int) -> int:
        if held.closing:
            return held.returnable if held.table.open_count else 0
        if deficit <= 0:
            return 0
        # Half of the room spares an early second recall.
        half = 0 if held.standing else held.room // 2
        return min(held.returnable, max(deficit, half))

    def _draw(
        self,
        led: ledger_lib.Ledger,
        policy: workspace_lib.Workspace | None,
    ) -> ledger_lib.Ledger:
        if policy is None or self._ctx.draining:
            return led
        led = self._draw_reserve(led, policy)
        primary_mine = led.primary in self.grants
        needs = [
            a.msg.worst_case
            for a in self.pending
            if not a.msg.keyed or primary_mine or not led.primary
        ]
        if not needs:
            return led
        target = self._draw_target(led)
        room = 0 if target is None else target.room
        free = led.free
        if (
            target is not None
            and not led.primary
            and (any(a.msg.keyed for a in self.pending))
        ):
            led = ledger_planner.name_primary(led, target)
        if free < max(1, min(needs) - room) or sum(needs) <= room:
            return led
        share = int(free * policy.grant_fraction)
        if ledger_planner.others_wants(self._ctx, led):
            share = 0
        amount = min(free, max(sum(needs) - room, share))
        if target is not None:
            return ledger_planner.enlarge(led, target, amount)
        return self._draw_new(led, policy, amount, min(needs))

    def _draw_target(
        self, led: ledger_lib.Ledger
    ) -> held_grant.HeldGrant | None:
        usable = [
            g for g in self.grants.values() if g.can_issue and not g.standing
        ]
        return max(usable, key=lambda g: g.id == led.primary, default=None)

    def _draw_new(
        self,
        led: ledger_lib.Ledger,
        policy: workspace_lib.Workspace,
        amount: int,
        least: int,
    ) -> ledger_lib.Ledger:
        if any(g.proposal is not None for g in self.grants.values()):
            return led
        grant_id = self._ctx.unique_name("g")
        witness = self._ctx.choose_witness(grant_id)
        if witness is None:
            solo = sum(
                g.amount
                for g in led.grants.values()
                if g.witness is None and g.holder == self._ctx.own
            )
            amount = min(amount, policy.solo_grant_limit - solo)
            if amount < least:
                return led
        keyed = any(a.msg.keyed for a in self.pending)
        first = self._ctx.fleet.order(self.workspace)[:1] == (self._ctx.own,)
        return ledger_planner.open_grant(
            self._ctx,
            led,
            amount,
            witness,
            grant_id,
            primary=not led.primary and (keyed or first),
        )

    def _draw_reserve(
        self, led: ledger_lib.Ledger, policy: workspace_lib.Workspace
    ) -> ledger_lib.Ledger:
        reserve = policy.reserve_per_failure_domain
        if not (self.keeps_reserve and reserve):
            return led
        if self._standing_id in led.grants or self._standing_id in self.grants:
            return led
        if not self._ctx.fleet.is_first_in_domain(self.workspace):
            return led
        if led.free < 2 * reserve:
            return led
        self._standing_id = self._ctx.unique_name("g")
        witness = self._ctx.choose_witness(self._standing_id)
        if witness is None:
            return led
        return ledger_planner.open_grant(
            self._ctx, led, reserve, witness, self._standing_id, primary=False
        )

    def _absorb(self) -> None:
        led = self.port.ledger
        present = {} if led is None else led.grants
        for held in list(self.grants.values()):
            self._follow(held, present.get(held.id))
        for g in present.values():
            if g.holder == self._ctx.own and g.id not in self.grants:
                self._adopt(g)
            elif self._ctx.fleet.is_gone(g.holder):
                # The witness may not know yet that it is the witness.
                self.start_takeover(g)
        for t in list(self.takeovers.values()):
            g_or_none = present.get(t.grant.id)
            if g_or_none is None or g_or_none.operation != t.grant.operation:
                del self.takeovers[t.grant.id]
            elif t.proposal is not None and not self.port.undecided:
                t.proposal.sent = False

    def _follow(
        self, held: held_grant.HeldGrant, g: grant_lib.Grant | None
    ) -> None:
        if g is None or g.holder != self._ctx.own:
            self._drop(held)
            return
        if held.proposal and g.operation == held.proposal.operation:
            held.activate(g)
        elif g.operation != held.operation:
            self._drop(held)
            return
        if not self.port.undecided:
            held.amount = g.amount
            held.ceiling = None
            if held.proposal is not None:
                held.proposal.sent = False

    def _adopt(self, g: grant_lib.Grant) -> None:
        t = self.takeovers.pop(g.id, None)
        if (
            t is not None
            and t.proposal is not None
            and (t.proposal.operation == g.operation)
        ):
            held = self.grant_type(
                self._ctx, self.workspace, g, t.proposal.table
            )
            held.closing = not self._is_primary(held)
            old = t.grant
            if old.witness is not None:
                self._ctx.send(
                    old.witness,
                    messages.ForgetTable(
                        self._ctx.next_id(), old.witness, g.id, old.operation
                    ),
                )
            self._ctx.emit(
                "takeover.done", workspace=self.workspace, grant_id=g.id
            )
        elif g.operation == g.id:
            # Drawn by this incarnation and never used.
            held = self.grant_type(self._ctx, self.workspace, g)
            held.standing = g.id == self._standing_id
        else:
            self._ctx.emit(
                "grant.unaccounted", workspace=self.workspace, grant_id=g.id
            )
            return
        self.grants[g.id] = held
        self._checks[g.id] = permit_checks.PermitChecks(
            self._ctx, held, inherited=g.operation != g.id
        )

    def _forget_table(self, held: held_grant.HeldGrant) -> None:
        if held.witness is not None:
            self._ctx.send(
                held.witness,
                messages.ForgetTable(
                    self._ctx.next_id(),
                    held.witness,
                    held.id,
                    held.operation,
                ),
            )

    def _drop(self, held: held_grant.HeldGrant) -> None:
        del self.grants[held.id]
        del self._checks[held.id]
        self._forget_table(held)
        self._ctx.emit(
            "grant.dropped", workspace=self.workspace, grant_id=held.id
        )
        for sender, msg in held.unanswered():
            self.on_ask(sender, msg)

    # Conclusions from a ledger that needs no change.

    def _conclude(self) -> None:
        port = self.port
        token = port.read_token
        for after, sender, msg in self._recallers:
            if token > after:
                self._ctx.send(
                    sender,
                    messages.BudgetRecalled(msg.ask_id, self.workspace),
                )
        self._recallers = [r for r in self._recallers if token < r[0]]
        due = [call for after, call in self._on_ledger if token > after]
        self._on_ledger = [x for x in self._on_ledger if token < x[0]]
        for call in due:
            call(port)
        for ask in list(self.pending):
            if port.read_at_s >= ask.fresh_after_s:
                self._conclude_ask(ask)

    def _conclude_ask(self, ask: pending_ask.PendingAsk) -> None:
        led = self.port.ledger
        if led is None:
            self._refuse(ask, ask_answers.exhausted(ask.msg, final=True))
            return
        keyed_elsewhere = ask.msg.keyed and led.primary not in self.grants
        if keyed_elsewhere and self._conclude_keyed(ask, led):
            return
        if any(g.proposal is not None for g in self.grants.values()):
            return
        others = {
            g.holder for g in led.grants.values() if g.holder != self._ctx.own
        }
        if not others:
            ask.stage = _Stage.RECALLED
        if ask.stage is _Stage.RECALLED:
            if self._serve(ask):
                self.pending.remove(ask)
            elif not (others and self._want):
                self._refuse(ask, ask_answers.exhausted(ask.msg, final=True))
        elif self._recall is None:
            self._start_recall(others)

    def _conclude_keyed(
        self, ask: pending_ask.PendingAsk, led: ledger_lib.Ledger
    ) -> bool:
        primary = led.grants.get(led.primary)
        if primary is None:
            return False
        fleet = self._ctx.fleet
        if fleet.is_reachable(primary.holder):
            self._refuse(ask, ask_answers.redirect(ask.msg, primary.holder))
            return True
        t = self.takeovers.get(primary.id)
        if t is not None and t.failed:
            self._refuse(ask, ask_answers.primary_lost(ask.msg))
        elif t is None:
            self.start_takeover(primary)
            self.takeovers[primary.id].pump()
        return True

    def _start_recall(self, others: set[incarnation.Incarnation]) -> None:
        asks = [a for a in self.pending if a.stage is _Stage.NEW]
        for ask in asks:
            ask.stage = _Stage.RECALLING
        self._recall = recall_lib.Recall(
            self._ctx,
            self.workspace,
            others,
            sum(a.msg.worst_case for a in asks),
        )

    # Planned stop and reports.

    def states(self) -> tuple[messages.GrantState, ...]:
        """Returns the live state of all held grants."""
        return tuple(
            messages.GrantState(
                g.id,
                g.operation,
                self._ctx.own,
                g.amount,
                g.table.settled - g.claims.cost,
                g.table.held + g.claims.cost,
                g.table.open_count,
                0,
                live=True,
            )
            for g in self.grants.values()
        )

    def freeze_for_handover(self) -> list[held_grant.HeldGrant]:
        """Returns the grants that can't be closed; they are frozen now."""
        chosen = [
            g
            for g in self.grants.values()
            if self._is_primary(g) or g.table.open_count
        ]
        for g in chosen:
            g.frozen = True
        return chosen

    def grant_ids(self) -> frozenset[str]:
        """Returns the ids of held grants and of those in the ledger."""
        led = self.port.ledger
        return frozenset(
            itertools.chain(self.grants, () if led is None else led.grants)
        )
