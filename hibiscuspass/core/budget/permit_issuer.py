"""Answers the asks for permits of one workspace."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import ask_answers
from hibiscuspass.core.budget import grant_reconciler
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import pending_ask
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import recall as recall_lib
from hibiscuspass.core.budget import workspace_state

_Stage = pending_ask.AskStage

# Time after which an unused return request is withdrawn from the ledger. If it
# were withdrawn at once, a workspace near the end of its budget would cause two
# ledger writes for each refused request.
_RETURN_REQUEST_LIFETIME_S = 5.0


class PermitIssuer:
    """Answers asks from the held grants, or refuses them.

    An ask that no held grant can serve is queued until the ledger has been
    read, other holders have been asked to return budget, or it expires.
    """

    def __init__(
        self,
        state: workspace_state.WorkspaceState,
        reconciler: grant_reconciler.GrantReconciler,
    ) -> None:
        self._state = state
        self._ctx = state.ctx
        self._reconciler = reconciler
        self._recall: recall_lib.Recall | None = None

    @property
    def is_recalling(self) -> bool:
        """Whether holders have been asked to return budget."""
        return self._recall is not None

    def on_ask(
        self, sender: incarnation.Incarnation, msg: messages.Ask
    ) -> None:
        """Answers an ask now, or queues it."""
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
        """Answers the queued asks that can be answered now."""
        for held in self._state.grants.values():
            if held.witness_is_unresponsive and not held.frozen:
                self._move_waiters(held)
        if self._state.pending:
            self._state.pending = [
                a for a in self._state.pending if not self._serve(a)
            ]

    def on_budget_recalled(self, sender: incarnation.Incarnation) -> None:
        """Handles a holder's answer to a recall message."""
        if self._recall is not None:
            self._recall.unanswered.discard(sender)

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
            is_uncertain = self._state.ledger_client.failing or ask.msg.keyed
            if recalled and not is_uncertain:
                answer = ask_answers.budget_exhausted(ask.msg, final=True)
            else:
                answer = ask_answers.budget_unavailable(ask.msg)
            self._refuse(ask, answer)

    def finish_recall(self) -> None:
        """Ends a round of recall messages that is complete or timed out."""
        if self._recall is None or not self._recall.is_complete:
            return
        for ask in self._state.pending:
            if ask.stage is _Stage.RECALLING:
                ask.stage = _Stage.RECALLED
                ask.min_read_at_s = self._ctx.now_s
        if self._recall.unanswered:
            # The request only grows until it is withdrawn, which saves writes.
            self._state.requested_amount = max(
                self._state.requested_amount,
                sum(
                    a.msg.worst_case
                    for a in self._state.pending
                    if a.stage is _Stage.RECALLED
                ),
            )
            self._state.requested_until_s = (
                self._ctx.now_s + _RETURN_REQUEST_LIFETIME_S
            )
        self._recall = None

    def answer_from_ledger(self) -> None:
        """Answers queued asks from a ledger that needs no change."""
        for ask in list(self._state.pending):
            if self._state.is_ledger_fresh_for(ask):
                self._answer_ask(ask)

    def _move_waiters(self, unresponsive: held_grant.HeldGrant) -> None:
        """Serves the waiting asks of a grant from another one.

        Used when the witness does not answer. The waiting permits were not
        handed out, so their holds can be released.
        """
        for sender, msg in unresponsive.waiters.all():
            row = unresponsive.table.rows.get(msg.request_id)
            if msg.keyed or row is None or row.attempt_id != msg.attempt_id:
                continue
            other = next(
                (
                    g
                    for g in self._state.grants.values()
                    if g.can_issue
                    and not g.witness_is_unresponsive
                    and g.available >= msg.worst_case
                ),
                None,
            )
            if other is not None:
                unresponsive.release(row)
                # The witness may have stored the released permit, so both
                # grants could bill the request.
                other.open(sender, attrs.evolve(msg, contested=True))

    def _serve(self, ask: pending_ask.PendingAsk) -> bool:
        if not self._ctx.policy(self._state.workspace):
            self._ctx.send(ask.sender, ask_answers.unknown_workspace(ask.msg))
            return True
        for held in self._state.grants.values():
            row = self._find_row(held, ask.msg)
            if row is not None:
                return self._serve_existing(held, row, ask)
        held_or_none = self._choose_grant(ask)
        if held_or_none is None:
            return False
        held_or_none.open(ask.sender, ask.msg)
        return True

    def _has_permit(self, msg: messages.Ask) -> bool:
        """Whether an earlier attempt has a permit, so it may have run."""
        return any(
            self._find_row(held, msg) is not None
            for held in self._state.grants.values()
        )

    def _find_row(
        self, held: held_grant.HeldGrant, msg: messages.Ask
    ) -> permit_row.PermitRow | None:
        return held.table.rows.get(msg.request_id)

    def _serve_existing(
        self,
        held: held_grant.HeldGrant,
        row: permit_row.PermitRow,
        ask: pending_ask.PendingAsk,
    ) -> bool:
        msg = ask.msg
        if row.state is not permit_row.RowState.OPEN:
            self._ctx.send(ask.sender, ask_answers.ask_attached(msg, row))
        elif row.attempt_id == msg.attempt_id:
            if held.frozen:
                return False
            if msg.contested and not (row.contested or row.keyed):
                held.mark_contested(row, ask.sender, msg)
            elif held.is_acknowledged(row.request_id):
                self._ctx.send(ask.sender, held.permit_granted(row, msg.ask_id))
            else:
                held.waiters.add(ask.sender, msg)
        elif not self._ctx.fleet.is_gone(row.entry):
            self._ctx.send(ask.sender, ask_answers.ask_attached(msg, row))
        elif msg.worst_case > row.hold:
            self._ctx.send(
                ask.sender, ask_answers.idempotency_key_reused(msg, row.hold)
            )
        elif held.can_issue:
            held.reassign(row, ask.sender, msg)
        else:
            return False
        return True

    def _choose_grant(
        self, ask: pending_ask.PendingAsk
    ) -> held_grant.HeldGrant | None:
        need = ask.msg.worst_case
        if ask.msg.keyed:
            primary = self._state.primary()
            if primary and primary.can_issue and primary.available >= need:
                return primary
            return None
        # Reserve grants are for outages and for the end of the budget.
        unresponsive = any(
            g.witness_is_unresponsive for g in self._state.grants.values()
        )
        may_use_reserve = (
            self._state.ledger_client.failing
            or unresponsive
            or ask.stage is not _Stage.NEW
        )
        usable = [
            g
            for g in self._state.grants.values()
            if g.can_issue
            and g.available >= need
            and (may_use_reserve or not g.is_reserve)
        ]
        return min(
            usable,
            key=lambda g: (g.witness_is_unresponsive, g.is_reserve),
            default=None,
        )

    def _answer_ask(self, ask: pending_ask.PendingAsk) -> None:
        ledger = self._state.ledger_client.ledger
        if ledger is None:
            self._refuse(ask, ask_answers.budget_exhausted(ask.msg, final=True))
            return
        keyed_elsewhere = (
            ask.msg.keyed and ledger.primary not in self._state.grants
        )
        if keyed_elsewhere and self._resolve_keyed(ask, ledger):
            return
        if self._state.is_replacing_witness:
            return
        others = {
            g.holder
            for g in ledger.grants.values()
            if g.holder != self._ctx.own
        }
        if not others:
            ask.stage = _Stage.RECALLED
        if ask.stage is _Stage.RECALLED:
            if self._serve(ask):
                self._state.pending.remove(ask)
            elif self._has_permit(ask.msg):
                # The retry can take over the permit of the earlier attempt
                # once its grant can issue permits again.
                return
            elif not (others and self._state.requested_amount):
                self._refuse(
                    ask, ask_answers.budget_exhausted(ask.msg, final=True)
                )
        elif self._recall is None:
            self._start_recall(others)

    def _resolve_keyed(
        self, ask: pending_ask.PendingAsk, ledger: ledger_lib.Ledger
    ) -> bool:
        primary = ledger.grants.get(ledger.primary)
        if primary is None:
            return False
        fleet = self._ctx.fleet
        if fleet.is_reachable(primary.holder):
            self._refuse(
                ask, ask_answers.primary_redirect(ask.msg, primary.holder)
            )
            return True
        takeover = self._state.takeovers.get(primary.id)
        if takeover is not None and self._reconciler.is_unrecoverable(takeover):
            self._refuse(ask, ask_answers.primary_unreachable(ask.msg))
        elif takeover is None:
            self._reconciler.start_takeover(primary)
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
