"""Relays token events from an engine to a sink."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import enum

from hibiscuspass.backends import engine
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.dispatch import completion_progress
from hibiscuspass.core.dispatch import idle_timeout
from hibiscuspass.router import interrupt
from hibiscuspass.router import limits as limits_lib
from hibiscuspass.router import sink as sink_lib

Stream = AsyncIterator[engine.TokenEvent | refusal.Refusal]

_ADAPTER_MARGIN_S = 0.1


class StreamEnd(enum.Enum):
    """How a stream ended other than by a refusal."""

    COMPLETE = "complete"
    # The router ended the stream at the output limit.
    LIMITED = "limited"
    CALLER_GONE = "caller_gone"


class Relay:
    """Relays the successive streams of one completion to its sink."""

    def __init__(
        self,
        progress: completion_progress.CompletionProgress,
        sink: sink_lib.Sink,
        interrupter: interrupt.Interrupter,
        limits: limits_lib.Limits,
        *,
        on_first_event: Callable[[float], None],
        observe_gap: Callable[[float], None],
    ) -> None:
        self._progress = progress
        self._sink = sink
        self._interrupter = interrupter
        self._slow_caller_s = limits.slow_caller_s
        self._on_first_event = on_first_event
        self._first_event_seen = False
        self._observe_gap = observe_gap
        self._idle = idle_timeout.IdleTimeoutEstimator(
            first_event_s=limits.first_event_s,
            min_s=limits.min_idle_s,
            max_s=limits.max_idle_s,
        )

    def initial_timeout_s(self, *, prompt_pending: bool) -> float:
        """Returns the timeout for the first event of a connection."""
        if prompt_pending:
            return self._idle.first_event_timeout_s()
        return self._idle.timeout_s()

    async def run(
        self, stream: Stream, *, prompt_pending: bool
    ) -> StreamEnd | refusal.Refusal:
        """Relays a stream until it ends or the interrupter cancels it.

        Args:
          stream: Events from the backend.
          prompt_pending: Whether the backend may still be processing the
            prompt.
        """
        try:
            return await self._relay(stream, prompt_pending)
        except asyncio.CancelledError:
            # The request may have been sent before the cancellation.
            self._progress.on_sent()
            raise
        finally:
            self._interrupter.disarm()
            close = getattr(stream, "aclose", None)
            if close is not None:
                await close()

    async def _relay(
        self, stream: Stream, prompt_pending: bool
    ) -> StreamEnd | refusal.Refusal:
        progress, sink, idle_limit = self._progress, self._sink, self._idle
        arm = self._interrupter.arm
        now = asyncio.get_running_loop().time
        last_s = 0.0
        # The margin lets the engine adapter's own timeout fire first. The
        # adapter then also closes its idle connections, which may have failed
        # together with this one.
        limit_s = (
            self.initial_timeout_s(prompt_pending=prompt_pending)
            + _ADAPTER_MARGIN_S
        )
        arm(now() + limit_s, interrupt.Cause.SILENT_BACKEND)
        async for item in stream:
            if isinstance(item, refusal.Refusal):
                return item
            verdict = progress.on_event(item)
            if verdict is completion_progress.Verdict.LIMIT:
                return StreamEnd.LIMITED
            if verdict is completion_progress.Verdict.GAP:
                return self._gap(item)
            now_s = now()
            if verdict is not completion_progress.Verdict.SKIP:
                self._observe(now_s, last_s)
                last_s = now_s
                arm(now_s + self._slow_caller_s, interrupt.Cause.SLOW_CALLER)
                if not await sink.deliver(item):
                    return StreamEnd.CALLER_GONE
                progress.delivered = sink.is_streaming
                if verdict is completion_progress.Verdict.FINISH:
                    return StreamEnd.COMPLETE
            arm(now_s + idle_limit.timeout_s(), interrupt.Cause.SILENT_BACKEND)
        return refusal.Refusal(
            reason.Reason.BACKEND_LOST,
            f"backend {progress.backend!r} ended the stream early",
            run_state.RunState.UNKNOWN,
        )

    def _observe(self, now_s: float, last_s: float) -> None:
        if last_s:
            gap_s = now_s - last_s
            self._idle.observe(gap_s)
            self._observe_gap(gap_s)
        elif not self._first_event_seen:
            self._first_event_seen = True
            self._on_first_event(now_s)

    def _gap(self, item: engine.TokenEvent) -> refusal.Refusal:
        return refusal.Refusal(
            reason.Reason.BACKEND_LOST,
            f"backend {self._progress.backend!r} sent event {item.index},"
            f" expected {self._progress.next_index}",
            run_state.RunState.UNKNOWN,
        )
