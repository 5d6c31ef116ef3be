"""The entry role: permits for callers that are connected to this router."""

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_attempt
from hibiscuspass.core.budget import permit_use

WAKE_KEY = "\0entry"

# Limits the asks to the first routers in rendezvous order. After them, this
# router asks itself.
_MAX_ASKED_PEERS = 2
# After this many unconfirmed sends of a settlement, every second one goes to
# this router itself, which looks up the current holder in the ledger.
_SENDS_BEFORE_LOOKUP = 2


class EntryRole:
    """Asks for permits, sends settlements and answers status checks.

    Attributes:
      waiting_attempts: Attempts that wait for a permit, by attempt id.
      uses: Permits that are in use or whose settlement is not confirmed as
        durable, by attempt id.
    """

    def __init__(self, ctx: node_context.NodeContext) -> None:
        self._ctx = ctx
        self.waiting_attempts: dict[str, permit_attempt.WaitingAttempt] = {}
        self.uses: dict[str, permit_use.PermitUse] = {}
        self._unconfirmed_settlements: dict[str, permit_use.PermitUse] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no attempt waits and all settlements are durable."""
        return not self.uses and not self.waiting_attempts

    def acquire(self, req: permit_lib.PermitRequest, deadline_s: float) -> None:
        """Starts to ask routers for a permit."""
        if self._ctx.draining:
            # A keyed request may have run in an earlier attempt.
            unknown, no = run_state.RunState.UNKNOWN, run_state.RunState.NO
            self._finish(
                req.attempt_id,
                refusal.Refusal(
                    reason_lib.Reason.SHUTTING_DOWN,
                    "the router is stopping",
                    unknown if req.keyed else no,
                ),
            )
            return
        if req.worst_case <= 0:
            self._finish(
                req.attempt_id,
                refusal.Refusal(
                    reason_lib.Reason.INVALID_REQUEST,
                    f"worst case {req.worst_case}: must be above 0",
                ),
            )
            return
        order = self._ctx.fleet.rendezvous_order(req.workspace)
        responsive = [r for r in order if self._ctx.is_responsive(r)]
        candidates = responsive[:_MAX_ASKED_PEERS]
        if self._ctx.own not in candidates:
            candidates.append(self._ctx.own)
        attempt = permit_attempt.WaitingAttempt(req, deadline_s, candidates)
        self.waiting_attempts[req.attempt_id] = attempt
        self._ctx.wake(WAKE_KEY, deadline_s)
        self._ask_next(attempt)

    def cancel(self, attempt_id: str) -> None:
        """Cancels an attempt; an unused permit is settled with cost 0."""
        attempt = self.waiting_attempts.pop(attempt_id, None)
        if attempt is not None:
            return
        use = self.uses.get(attempt_id)
        if (
            use is not None
            and use.state is permit_use.UseState.HELD
            and not use.backend
        ):
            self.settle(use.permit, 0, permit_lib.CostKind.REPORTED)

    def mark_used(self, permit: permit_lib.Permit, backend: str) -> None:
        """Records the backend server to which an attempt is sent."""
        use = self.uses.get(permit.attempt_id)
        if use is None:
            return
        use.backend = backend
        if use.keyed:
            # A retry attaches to the backend server. Only keyed requests can be
            # recognized as retries.
            self._ctx.send(
                use.holder,
                messages.PermitUsed(
                    self._ctx.next_id(),
                    use.holder,
                    permit.workspace,
                    permit.grant_id,
                    permit.request_id,
                    permit.attempt_id,
                    backend,
                ),
            )

    def settle(
        self,
        permit: permit_lib.Permit,
        cost: int,
        kind: permit_lib.CostKind,
    ) -> None:
        """Starts to send the settlement until its billing record is durable."""
        use = self.uses.get(permit.attempt_id)
        if use is None or use.state is permit_use.UseState.SETTLED:
            return
        use.state = permit_use.UseState.SETTLED
        use.cost = max(0, min(cost, permit.hold))
        use.kind = kind
        self._unconfirmed_settlements[permit.attempt_id] = use
        self._send_settlement(use)

    def on_permit_granted(
        self, sender: incarnation.Incarnation, msg: messages.PermitGranted
    ) -> None:
        """Gives a permit to its attempt, or voids an unexpected one."""
        self._ctx.mark_responsive(sender)
        attempt = self.waiting_attempts.get(msg.attempt_id)
        if attempt is not None and msg.ask_id != attempt.ask_id:
            # Only a permit of the router that was asked last is used. The
            # billing of the holders relies on this (see `request_claims`).
            return
        if attempt is None:
            use = self.uses.get(msg.attempt_id)
            if use is None or use.permit.grant_id != msg.grant_id:
                self._send_void(sender, msg)
            return
        del self.waiting_attempts[msg.attempt_id]
        permit = permit_lib.Permit(
            msg.request_id,
            msg.attempt_id,
            msg.workspace,
            msg.grant_id,
            sender,
            msg.hold,
            msg.backend,
        )
        self.uses[msg.attempt_id] = permit_use.PermitUse(
            permit, sender, msg.epoch, attempt.req.keyed
        )
        self._finish(msg.attempt_id, permit)

    def on_ask_attached(self, msg: messages.AskAttached) -> None:
        """Ends an attempt whose request has a permit of another attempt."""
        attempt = self.waiting_attempts.get(msg.attempt_id)
        if attempt is None:
            return
        del self.waiting_attempts[msg.attempt_id]
        self._finish(
            msg.attempt_id,
            permit_lib.Attach(msg.request_id, msg.backend, msg.settled),
        )

    def on_ask_refused(
        self, sender: incarnation.Incarnation, msg: messages.AskRefused
    ) -> None:
        """Asks the next router, or ends the attempt with a refusal."""
        self._ctx.mark_responsive(sender)
        attempt = self.waiting_attempts.get(msg.attempt_id)
        if attempt is None:
            return
        attempt.last_refusal = msg
        target = msg.redirect
        if target is not None and target not in attempt.redirect_targets:
            attempt.redirect_targets.add(target)
            attempt.candidates.insert(0, target)
        if msg.final:
            self._give_up(attempt)
        elif sender == attempt.asked_router and msg.ask_id == attempt.ask_id:
            self._ask_next(attempt)

    def on_send_failed(self, msg: message.Request) -> None:
        """Asks the next router at once if an ask could not be sent."""
        if isinstance(msg, messages.Ask):
            attempt = self.waiting_attempts.get(msg.attempt_id)
            if attempt is not None and attempt.ask_id == msg.ask_id:
                self._ask_next(attempt)

    def on_settlements_durable(self, msg: messages.SettlementsDurable) -> None:
        """Stops sending settlements whose billing records are durable."""
        for attempt_id in msg.attempt_ids:
            use = self.uses.get(attempt_id)
            if (
                use is not None
                and use.permit.grant_id == msg.grant_id
                and use.state is permit_use.UseState.SETTLED
            ):
                self._discard_use(attempt_id)

    def on_grant_moved(self, msg: messages.GrantMoved) -> None:
        """Sends settlements to a new holder; drops those of a closed grant."""
        for attempt_id, use in list(self._unconfirmed_settlements.items()):
            if use.permit.grant_id != msg.grant_id:
                continue
            if msg.closed:
                self._discard_use(attempt_id)
            elif msg.holder is not None and msg.epoch > use.epoch:
                use.holder, use.epoch = msg.holder, msg.epoch
                self._send_settlement(use)

    def on_status_check(
        self, sender: incarnation.Incarnation, msg: messages.StatusCheck
    ) -> None:
        """Answers a holder with the state of its open permits."""
        statuses = tuple(
            self._attempt_status(sender, msg, attempt_id)
            for attempt_id in msg.attempt_ids
        )
        self._ctx.send(
            sender,
            messages.StatusAnswer(
                msg.ask_id, msg.workspace, msg.grant_id, statuses
            ),
        )

    def pump(self) -> None:
        """Handles attempts and settlements whose timers have expired."""
        for attempt in list(self.waiting_attempts.values()):
            if self._ctx.now_s >= attempt.deadline_s:
                self._give_up(attempt)
            elif self._ctx.now_s >= attempt.ask_next_at_s:
                if attempt.asked_router is not None:
                    self._ctx.mark_unresponsive(attempt.asked_router)
                self._ask_next(attempt)
            else:
                self._ctx.wake(
                    WAKE_KEY, min(attempt.ask_next_at_s, attempt.deadline_s)
                )
        latest_s = self._ctx.now_s + self._settlement_retry_s
        for use in list(self._unconfirmed_settlements.values()):
            # A drain shortens the interval of settlements sent before it.
            use.next_send_at_s = min(use.next_send_at_s, latest_s)
            if self._ctx.now_s >= use.next_send_at_s:
                self._send_settlement(use)
            else:
                self._ctx.wake(WAKE_KEY, use.next_send_at_s)

    def _ask_next(self, attempt: permit_attempt.WaitingAttempt) -> None:
        if not attempt.candidates:
            self._give_up(attempt)
            return
        req = attempt.req
        contested = attempt.asked_router is not None
        attempt.asked_router = attempt.candidates.pop(0)
        attempt.ask_id = self._ctx.next_id()
        attempt.ask_next_at_s = self._ctx.now_s + self._ctx.timing.ask_timeout_s
        self._ctx.wake(WAKE_KEY, attempt.ask_next_at_s)
        self._ctx.send(
            attempt.asked_router,
            messages.Ask(
                attempt.ask_id,
                attempt.asked_router,
                req.request_id,
                req.attempt_id,
                req.workspace,
                req.worst_case,
                req.keyed,
                req.model,
                contested,
            ),
        )

    def _give_up(self, attempt: permit_attempt.WaitingAttempt) -> None:
        del self.waiting_attempts[attempt.req.attempt_id]
        answer = attempt.last_refusal
        if answer is not None:
            outcome = refusal.Refusal(answer.reason, answer.detail, answer.run)
        elif attempt.req.keyed:
            outcome = refusal.Refusal(
                reason_lib.Reason.PRIMARY_UNREACHABLE,
                "no router answered for the primary grant of workspace"
                f" {attempt.req.workspace!r}",
                run_state.RunState.UNKNOWN,
            )
        else:
            outcome = refusal.Refusal(
                reason_lib.Reason.BUDGET_UNAVAILABLE,
                "no router answered for the budget of workspace"
                f" {attempt.req.workspace!r}",
            )
        self._finish(attempt.req.attempt_id, outcome)

    def _finish(self, attempt_id: str, outcome: actions.Outcome) -> None:
        self._ctx.out.append(actions.FinishAcquire(attempt_id, outcome))

    def _send_void(
        self, sender: incarnation.Incarnation, msg: messages.PermitGranted
    ) -> None:
        self._ctx.send(
            sender,
            messages.VoidPermit(
                self._ctx.next_id(),
                sender,
                msg.workspace,
                msg.grant_id,
                msg.request_id,
                msg.attempt_id,
            ),
        )

    @property
    def _settlement_retry_s(self) -> float:
        timing = self._ctx.timing
        if self._ctx.draining:
            return min(timing.drain_retry_s, timing.report_retry_s)
        return timing.report_retry_s

    def _send_settlement(self, use: permit_use.PermitUse) -> None:
        use.settlements_sent += 1
        use.next_send_at_s = self._ctx.now_s + self._settlement_retry_s
        self._ctx.wake(WAKE_KEY, use.next_send_at_s)
        lookup = (
            use.settlements_sent > _SENDS_BEFORE_LOOKUP
            and use.settlements_sent % 2
        )
        # A router that doesn't hold the grant answers from the ledger.
        to = self._ctx.own if lookup else use.holder
        self._ctx.send(
            to,
            messages.SettlePermit(
                self._ctx.next_id(),
                to,
                use.permit.workspace,
                use.permit.grant_id,
                use.permit.request_id,
                use.permit.attempt_id,
                use.cost,
                use.kind,
            ),
        )

    def _discard_use(self, attempt_id: str) -> None:
        self.uses.pop(attempt_id, None)
        self._unconfirmed_settlements.pop(attempt_id, None)

    def _attempt_status(
        self,
        sender: incarnation.Incarnation,
        msg: messages.StatusCheck,
        attempt_id: str,
    ) -> messages.AttemptStatus:
        if attempt_id in self.waiting_attempts:
            return messages.AttemptStatus(attempt_id)
        use = self.uses.get(attempt_id)
        if use is None or use.permit.grant_id != msg.grant_id:
            return messages.AttemptStatus(attempt_id, void=True)
        if msg.epoch > use.epoch:
            use.holder, use.epoch = sender, msg.epoch
        return messages.AttemptStatus(
            attempt_id,
            settled=use.state is permit_use.UseState.SETTLED,
            backend=use.backend,
            cost=use.cost,
            kind=use.kind,
        )
