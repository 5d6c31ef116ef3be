"""Decides whether a request goes to its service now or is refused at once.

Load pattern: a service gets more requests than it can begin in time, for some
seconds or for minutes, often from one workspace. Its servers queue requests
until their callers have given up, and refuse others. A request that is refused
at once can return, at another router, when there is room; one that is held
until its time limit can't.

A wrong refusal costs a caller its answer. Therefore only outcomes of the last
two seconds count, and at least three requests on several servers must have been
slow. A part always goes through, which shows when the service has recovered.
All kinds, sizes and workspaces are refused in the same share, except that more
urgent ones are refused less as long as others begin in time. Nothing here
performs I/O; all times are seconds of a monotonic clock.
"""

import math
import random

import attrs

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import service_outcomes

# Largest share that is refused; the rest shows when the service recovers.
_MAX_SHARE = 0.95
# Expected times to the first event, as shares of the time that a caller can
# wait, between which the refused share rises from 0 to its largest value.
# Below, requests are merely slow. In replays of overloads by 1.7 and 2.5,
# queues settle near the upper share; the rest covers errors of the estimate.
_FRESH = (0.4, 0.6)
_RETURNED = (0.6, 0.8)
# Requests sent per request that begins in time. With more than 1, the service
# is never left idle, and the share that goes through grows when it recovers.
_SENT_PER_SERVED = 2.0
# Callers of streams give up after the longest of these: a time in seconds,
# multiples of the target latency and of the target pause.
_GAP_S = 2.0
_GAP_TARGETS = 4.0
_GAP_PAUSES = 8.0
# Share of the route's time limit that a caller has left on its first attempt.
# A caller that was refused returns with less, since it has waited for at least
# the second share.
_FRESH_SHARE = 0.97
_MIN_RETRY_SHARE = 0.04
# Shortest Retry-After in seconds; a shorter one would be written as 0.
_MIN_RETRY_S = 0.01
# Share of its remaining time up to which a caller respects Retry-After.
_MAX_RETRY_SHARE = 1 / 3
# Levels of urgency that a request gains while its time passes.
_URGENCY_STEPS = 4
_MAX_URGENCY = 9


def gap_s(route: route_lib.Route) -> float:
    """Returns the silence after which the caller of a stream gives up.

    Returns:
      Time in seconds; infinite for plain answers and routes without targets.
    """
    is_stream = route.kind is route_lib.RequestKind.STREAMING
    if not is_stream or not (route.target_latency_s or route.max_pause_s):
        return math.inf
    return max(
        _GAP_S,
        _GAP_TARGETS * route.target_latency_s,
        _GAP_PAUSES * route.max_pause_s,
    )


def patience_s(
    route: route_lib.Route, req: request_lib.ForwardRequest, now_s: float
) -> float:
    """Returns how long a request can still wait for its first event."""
    return min(req.deadline_s, req.received_s + gap_s(route)) - now_s


def is_return(route: route_lib.Route, req: request_lib.ForwardRequest) -> bool:
    """Returns whether the caller has tried before.

    A new attempt has a new id, so only its shorter time tells.
    """
    return req.deadline_s - req.received_s < _FRESH_SHARE * route.timeout_s


def urgency(
    priority: int,
    route: route_lib.Route,
    req: request_lib.ForwardRequest,
    now_s: float,
) -> int:
    """Returns the rank of a request at an engine, 0 first, 9 last.

    A request gains a level with each quarter of the time for its first event
    that has passed, so that urgent ones go first by no more than they need. A
    caller that returns early has all of this time again. If it went first for
    having tried before, the first attempts of others would be late.
    """
    full_s = min(route.timeout_s, gap_s(route))
    left = min(1.0, max(0.0, patience_s(route, req, now_s) / full_s))
    steps = int(_URGENCY_STEPS * (1.0 - left))
    return min(_MAX_URGENCY, max(0, priority + 1 - steps))


def refused_share(
    evidence: service_outcomes.Evidence,
    patience_s: float,
    *,
    rank: int,
    ranks: int,
    is_returned: bool,
) -> float:
    """Returns the share to refuse of requests to a service that is short.

    The share rises with the part of the caller's time that the expected time
    takes up, so it settles where the load that is left fits the service.

    Args:
      evidence: What recent outcomes show for the request.
      patience_s: Time that the request can wait for its first event.
      rank: Rank of the request's priority, 0 first.
      ranks: Number of priorities that compete for the service.
      is_returned: Whether the caller was refused before. It is refused again
        only if its first event can hardly come in time.
    """
    if evidence.unloaded_s >= patience_s:
        return _MAX_SHARE
    used = (evidence.expected_s - evidence.unloaded_s) / (
        patience_s - evidence.unloaded_s
    )
    first, full = _RETURNED if is_returned else _FRESH
    share = (used - first) / (full - first)
    if not (is_returned and evidence.in_time):
        count = evidence.in_time + evidence.too_late
        unserved = count - _SENT_PER_SERVED * evidence.in_time
        share = max(share, unserved / (count + 1))
    return min(_MAX_SHARE, max(0.0, share)) ** (ranks - rank)


@attrs.frozen
class Retry:
    """When a refused request may be sent again.

    Attributes:
      after_s: Time in seconds; None if no retry can succeed.
      room_s: Time after which room is expected, in seconds.
    """

    after_s: float | None
    room_s: float


def plan_retry(
    evidence: service_outcomes.Evidence,
    route: route_lib.Route,
    req: request_lib.ForwardRequest,
    now_s: float,
    *,
    rank: int,
    ranks: int,
    rng: random.Random,
) -> Retry:
    """Returns when a refused request may be sent again.

    Room is expected when the wait has fallen so far that first attempts are
    admitted. The times of all refused callers are spread over as long again,
    the more urgent ones first.
    """
    left_s = req.deadline_s - now_s
    latest_s = _MAX_RETRY_SHARE * left_s
    first_s = _MIN_RETRY_SHARE * route.timeout_s
    room_s = evidence.expected_s - _FRESH[0] * patience_s(route, req, now_s)
    room_s = min(max(first_s, room_s), latest_s)
    width_s = min(room_s, latest_s - room_s)
    if width_s <= 0.0:
        # The latest time is the best one; the spread goes before it.
        room_s, width_s = latest_s / 2, latest_s / 2
    after_s = room_s + width_s * (rank + rng.random()) / ranks
    can_succeed = left_s - after_s > evidence.unloaded_s
    is_sent = after_s >= _MIN_RETRY_S
    return Retry(after_s if can_succeed and is_sent else None, room_s)


def refuse(
    evidence: service_outcomes.Evidence, retry: Retry
) -> refusal.Refusal:
    """Returns the refusal of a request that was not sent."""
    detail = (
        f"the service is full: first events are expected after"
        f" {evidence.expected_s:.2f} s"
    )
    if retry.after_s is None:
        detail += "; no retry can succeed in the time that is left"
    return refusal.Refusal(
        reason_lib.Reason.OVERLOADED, detail, retry_after_s=retry.after_s
    )
