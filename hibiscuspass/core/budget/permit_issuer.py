"""Answers asks for permits of one workspace."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import ask_answers
from hibiscuspass.core.budget import grant_keeper
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import pending_ask
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import recall as recall_lib
from hibiscuspass.core.budget import workspace_state

_Stage = pending_ask.AskStage

# An unused want is withdrawn after this time, so that a workspace near the end
# of its budget doesn't cause two writes for each refused request.
_WANT_KEPT_S = 5.0


class PermitIssuer:
    """Serves asks from held grants, or refuses them for a known reason."""

    def __init__(
        self,
        state: workspace_state.WorkspaceState,
        keeper: grant_keeper.GrantKeeper,
    ) -> None:
        self._state = state
        self._ctx = state.ctx
        self._keeper = keeper
        self._recall: recall_lib.Recall | None = None

    @property
    def recalling(self) -> bool:
        """Whether holders have been asked to return budget."""
        return self._recall is not None

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
            self._ctx.now_s - self._ctx.timing.ledger_max_age_s,
            self._ctx.now_s + self._ctx.timing.ask_expiry_s,
            self._ctx.next_id() if msg.keyed else 0,
        )
        if not self._serve(ask):
            self._state.pending.append(ask)
            self._ctx.wake(self._state.workspace, ask.deadline_s)

    def serve_pending(self) -> None:
        """Serves the queued asks that can be served now."""
        for held in self._state.grants.values():
            if held.is_stuck and not held.frozen:
                self._move_waiters(held)
        if self._state.pending:
            self._state.pending = [
                a for a in self._state.pending if not self._serve(a)
            ]

    def on_recalled(self, sender: incarnation.Incarnation) -> None:
        """Takes in a holder's answer to a recall."""
        if self._recall is not None:
            self._recall.waiting.discard(sender)

    def expire(self) -> None:
        """Refuses asks that have waited too long."""
        for ask in list(self._state.pending):
            if self._ctx.draining:
                self._refuse(ask, ask_answers.shutting_down(ask.msg))
                continue
            if self._ctx.now_s < ask.deadline_s:
                continue
            recalled = ask.stage is _Stage.RECALLED
            # Without a fresh ledger a keyed request may have a permit under a
            # primary grant that another router holds.
            unsure = self._state.ledger_client.failing or ask.msg.keyed
            if recalled and not unsure:
                answer = ask_answers.exhausted(ask.msg, final=True)
            else:
                answer = ask_answers.unavailable(ask.msg)
            self._refuse(ask, answer)

    def end_recall(self) -> None:
        """Ends a round of recall messages that is complete or due."""
        if self._recall is None or not self._recall.done:
            return
        for ask in self._state.pending:
            if ask.stage is _Stage.RECALLING:
                ask.stage = _Stage.RECALLED
                ask.fresh_after_s = self._ctx.now_s
        if self._recall.waiting:
            # A want only grows until it is withdrawn, to spare writes.
            self._state.requested_amount = max(
                self._state.requested_amount,
                sum(
                    a.msg.worst_case
                    for a in self._state.pending
                    if a.stage is _Stage.RECALLED
                ),
            )
            self._state.requested_until_s = self._ctx.now_s + _WANT_KEPT_S
        self._recall = None

    def conclude(self) -> None:
        """Answers asks from a ledger that needs no change."""
        for ask in list(self._state.pending):
            if self._state.is_ledger_fresh_for(ask):
                self._conclude_ask(ask)

    def _move_waiters(self, stuck: held_grant.HeldGrant) -> None:
        """Serves asks from another grant if their witness doesn't answer.

        The permit was not handed out, so its hold can be released.
        """
        for sender, msg in stuck.waiters.all():
            row = stuck.table.rows.get(msg.request_id)
            if msg.keyed or row is None or row.attempt_id != msg.attempt_id:
                continue
            other = next(
                (
                    g
                    for g in self._state.grants.values()
                    if g.can_issue
                    and not g.is_stuck
                    and g.available >= msg.worst_case
                ),
                None,
            )
            if other is not None:
                stuck.release(row)
                # The witness may have the released permit, so both grants could
                # bill it.
                other.open(sender, attrs.evolve(msg, contested=True))

    def _serve(self, ask: pending_ask.PendingAsk) -> bool:
        if not self._ctx.policy(self._state.workspace):
            self._ctx.send(ask.sender, ask_answers.unknown_workspace(ask.msg))
            return True
        for held in self._state.grants.values():
            row = self._lookup(held, ask.msg)
            if row is not None:
                return self._serve_known(held, row, ask)
        held_or_none = self._usable_grant(ask)
        if held_or_none is None:
            return False
        held_or_none.open(ask.sender, ask.msg)
        return True

    def _is_known(self, msg: messages.Ask) -> bool:
        """Whether an earlier attempt has a permit, so that it may have run."""
        return any(
            self._lookup(held, msg) is not None
            for held in self._state.grants.values()
        )

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
                held.waiters.add(ask.sender, msg)
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
            primary = self._state.primary()
            if primary and primary.can_issue and primary.available >= need:
                return primary
            return None
        # Standing reserves are for outages and for the end of the budget.
        stuck = any(g.is_stuck for g in self._state.grants.values())
        reserve_too = (
            self._state.ledger_client.failing
            or stuck
            or ask.stage is not _Stage.NEW
        )
        usable = [
            g
            for g in self._state.grants.values()
            if g.can_issue
            and g.available >= need
            and (reserve_too or not g.is_reserve)
        ]
        return min(
            usable, key=lambda g: (g.is_stuck, g.is_reserve), default=None
        )

    def _conclude_ask(self, ask: pending_ask.PendingAsk) -> None:
        led = self._state.ledger_client.ledger
        if led is None:
            self._refuse(ask, ask_answers.exhausted(ask.msg, final=True))
            return
        keyed_elsewhere = (
            ask.msg.keyed and led.primary not in self._state.grants
        )
        if keyed_elsewhere and self._conclude_keyed(ask, led):
            return
        if self._state.is_replacing_witness:
            return
        others = {
            g.holder for g in led.grants.values() if g.holder != self._ctx.own
        }
        if not others:
            ask.stage = _Stage.RECALLED
        if ask.stage is _Stage.RECALLED:
            if self._serve(ask):
                self._state.pending.remove(ask)
            elif self._is_known(ask.msg):
                # The permit of an earlier attempt can be continued once its
                # grant can issue again; until then the ask waits.
                return
            elif not (others and self._state.requested_amount):
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
        t = self._state.takeovers.get(primary.id)
        if t is not None and self._keeper.is_unrecoverable(t):
            self._refuse(ask, ask_answers.primary_lost(ask.msg))
        elif t is None:
            self._keeper.start_takeover(primary)
            self._state.takeovers[primary.id].pump()
        return True

    def _start_recall(self, others: set[incarnation.Incarnation]) -> None:
        asks = [a for a in self._state.pending if a.stage is _Stage.NEW]
        for ask in asks:
            ask.stage = _Stage.RECALLING
        self._recall = recall_lib.Recall(
            self._ctx,
            self._state.workspace,
            others,
            sum(a.msg.worst_case for a in asks),
        )

    def _refuse(
        self, ask: pending_ask.PendingAsk, answer: messages.AskRefused
    ) -> None:
        self._state.pending.remove(ask)
        self._ctx.send(ask.sender, answer)
