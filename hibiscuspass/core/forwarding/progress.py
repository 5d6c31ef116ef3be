"""Decides when an answer makes no progress and may go on elsewhere.

Load pattern: some servers accept requests and then neither answer nor close the
connection, while their liveness check is good; others send a part of a stream
and stop, or send single bytes without completing an event. Their requests would
wait until the time limit although other servers are free. Slow servers that
complete an event now and then must not be given up, and a router that has too
little processor time must not take its own delay for a silence of all servers.
"""

import math

from hibiscuspass.core.forwarding import route as route_lib

# Shortest time without progress after which an answer is given up. A server
# under load is late by less.
_MIN_LIMIT_S = 1.0
# Multiples of the target latency and of the expected time to the first event.
_TARGET_FACTOR = 3.0
_EXPECTED_FACTOR = 4.0
# Multiples of the target pause and of the longest pause of the same stream.
_PAUSE_FACTOR = 3.0
_LONGEST_PAUSE_FACTOR = 4.0
# A process that notices the end of a limit later than this, in seconds, was
# suspended.
_MAX_DELAY_S = 0.1


def first_event_limit_s(route: route_lib.Route, expected_s: float) -> float:
    """Returns how long an answer may take to begin.

    Args:
      route: Route of the request.
      expected_s: Expected time to the first event in seconds; 0 if unknown.

    Returns:
      Time in seconds; infinite if the route has no target.
    """
    if not route.target_latency_s:
        return math.inf
    # Plain answers have short targets and are compared with these alone.
    least_s = _MIN_LIMIT_S if route.max_pause_s else 0.0
    return max(
        least_s,
        _TARGET_FACTOR * route.target_latency_s,
        _EXPECTED_FACTOR * expected_s,
    )


def pause_limit_s(route: route_lib.Route, longest_pause_s: float) -> float:
    """Returns how long a stream may pause between two complete events.

    Args:
      route: Route of the request.
      longest_pause_s: Longest pause of the stream so far in seconds.
    """
    return max(
        _MIN_LIMIT_S,
        _PAUSE_FACTOR * route.max_pause_s,
        _LONGEST_PAUSE_FACTOR * longest_pause_s,
    )


class ProgressWatch:
    """Follows the progress of one answer.

    All times are seconds of a monotonic clock.

    Attributes:
      deadline_s: Time at which the answer has made no progress for too long.
    """

    def __init__(
        self, route: route_lib.Route, expected_s: float, sent_s: float
    ) -> None:
        self._route = route
        self._limit_s = first_event_limit_s(route, expected_s)
        self._last_event_s: float | None = None
        self._longest_pause_s = 0.0
        self._was_suspended = False
        self.deadline_s = sent_s + self._limit_s

    def on_event(self, now_s: float) -> None:
        """Records that a whole event has arrived."""
        if self._last_event_s is not None:
            self._longest_pause_s = max(
                self._longest_pause_s, now_s - self._last_event_s
            )
        self._last_event_s = now_s
        self._limit_s = pause_limit_s(self._route, self._longest_pause_s)
        self.extend(now_s)

    def on_caller_waited_for(self, elapsed_s: float) -> None:
        """Excludes a time in which the caller did not read.

        Args:
          elapsed_s: Time since the last event in which the server's answer was
            not read either, in seconds.
        """
        self.deadline_s += elapsed_s
        if self._last_event_s is not None:
            self._last_event_s += elapsed_s

    def has_stopped(self, now_s: float) -> bool:
        """Returns whether there was no progress for too long.

        If this process was suspended meanwhile, the server gets the same time
        once more, since its events may be late by as much.

        Args:
          now_s: Time at which the passing of the deadline was noticed.
        """
        delay_s = now_s - self.deadline_s
        if delay_s <= _MAX_DELAY_S or self._was_suspended:
            return True
        self._was_suspended = True
        self.deadline_s = now_s + min(delay_s, self._limit_s)
        return False

    def extend(self, now_s: float) -> None:
        """Waits once more for as long, because no other server can be asked."""
        self._was_suspended = False
        self.deadline_s = now_s + self._limit_s
