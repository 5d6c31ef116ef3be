"""Whether a failure that a server answered with is tried elsewhere.

Load pattern: a service fails a steady part of its calls, or one server fails
many while its health is good, and another server would have succeeded.
"""

import http

from hibiscuspass.core.forwarding import route as route_lib

# Another server may be slower than the one that failed by this factor.
_MAX_SLOWDOWN = 2.0


def should_try_another_backend(
    route: route_lib.Route, status: int, *, elapsed_s: float, left_s: float
) -> bool:
    """Returns whether a request is sent to another server after an answer.

    Args:
      route: Route of the request; only `IDEMPOTENT` ones may run again.
      status: Status of the answer.
      elapsed_s: Time that the failed server took, in seconds.
      left_s: Time that is left for the request, in seconds.
    """
    return (
        route.kind is route_lib.RequestKind.IDEMPOTENT
        and route.max_attempts > 1
        and status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        and left_s > _MAX_SLOWDOWN * elapsed_s
    )
