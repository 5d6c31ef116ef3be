"""Takes a caller's request through budget, placement, sends and answer."""

import asyncio
import time

from aiohttp import web
import structlog

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.prepaid import workspace_usage as usage_lib
from hibiscuspass.gateway import answers
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import dispatch as dispatch_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import prepaid_runtime
from hibiscuspass.gateway import relay as relay_lib

_log = structlog.get_logger(__name__)

# Part of the time that a caller has left which a search for prepaid tokens
# may take.
_BUDGET_SEARCH_SHARE = 0.125
# Never sent; the caller's connection is gone.
_CLIENT_CLOSED = 499


class Forwarder:
    """Forwards checked requests."""

    def __init__(
        self,
        prepaid: prepaid_runtime.PrepaidRuntime,
        dispatcher: dispatch_lib.Dispatcher,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._prepaid = prepaid
        self._dispatcher = dispatcher
        self._metrics = metrics

    async def forward(
        self, http: web.BaseRequest, call: call_lib.Call
    ) -> web.StreamResponse:
        """Returns the answer; it is already sent if it is a stream."""
        hold = await self._reserve(call)
        if isinstance(hold, refusal.Refusal):
            return self._refuse(call, hold)
        relay = relay_lib.Relay(http, call, self._dispatcher.tokens_per_event)
        tries = attempts_lib.Attempts(call.route.max_attempts)
        try:
            async with asyncio.timeout_at(call.req.deadline_s):
                outcome = await self._run(call, relay, tries)
        except TimeoutError:
            outcome = self._on_timeout(relay, tries)
        except ConnectionResetError:
            self._on_caller_left(call, relay, tries)
            relay.cut()
            return relay.response or web.Response(status=_CLIENT_CLOSED)
        except asyncio.CancelledError:
            self._on_caller_left(call, relay, tries)
            raise
        finally:
            if hold:
                used = relay.tokens_used if tries.may_have_run else 0
                self._prepaid.accounts.settle(hold, used, time.monotonic())
        return self._finish(call, relay, tries, outcome)

    async def _reserve(
        self, call: call_lib.Call
    ) -> usage_lib.Hold | refusal.Refusal | None:
        workspace = call.workspace
        tokens = call.req.max_tokens
        if workspace is None or not tokens:
            return None
        if not self._prepaid.accounts.is_limited(workspace.name):
            return None
        left_s = call.req.deadline_s - call.req.received_s
        return await self._prepaid.obtain(
            workspace.name,
            tokens,
            call.route.priority,
            call.req.received_s + _BUDGET_SEARCH_SHARE * left_s,
        )

    async def _run(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        tries: attempts_lib.Attempts,
    ) -> refusal.Refusal | None:
        """Sends until an answer was relayed; returns the refusal if none was.

        A stream that broke off goes on at another server where the route
        allows it.
        """
        while True:
            resp = await self._dispatcher.dispatch(
                call, tries, relay.last_event_id
            )
            if isinstance(resp, refusal.Refusal):
                return resp
            ended = await self._relay(relay, resp, tries)
            if ended is None:
                return None
            tries.last_failure = ended
            if not call.route.may_repeat or not relay.can_go_on:
                return refusal.Refusal(
                    reason_lib.Reason.BACKEND_LOST,
                    ended,
                    run_state.RunState.UNKNOWN,
                )

    async def _relay(
        self,
        relay: relay_lib.Relay,
        answer: dispatch_lib.Answer,
        tries: attempts_lib.Attempts,
    ) -> str | None:
        """Relays one answer; returns why it broke off, if it did."""
        try:
            broken = await relay.copy(
                answer.resp,
                lambda: self._dispatcher.on_first_event(answer),
            )
        except BaseException:
            # The caller left or the time is over; the server is not at fault.
            self._dispatcher.on_ended(answer, succeeded=True)
            raise
        self._dispatcher.on_ended(answer, succeeded=broken is None)
        return broken

    def _on_timeout(
        self, relay: relay_lib.Relay, tries: attempts_lib.Attempts
    ) -> refusal.Refusal:
        if tries.may_have_run or relay.is_started:
            return refusal.Refusal(
                reason_lib.Reason.BACKEND_TIMEOUT,
                "the time for the request is over",
                run_state.RunState.UNKNOWN,
            )
        return refusal.Refusal(
            reason_lib.Reason.DEADLINE, "the time is over; not run"
        )

    def _on_caller_left(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        tries: attempts_lib.Attempts,
    ) -> None:
        latency_s = time.monotonic() - call.req.received_s
        self._metrics.on_answer(call.route.kind.value, "left", latency_s)
        _log.info(
            "caller left",
            request=call.req.attempt_id,
            route=call.route.name,
            backend=tries.last_backend,
            sends=tries.sends,
            events=relay.events,
            first_ms=_since_ms(call, relay.first_event_s),
            ms=round(latency_s * 1000),
        )

    def _finish(
        self,
        call: call_lib.Call,
        relay: relay_lib.Relay,
        tries: attempts_lib.Attempts,
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
                backend=tries.last_backend,
                sends=tries.sends,
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
                backend=tries.last_backend,
                sends=tries.sends,
                events=relay.events,
                detail=outcome.detail,
                ms=round(latency_s * 1000),
            )
            relay.cut()
            # The library can't write the end of the answer any more.
            assert relay.response is not None
            return relay.response
        return self._refuse(call, outcome, tries)

    def _refuse(
        self,
        call: call_lib.Call,
        why: refusal.Refusal,
        tries: attempts_lib.Attempts | None = None,
    ) -> web.Response:
        answer = answers.make_answer(why)
        latency_s = time.monotonic() - call.req.received_s
        self._metrics.on_answer(
            call.route.kind.value, why.reason.value, latency_s
        )
        _log.info(
            "refused",
            request=call.req.attempt_id,
            route=call.route.name,
            workspace=call.workspace.name if call.workspace else None,
            version=call.version,
            status=answer.status,
            reason=why.reason.value,
            detail=why.detail,
            backend=tries.last_backend if tries else None,
            sends=tries.sends if tries else 0,
            tokens=call.req.max_tokens,
            ms=round(latency_s * 1000),
        )
        return answer


def _since_ms(call: call_lib.Call, at_s: float | None) -> int | None:
    """Returns the milliseconds from a request's arrival to a time."""
    if at_s is None:
        return None
    return round((at_s - call.req.received_s) * 1000)
