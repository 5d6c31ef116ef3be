"""Decides whether to retry a request after an error response.

Some services fail a constant share of their calls, and a single server may fail
many calls although its health checks pass. In both cases another server may
succeed.
"""

import http

from hibiscuspass.core.forwarding import route as route_lib

# The second server may take longer than the one that failed by up to this
# factor.
_MAX_SLOWDOWN = 2.0


def should_try_another_backend(
    route: route_lib.Route, status: int, *, elapsed_s: float, left_s: float
) -> bool:
    """Returns whether to send a request to another server after a response.

    Args:
      route: Route of the request; only `IDEMPOTENT` requests may run again.
      status: HTTP status of the response.
      elapsed_s: Time from the send to the response, in seconds.
      left_s: Time until the deadline of the request, in seconds.
    """
    return (
        route.kind is route_lib.RequestKind.IDEMPOTENT
        and route.max_attempts > 1
        and status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        and left_s > _MAX_SLOWDOWN * elapsed_s
    )
