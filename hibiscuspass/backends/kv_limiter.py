"""Rate limiter with priorities for calls of the key-value service."""

import asyncio
from collections.abc import Callable
import enum
import heapq
import itertools
import math


class Priority(enum.IntEnum):
    """Priority of a call; calls with lower values are sent first."""

    # A request waits for the result, for example of a draw or a claim.
    FOREGROUND = 0
    NORMAL = 1
    # The call can be made later, for example a poll or a batch of bills.
    BACKGROUND = 2


# Fraction of the burst that a call must leave to calls of higher priority.
_RESERVED_SHARE = {
    Priority.FOREGROUND: 0.0,
    Priority.NORMAL: 0.1,
    Priority.BACKGROUND: 0.5,
}
# Longest time that a call may wait in the queue.
_MAX_WAIT_S = {
    Priority.FOREGROUND: 1.0,
    Priority.NORMAL: 0.5,
    Priority.BACKGROUND: 0.0,
}


class Limiter:
    """Token bucket with priorities.

    Foreground calls may use all tokens of the bucket. Calls of lower priority
    must leave some of them, so that they are refused before foreground calls
    have to wait.
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
        self._refilled_at_s = monotonic_s()
        self._timer_due_s = math.inf
        self._arrival_numbers = itertools.count()
        self._queue: list[tuple[Priority, int, asyncio.Future[float]]] = []

    def now_s(self) -> float:
        """Returns the time of the limiter's clock in seconds."""
        return self._monotonic_s()

    async def acquire(
        self, priority: Priority, max_wait_s: float
    ) -> float | None:
        """Waits until a call may be sent, or refuses it.

        Args:
          priority: Priority of the call.
          max_wait_s: Time limit of the whole call in seconds.

        Returns:
          None if the call may be sent. If it is refused, the time in seconds
          after which it may be tried again.
        """
        self._refill()
        if not self._must_queue(priority) and self._try_take(priority):
            return None
        limit_s = min(max_wait_s, _MAX_WAIT_S[priority])
        expected_s = self._expected_wait_s(priority)
        if expected_s > limit_s:
            return expected_s
        fut: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._queue, (priority, next(self._arrival_numbers), fut)
        )
        self._arm_timer()
        # Calls of higher priority may take the tokens in the meantime, so the
        # wait needs a time limit although the expected wait is within it.
        self._call_later(limit_s, lambda: self._on_wait_limit(fut))
        return await fut or None

    def _must_queue(self, priority: Priority) -> bool:
        """Returns whether calls of the same or a higher priority wait."""
        return any(
            not fut.done() and queued_priority <= priority
            for queued_priority, _, fut in self._queue
        )

    def _tokens_needed(self, priority: Priority) -> float:
        return 1.0 + self._reserved_tokens(priority)

    def _reserved_tokens(self, priority: Priority) -> float:
        # With a small burst, calls of every priority must still be possible
        # when the limiter is idle.
        return min(self._burst * _RESERVED_SHARE[priority], self._burst - 1)

    def _expected_wait_s(self, priority: Priority) -> float:
        ahead = sum(
            1
            for queued_priority, _, fut in self._queue
            if queued_priority <= priority and not fut.done()
        )
        missing = self._tokens_needed(priority) + ahead - self._tokens
        # Never zero, because callers use the result as a retry delay.
        return max(missing, 0.001) / self._rate

    def _try_take(self, priority: Priority) -> bool:
        # The tolerance admits a call that has waited exactly long enough in
        # spite of rounding errors.
        if self._tokens + 1e-9 < self._tokens_needed(priority):
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now_s = self._monotonic_s()
        self._tokens = min(
            self._burst,
            self._tokens + (now_s - self._refilled_at_s) * self._rate,
        )
        self._refilled_at_s = now_s

    def _arm_timer(self) -> None:
        """Sets the timer for the first queued call unless one is due sooner."""
        if not self._queue:
            return
        missing = self._tokens_needed(self._queue[0][0]) - self._tokens
        delay_s = max(missing, 0.0) / self._rate
        due_s = self._refilled_at_s + delay_s
        if due_s < self._timer_due_s:
            self._timer_due_s = due_s
            self._call_later(delay_s, lambda: self._on_timer(due_s))

    def _on_timer(self, due_s: float) -> None:
        if due_s != self._timer_due_s:
            # A call of higher priority has set an earlier timer.
            return
        self._timer_due_s = math.inf
        self._admit_queued()
        self._arm_timer()

    def _admit_queued(self) -> None:
        self._refill()
        while self._queue:
            priority, _, fut = self._queue[0]
            if not fut.done():
                if not self._try_take(priority):
                    return
                fut.set_result(0.0)
            heapq.heappop(self._queue)

    def _on_wait_limit(self, fut: asyncio.Future[float]) -> None:
        self._admit_queued()
        if not fut.done():
            fut.set_result(1 / self._rate)
