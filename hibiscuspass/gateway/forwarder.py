"""Forwards checked requests: reserves tokens, sends, and relays the answer."""

import asyncio
from collections.abc import Callable
import time

from aiohttp import web
import structlog

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import answer_times
from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.forwarding import progress
from hibiscuspass.core.forwarding import prompt_trial
from hibiscuspass.core.prepaid import workspace_usage as usage_lib
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import dispatch as dispatch_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import load_shedding
from hibiscuspass.gateway import prepaid_runtime
from hibiscuspass.gateway import prompt_guard
from hibiscuspass.gateway import refusal_responses
from hibiscuspass.gateway import relay as relay_lib
from hibiscuspass.gateway import send_checks
from hibiscuspass.gateway import sends as sends_lib
from hibiscuspass.gateway import time_limits
from hibiscuspass.gateway import upstream_protocol

_log = structlog.get_logger(__name__)

# Share of the time until a request's deadline that a search for prepaid tokens
# may take.
_BUDGET_SEARCH_SHARE = 0.125
# Status of a response that is not sent, because the caller disconnected.
_CLIENT_CLOSED = 499
_SUCCESS_STATUSES = range(200, 300)


class Forwarder:
    """Forwards checked requests and settles their prepaid tokens."""

    def __init__(
        self,
        prepaid: prepaid_runtime.PrepaidRuntime,
        dispatcher: dispatch_lib.Dispatcher,
        guard: prompt_guard.PromptGuard,
        limits: time_limits.TimeLimits,
        metrics: gateway_metrics.GatewayMetrics,
        shedding: load_shedding.LoadShedding,
    ) -> None:
        self._prepaid = prepaid
        self._guard = guard
        self._dispatcher = dispatcher
        self._admission = dispatcher.admission
        self._limits = limits
        self._metrics = metrics
        self._shedding = shedding

    async def forward(
        self, http: web.BaseRequest, call: call_lib.Call
    ) -> web.StreamResponse:
        """Forwards a request.

        Returns:
          The response to the caller; a stream is already sent.
        """
        refused = self._guard.check(call.req) or self._admission.check(call)
        if refused:
            return self._refuse(call, refused)
        ticket = await self._admission.enter(call)
        status = 0
        try:
            resp = await self._forward_admitted(http, call)
            status = resp.status
            return resp
        finally:
            self._admission.leave(
                ticket, was_served=status in _SUCCESS_STATUSES
            )

    async def _forward_admitted(
        self, http: web.BaseRequest, call: call_lib.Call
    ) -> web.StreamResponse:
        hold = await self._reserve(call)
        if isinstance(hold, refusal.Refusal):
            return self._refuse(call, hold)
        relay = relay_lib.Relay(
            http,
            call,
            self._dispatcher.tokens_per_event,
            self._shedding.on_answer,
        )
        attempts = sends_lib.Sends(call.route.max_attempts)
        try:
            async with self._limits.until(call.req.deadline_s):
                outcome = await self._send_until_answered(call, relay, attempts)
        except TimeoutError:
            outcome = self._on_timeout(call, relay, attempts)
        except ConnectionResetError:
            self._on_caller_left(call, relay, attempts)
            relay.abort()
            return relay.response or web.Response(status=_CLIENT_CLOSED)
        except asyncio.CancelledError:
            self._on_caller_left(call, relay, attempts)
            raise
        finally:
            self._dispatcher.abandon(attempts)
            if hold:
                used = relay.tokens_used if attempts.may_have_run else 0
                self._prepaid.accounts.settle(hold, used, time.monotonic())
        return self._finish(call, relay, attempts, outcome)

    async def _reserve(
        self, call: call_lib.Call
    ) -> usage_lib.Hold | refusal.Refusal | None:
        workspace = call.workspace
        tokens = call.req.max_tokens
        if workspace is None or not tokens:
            return None
        if not self._prepaid.accounts.is_limited(workspace.name):
            return None
        remaining_s = call.req.deadline_s - call.req.received_s
        return await self._prepaid.hold_tokens(
            workspace.name,
            tokens,
            call.route.priority,
            call.req.received_s + _BUDGET_SEARCH_SHARE * remaining_s,
        )

    async def _send_until_answered(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        attempts: sends_lib.Sends,
    ) -> refusal.Refusal | None:
        """Sends the request until one answer was relayed completely.

        A stream that broke off is resumed at another server where the route
        allows it.

        Returns:
          None after a complete answer, else the reason why there is none.
        """
        while True:
            resp = await self._dispatcher.dispatch(
                call, attempts, relay.last_event_id
            )
            if isinstance(resp, refusal.Refusal):
                return resp
            failure = await self._relay_answer(call, relay, resp, attempts)
            if failure is None:
                return None
            attempts.last_failure = failure
            if not call.route.may_repeat or not relay.can_continue:
                return refusal.Refusal(
                    reason_lib.Reason.BACKEND_LOST,
                    failure,
                    run_state.RunState.UNKNOWN,
                )

    async def _relay_answer(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        answer: sends_lib.Answer,
        attempts: sends_lib.Sends,
    ) -> str | None:
        """Relays one answer; returns why it broke off, or None."""
        trial = prompt_trial.PromptTrial()
        times = answer_times.AnswerTimes(answer.sent_s)
        events_before = relay.events

        async def hand_over(has_progressed: Callable[[], bool]) -> bool:
            return relay.can_continue and await self._dispatcher.hand_over(
                call,
                attempts,
                answer.service,
                relay.last_event_id,
                has_progressed,
            )

        def on_event(now_s: float) -> None:
            times.on_events(relay.events, now_s)
            if not trial.has_begun:
                self._admission.on_first_event(answer.service, answer.choice)
            if trial.on_event(now_s):
                self._dispatcher.on_finding(
                    call,
                    answer,
                    prompt_trial.Finding.SOUND,
                    relay.events - events_before,
                )

        try:
            failure = await relay.copy(
                answer.resp,
                on_event,
                progress.ProgressWatch(
                    call.route, answer.choice.expected_s, answer.sent_s
                ),
                hand_over,
            )
        except BaseException:
            # The caller left or the deadline passed, which is not a failure of
            # the server.
            self._dispatcher.on_ended(
                answer,
                times.served(time.monotonic(), is_complete=False),
                succeeded=True,
            )
            raise
        self._dispatcher.on_ended(
            answer,
            times.served(time.monotonic(), is_complete=failure is None),
            succeeded=failure is None,
        )
        finding = trial.on_end(
            is_complete=failure is None,
            has_framing=upstream_protocol.has_framing(answer.resp),
        )
        if finding:
            self._dispatcher.on_finding(
                call, answer, finding, relay.events - events_before
            )
        return failure

    def _on_timeout(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        attempts: attempts_lib.Attempts,
    ) -> refusal.Refusal:
        is_cut = (
            self._limits.stop is not None
            and self._limits.stop.cut_s < call.req.deadline_s
        )
        if attempts.may_have_run or relay.is_started:
            return refusal.Refusal(
                reason_lib.Reason.BACKEND_TIMEOUT,
                "this router stops"
                if is_cut
                else "the time for the request is over",
                run_state.RunState.UNKNOWN,
            )
        if is_cut:
            return send_checks.refuse_in_stop(attempts)
        return refusal.Refusal(
            reason_lib.Reason.DEADLINE, "the time is over; not run"
        )

    def _on_caller_left(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        attempts: attempts_lib.Attempts,
    ) -> None:
        latency_s = time.monotonic() - call.req.received_s
        self._metrics.on_answer(call.route.kind.value, "left", latency_s)
        _log.info(
            "caller left",
            request=call.req.attempt_id,
            route=call.route.name,
            backend=attempts.last_backend,
            sends=attempts.sends,
            events=relay.events,
            first_ms=_since_ms(call, relay.first_event_s),
            ms=round(latency_s * 1000),
        )

    def _finish(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        attempts: attempts_lib.Attempts,
        outcome: refusal.Refusal | None,
    ) -> web.StreamResponse:
        now_s = time.monotonic()
        latency_s = now_s - call.req.received_s
        if outcome is None:
            assert relay.response is not None
            self._metrics.on_answer(
                call.route.kind.value, str(relay.status), latency_s
            )
            _log.info(
                "answered",
                request=call.req.attempt_id,
                route=call.route.name,
                status=relay.status,
                backend=attempts.last_backend,
                sends=attempts.sends,
                events=relay.events,
                workspace=call.workspace.name if call.workspace else None,
                held=call.req.max_tokens,
                used=relay.tokens_used,
                first_ms=_since_ms(call, relay.first_event_s),
                pause_ms=round(relay.longest_pause_s * 1000),
                ms=round(latency_s * 1000),
            )
            return relay.response
        if relay.is_started:
            self._metrics.on_answer(call.route.kind.value, "cut", latency_s)
            _log.warning(
                "answer broke off",
                request=call.req.attempt_id,
                route=call.route.name,
                backend=attempts.last_backend,
                sends=attempts.sends,
                events=relay.events,
                detail=outcome.detail,
                ms=round(latency_s * 1000),
            )
            relay.abort()
            # The connection is closed, so aiohttp can't complete the answer.
            assert relay.response is not None
            return relay.response
        outcome = self._admission.on_refused(call, attempts, outcome)
        return self._refuse(call, outcome, attempts)

    def _refuse(
        self,
        call: call_lib.Call,
        refused: refusal.Refusal,
        attempts: attempts_lib.Attempts | None = None,
    ) -> web.Response:
        answer = refusal_responses.make_response(refused)
        latency_s = time.monotonic() - call.req.received_s
        self._metrics.on_answer(
            call.route.kind.value, refused.reason.value, latency_s
        )
        _log.info(
            "refused",
            request=call.req.attempt_id,
            route=call.route.name,
            workspace=call.workspace.name if call.workspace else None,
            version=call.version,
            status=answer.status,
            reason=refused.reason.value,
            detail=refused.detail,
            backend=attempts.last_backend if attempts else None,
            sends=attempts.sends if attempts else 0,
            tokens=call.req.max_tokens,
            ms=round(latency_s * 1000),
        )
        return answer


def _since_ms(call: call_lib.Call, at_s: float | None) -> int | None:
    """Returns the milliseconds from a request's arrival to `at_s`."""
    if at_s is None:
        return None
    return round((at_s - call.req.received_s) * 1000)
