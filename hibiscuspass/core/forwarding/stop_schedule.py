"""Decides what is still accepted and sent while a router stops.

Load pattern: callers and the load balancer keep sending requests for seconds
after a router has said that it is not ready. Some upload their bodies slowly or
wait for a server, and reach it only shortly before the process ends.
"""

import attrs

from hibiscuspass.core.forwarding import route as route_lib

# Longest time, and largest share of the grace period, in which requests are
# accepted. By then the load balancer has had time to choose other routers.
_MAX_ACCEPT_S = 2.75
_ACCEPT_SHARE = 0.35
# The same for the rest of the grace period after the last answer.
_MAX_CLEANUP_S = 1.0
_CLEANUP_SHARE = 0.125
# Share of the latter that is left for closing the connections.
_CLOSE_SHARE = 0.25
# Time that an answer needs: at least this, and multiples of the target latency.
_MIN_ANSWER_S = 0.5
_TARGET_FACTOR = 2.0


@attrs.frozen
class StopSchedule:
    """Times of a stop in seconds of a monotonic clock.

    Attributes:
      accept_until_s: Time after which requests are refused as not run.
      cut_s: Time at which requests that are still in progress end.
      close_s: Time at which connections are closed at the latest.
    """

    accept_until_s: float
    cut_s: float
    close_s: float

    def may_send(
        self, route: route_lib.Route, deadline_s: float, now_s: float
    ) -> bool:
        """Returns whether an answer can be expected before requests are cut.

        Args:
          route: Route of the request.
          deadline_s: Time at which the request ends in any case.
          now_s: Current time.
        """
        needed_s = max(_MIN_ANSWER_S, _TARGET_FACTOR * route.target_latency_s)
        return min(deadline_s, now_s + needed_s) <= self.cut_s


def make_stop_schedule(begun_s: float, grace_s: float) -> StopSchedule:
    """Returns the schedule of a stop.

    Args:
      begun_s: Time at which the stop began.
      grace_s: Time until the process is killed in seconds.
    """
    cleanup_s = min(_MAX_CLEANUP_S, _CLEANUP_SHARE * grace_s)
    return StopSchedule(
        begun_s + min(_MAX_ACCEPT_S, _ACCEPT_SHARE * grace_s),
        begun_s + grace_s - cleanup_s,
        begun_s + grace_s - _CLOSE_SHARE * cleanup_s,
    )
