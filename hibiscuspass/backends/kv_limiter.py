"""Decides when a call of the key-value service may be sent."""

import asyncio
from collections.abc import Callable
import enum
import heapq
import itertools
import math


class Priority(enum.IntEnum):
    """Urgency of a call; lower values are served first."""

    # A caller waits for the result, for example for a draw or a claim.
    FOREGROUND = 0
    NORMAL = 1
    # The call can be repeated later, for example polling and batched bills.
    BACKGROUND = 2


# Share of the burst that a call must leave for more urgent ones, and longest
# time that it may wait for its turn in seconds.
_RESERVED_SHARE = {
    Priority.FOREGROUND: 0.0,
    Priority.NORMAL: 0.1,
    Priority.BACKGROUND: 0.5,
}
_MAX_WAIT_S = {
    Priority.FOREGROUND: 1.0,
    Priority.NORMAL: 0.5,
    Priority.BACKGROUND: 0.0,
}


class Limiter:
    """Token bucket with priorities.

    Foreground calls may use the whole bucket. Calls of lower priority leave
    part of it, so they are refused before foreground calls have to wait.
    """

    def __init__(
        self,
        calls_per_s: float,
        burst: int,
        *,
        monotonic_s: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        if calls_per_s <= 0 or burst < 1:
            raise ValueError(
                f"limit of {calls_per_s} calls/s with burst {burst}: expected"
                " a positive rate and a burst of at least 1"
            )
        self._rate = calls_per_s
        self._burst = float(burst)
        self._tokens = float(burst)
        self._monotonic_s = monotonic_s
        self._call_later = call_later
        self._at_s = monotonic_s()
        self._timer_s = math.inf
        self._order = itertools.count()
        self._waiting: list[tuple[Priority, int, asyncio.Future[float]]] = []

    def now_s(self) -> float:
        """Returns the limiter's clock in seconds."""
        return self._monotonic_s()

    async def acquire(
        self, priority: Priority, max_wait_s: float
    ) -> float | None:
        """Waits for permission to send one call.

        Args:
          priority: Urgency of the call.
          max_wait_s: Time limit of the whole call in seconds.

        Returns:
          None once the call may be sent, or the time in seconds after which a
          refused call may be tried again.
        """
        self._refill()
        if not self._blocked(priority) and self._try_take(priority):
            return None
        limit_s = min(max_wait_s, _MAX_WAIT_S[priority])
        expected_s = self._expected_wait_s(priority)
        if expected_s > limit_s:
            return expected_s
        turn: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), turn))
        self._arm()
        # More urgent calls may take the tokens in the meantime.
        self._call_later(limit_s, lambda: self._expire(turn))
        return await turn or None

    def _blocked(self, priority: Priority) -> bool:
        """Whether calls at least as urgent wait already."""
        return any(
            not turn.done() and waiting <= priority
            for waiting, _, turn in self._waiting
        )

    def _needed(self, priority: Priority) -> float:
        return 1.0 + self._reserve(priority)

    def _reserve(self, priority: Priority) -> float:
        # A small burst must still let every priority through when idle.
        return min(self._burst * _RESERVED_SHARE[priority], self._burst - 1)

    def _expected_wait_s(self, priority: Priority) -> float:
        ahead = sum(
            1
            for waiting, _, turn in self._waiting
            if waiting <= priority and not turn.done()
        )
        missing = self._needed(priority) + ahead - self._tokens
        # Never zero, because callers take the time as a delay.
        return max(missing, 0.001) / self._rate

    def _try_take(self, priority: Priority) -> bool:
        # Rounding must not keep a call that waited exactly long enough.
        if self._tokens + 1e-9 < self._needed(priority):
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now_s = self._monotonic_s()
        self._tokens = min(
            self._burst, self._tokens + (now_s - self._at_s) * self._rate
        )
        self._at_s = now_s

    def _arm(self) -> None:
        """Sets the timer for the most urgent call, if it is not set earlier."""
        if not self._waiting:
            return
        missing = self._needed(self._waiting[0][0]) - self._tokens
        delay_s = max(missing, 0.0) / self._rate
        at_s = self._at_s + delay_s
        if at_s < self._timer_s:
            self._timer_s = at_s
            self._call_later(delay_s, lambda: self._on_timer(at_s))

    def _on_timer(self, at_s: float) -> None:
        if at_s != self._timer_s:
            # A more urgent call has set an earlier timer.
            return
        self._timer_s = math.inf
        self._serve()
        self._arm()

    def _serve(self) -> None:
        self._refill()
        while self._waiting:
            priority, _, turn = self._waiting[0]
            if not turn.done():
                if not self._try_take(priority):
                    return
                turn.set_result(0.0)
            heapq.heappop(self._waiting)

    def _expire(self, turn: asyncio.Future[float]) -> None:
        self._serve()
        if not turn.done():
            turn.set_result(1 / self._rate)
