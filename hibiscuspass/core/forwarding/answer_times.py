"""Times of the events of one answer."""

import attrs

from hibiscuspass.core.forwarding import server_capacity


@attrs.define
class AnswerTimes:
    """Follows the events of one answer.

    All times are seconds of a monotonic clock.

    Attributes:
      sent_s: Time at which the request was sent.
    """

    sent_s: float
    _first_s: float | None = None
    _first_events: int = 0
    _last_s: float = 0.0
    _last_events: int = 0

    def on_events(self, events: int, now_s: float) -> None:
        """Records that events have arrived.

        Args:
          events: Number of events of this and of earlier answers to the same
            request.
          now_s: Current time.
        """
        if self._first_s is None:
            self._first_s, self._first_events = now_s, events
        self._last_s, self._last_events = now_s, events

    def served(
        self, now_s: float, *, is_complete: bool
    ) -> server_capacity.Served:
        """Returns what was observed until the end of the answer."""
        if self._first_s is None:
            return server_capacity.Served(
                now_s - self.sent_s, is_complete=is_complete
            )
        events = self._last_events - self._first_events
        return server_capacity.Served(
            now_s - self.sent_s,
            self._first_s - self.sent_s,
            (self._last_s - self._first_s) / events if events else 0.0,
            is_complete=is_complete,
        )
