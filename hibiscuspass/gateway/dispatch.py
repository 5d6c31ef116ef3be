"""Chooses backend servers for a request and sends it until one answers."""

from collections.abc import Callable
import time

import aiohttp
import attrs
import structlog

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selectors as selectors_lib
from hibiscuspass.core.forwarding import progress
from hibiscuspass.core.forwarding import prompt_trial
from hibiscuspass.core.forwarding import repeat_budget
from hibiscuspass.core.forwarding import retry_on_failure
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.core.forwarding import server_capacity
from hibiscuspass.gateway import admission
from hibiscuspass.gateway import backend_chooser
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import dispatch_announcer
from hibiscuspass.gateway import failure_signs
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import load_monitors
from hibiscuspass.gateway import prompt_guard
from hibiscuspass.gateway import send_checks
from hibiscuspass.gateway import sends as sends_lib
from hibiscuspass.gateway import time_limits
from hibiscuspass.gateway import upstream as upstream_lib
from hibiscuspass.gateway import watched_send
from hibiscuspass.platform import headers as names

_log = structlog.get_logger(__name__)

_SUCCESS_STATUSES = range(200, 300)


class Dispatcher:
    """Sends requests; repeats them where route and retry budget allow it.

    Attributes:
      admission: Admission control, which learns from the sends.
    """

    def __init__(
        self,
        upstream: upstream_lib.Upstream,
        chooser: backend_chooser.BackendChooser,
        selectors: selectors_lib.BackendSelectors,
        repeats: repeat_budget.RepeatBudgets,
        table: Callable[[], route_table.RouteTable | None],
        fleet: fleet_lib.Fleet,
        announcer: dispatch_announcer.DispatchAnnouncer,
        monitors: load_monitors.LoadMonitors,
        guard: prompt_guard.PromptGuard,
        limits: time_limits.TimeLimits,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._upstream = upstream
        self._chooser = chooser
        self._selectors = selectors
        self._repeats = repeats
        self._table = table
        self._fleet = fleet
        self._announcer = announcer
        self._monitors = monitors
        self._guard = guard
        self._checks = send_checks.SendChecks(guard, limits, repeats, fleet)
        self._metrics = metrics
        self.admission = admission.Admission(
            table, chooser.ready_count, metrics
        )

    def tokens_per_event(self, call: call_lib.Call) -> int:
        """Returns the largest number of tokens in one event of an answer.

        It is the maximum over the engine services of the route, since any of
        them may answer.
        """
        table = self._table()
        engines = [
            service.engine
            for share in call.route.shares
            if table and (service := table.services.get(share.service))
        ]
        return max((e.tokens_per_event for e in engines if e), default=1)

    async def dispatch(
        self,
        call: call_lib.Call,
        attempts: sends_lib.Sends,
        last_event_id: str | None,
    ) -> sends_lib.Answer | refusal.Refusal:
        """Sends a request until a server answers.

        If a server answers with a failure of its own, such as status 500, the
        request is sent once more to another server where the route allows it.
        If that gives no answer, the failure is returned.

        Args:
          call: Request of the caller.
          attempts: Earlier sends of the request; updated.
          last_event_id: Id of the event after which a stream is resumed.

        Returns:
          The answer, or a refusal if no server answered.
        """
        failed: sends_lib.Answer | None = None
        try:
            while True:
                outcome = await self._dispatch_once(
                    call, attempts, last_event_id
                )
                if not isinstance(outcome, sends_lib.Answer):
                    fallback, failed = failed, None
                    return fallback or outcome
                if failed is not None or not self._should_try_another(
                    call, outcome, attempts
                ):
                    return outcome
                failed = outcome
        finally:
            if failed is not None:
                self._drop(failed)

    def _should_try_another(
        self,
        call: call_lib.Call,
        answer: sends_lib.Answer,
        attempts: attempts_lib.Attempts,
    ) -> bool:
        """Returns whether to ask another server after this answer."""
        status = answer.resp.status
        now_s = time.monotonic()
        if not retry_on_failure.should_try_another_backend(
            call.route,
            status,
            elapsed_s=now_s - answer.sent_s,
            left_s=call.req.deadline_s - now_s,
        ):
            return False
        attempts.last_failure = f"status {status}"
        _log.info(
            "server failed, asking another",
            request=call.req.attempt_id,
            backend=answer.choice.backend.backend_id,
            status=status,
            sends=attempts.sends,
        )
        return True

    async def _dispatch_once(
        self,
        call: call_lib.Call,
        attempts: sends_lib.Sends,
        last_event_id: str | None,
    ) -> sends_lib.Answer | refusal.Refusal:
        """Sends a request until a server answers, with success or failure."""
        while True:
            outcome = await attempts.join()
            if outcome is None:
                target = await self._next_target(call, attempts)
                if isinstance(target, refusal.Refusal):
                    return target
                outcome = await self._send(
                    call, target, attempts, last_event_id
                )
            if isinstance(outcome, sends_lib.Answer):
                return outcome
            may_have_run = outcome.run is not run_state.RunState.NO
            if may_have_run and not call.route.may_repeat:
                return refusal.Refusal(
                    reason_lib.Reason.BACKEND_LOST,
                    outcome.detail,
                    run_state.RunState.UNKNOWN,
                )

    async def _next_target(
        self, call: call_lib.Call, attempts: sends_lib.Sends
    ) -> sends_lib.Target | refusal.Refusal:
        """Returns the server to send to next; counts the send as a repeat."""
        service = self._chooser.choose_service(call)
        if service is None:
            return send_checks.give_up(attempts, "unknown service")
        choice = await self._chooser.choose(call, service, attempts)
        if choice is None:
            return send_checks.give_up(
                attempts,
                self._chooser.describe_none_left(service),
                self._chooser.retry_after_s(service),
            )
        refused = self.admission.check_choice(
            call, service, choice, attempts
        ) or self._checks.check(call, service, attempts)
        if refused:
            self._chooser.release(service, choice)
            return refused
        return sends_lib.Target(service, choice)

    async def hand_over(
        self,
        call: call_lib.Call,
        attempts: sends_lib.Sends,
        service: route_lib.Service,
        last_event_id: str | None,
        has_progressed: Callable[[], bool],
    ) -> bool:
        """Sends a request to another server while the one before is silent.

        Args:
          call: Request of the caller.
          attempts: Earlier sends of the request; updated.
          service: Service of the silent server.
          last_event_id: Id of the event after which a stream is resumed.
          has_progressed: Returns whether the silent server has gone on.

        Returns:
          Whether another server has the request, so that the silent one can be
          given up. The next `dispatch` returns the other one's answer.
        """
        if not self._can_ask_another(call, service, attempts):
            return False
        target = await self._next_target(call, attempts)
        if isinstance(target, refusal.Refusal):
            return False
        return await attempts.hand_over(
            lambda on_written: self._send(
                call, target, attempts, last_event_id, on_written
            ),
            self._drop,
            has_progressed,
        )

    def abandon(self, attempts: sends_lib.Sends) -> None:
        """Cancels a send that took over and whose answer nobody reads."""
        attempts.cancel(self._drop)

    def _drop(self, outcome: sends_lib.Outcome) -> None:
        if isinstance(outcome, sends_lib.Answer):
            outcome.resp.close()
            served = server_capacity.Served(time.monotonic() - outcome.sent_s)
            self.on_ended(outcome, served, succeeded=True)

    def on_finding(
        self,
        call: call_lib.Call,
        answer: sends_lib.Answer,
        finding: prompt_trial.Finding,
        events: int,
    ) -> None:
        """Records what an answer shows; `events` of it have arrived."""
        backend = answer.choice.backend
        self._guard.on_finding(
            call.req, backend, answer.sent_s, finding, events
        )

    def on_ended(
        self,
        answer: sends_lib.Answer,
        served: server_capacity.Served,
        *,
        succeeded: bool,
    ) -> None:
        """Records the end of an answer, and what was observed of it."""
        if answer.resp.status not in _SUCCESS_STATUSES:
            served = attrs.evolve(served, is_complete=False)
        target = sends_lib.Target(answer.service, answer.choice)
        self._on_served(target, served)
        self._selectors.on_result(
            answer.choice.backend.instance,
            succeeded=succeeded,
            now_s=time.monotonic(),
        )

    async def _send(
        self,
        call: call_lib.Call,
        target: sends_lib.Target,
        attempts: sends_lib.Sends,
        last_event_id: str | None,
        on_written: Callable[[], None] | None = None,
    ) -> sends_lib.Outcome:
        service, choice = target.service, target.choice
        backend = choice.backend
        sent_s = time.monotonic()
        attempts.on_send(backend.backend_id)
        self._selectors.of(service).on_sent(call.req, choice, sent_s)
        self.admission.on_sent(call, service, choice, attempts, sent_s)
        if not self._monitors.is_needed:
            self._announcer.announce(service, call.req, choice)
        _log.info(
            "sent",
            request=call.req.attempt_id,
            route=call.route.name,
            version=call.version,
            backend=backend.backend_id,
            send=attempts.sends,
            new_tokens=choice.new_tokens,
            expected_ms=round(choice.expected_s * 1000),
            servers_version=self._chooser.version,
        )
        outcome: aiohttp.ClientResponse | upstream_lib.Failure | None = None
        try:
            outcome = await watched_send.send(
                self._upstream.send(
                    call,
                    backend,
                    last_event_id=last_event_id,
                    on_written=on_written,
                ),
                progress.ProgressWatch(call.route, choice.expected_s, sent_s),
                lambda has_progressed: self.hand_over(
                    call, attempts, service, last_event_id, has_progressed
                ),
            )
        finally:
            if not isinstance(outcome, aiohttp.ClientResponse):
                is_refused = outcome is not None and outcome.is_busy
                duration_s = time.monotonic() - sent_s
                self._on_served(
                    target,
                    server_capacity.Served(duration_s, is_refused=is_refused),
                )
        if not isinstance(outcome, upstream_lib.Failure):
            self._metrics.on_send("answered")
            self.admission.on_head(service, choice)
            if names.is_leaving(outcome.headers):
                self._chooser.on_leaving(backend, "header of an answer")
            limit = names.named_limit(outcome.headers)
            self._chooser.on_named_limit(backend, limit, sent_s)
            return sends_lib.Answer(outcome, choice, service, sent_s)
        self._metrics.on_send(outcome.run.value)
        if outcome.run is run_state.RunState.NO:
            attempts.on_not_run()
        if outcome.is_connection_lost:
            self._guard.on_lost(call.req, backend, sent_s)
        self._on_failure(call, backend, attempts, outcome, sent_s)
        return outcome

    def _on_served(
        self, target: sends_lib.Target, served: server_capacity.Served
    ) -> None:
        self.admission.on_ended(target.service, target.choice)
        engines = self._chooser.ready_count(target.service)
        self._monitors.on_ended(target.service, target.choice, served, engines)

    def _can_ask_another(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        attempts: sends_lib.Sends,
    ) -> bool:
        """Returns whether the request may be sent to one more server now."""
        return (
            call.route.may_repeat
            and not attempts.is_handing_over
            and attempts.arrivals < attempts.max_attempts
            and self._chooser.ready_count(service) > len(attempts.tried)
            and self._repeats.of(service.name).can_repeat(
                self._fleet.known_size, time.monotonic()
            )
        )

    def _on_failure(
        self,
        call: call_lib.Call,
        backend: backend_lib.Backend,
        attempts: attempts_lib.Attempts,
        failure: upstream_lib.Failure,
        sent_s: float,
    ) -> None:
        attempts.last_failure = failure.detail
        attempts.busy += failure.is_busy
        if failure.is_unreachable:
            now_s = time.monotonic()
            attempts.on_unreachable(now_s - sent_s)
            self._selectors.on_unreachable(backend.instance, now_s)
        elif not failure.is_busy:
            self._selectors.on_result(
                backend.instance, succeeded=False, now_s=time.monotonic()
            )
        failure_signs.report(self._chooser, backend, failure, sent_s)
        _log.info(
            "send failed",
            request=call.req.attempt_id,
            backend=backend.backend_id,
            run=failure.run.value,
            detail=failure.detail,
            sends=attempts.sends,
        )
