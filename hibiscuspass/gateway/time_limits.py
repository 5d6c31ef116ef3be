"""Time limits of requests in progress, which a stop shortens."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from hibiscuspass.core.forwarding import stop_schedule


class TimeLimits:
    """Ends requests at their deadlines, or when the process stops.

    Attributes:
      stop: Schedule of the stop; None before it.
    """

    def __init__(self) -> None:
        self.stop: stop_schedule.StopSchedule | None = None
        self._active: set[asyncio.Timeout] = set()

    def on_stop(self, schedule: stop_schedule.StopSchedule) -> None:
        """Shortens the limits of all requests to those of a stop."""
        self.stop = schedule
        for timeout in self._active:
            when_s = timeout.when()
            if when_s is not None and not timeout.expired():
                timeout.reschedule(min(when_s, schedule.cut_s))

    @contextlib.asynccontextmanager
    async def until(self, deadline_s: float) -> AsyncIterator[None]:
        """Limits the time of a block.

        Args:
          deadline_s: Monotonic time in seconds.

        Raises:
          TimeoutError: The deadline has passed or the process stops.
        """
        if self.stop is not None:
            deadline_s = min(deadline_s, self.stop.cut_s)
        async with asyncio.timeout_at(deadline_s) as timeout:
            self._active.add(timeout)
            try:
                yield
            finally:
                self._active.discard(timeout)
