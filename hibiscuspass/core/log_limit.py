"""Bounds the number of log lines about an event that may be frequent."""

import attrs


@attrs.define
class LogLimit:
    """Allows one line per interval and counts the events in between.

    Attributes:
      interval_s: Shortest time between two lines in seconds.
    """

    interval_s: float
    _next_s: float = float("-inf")
    _suppressed: int = 0

    def on_event(self, now_s: float) -> int | None:
        """Records an event.

        Args:
          now_s: Current time on a monotonic clock.

        Returns:
          Number of events without a line since the last line; None if this
          event gets no line either.
        """
        if now_s < self._next_s:
            self._suppressed += 1
            return None
        suppressed, self._suppressed = self._suppressed, 0
        self._next_s = now_s + self.interval_s
        return suppressed
