"""Responses after which a request is sent to another server."""

import attrs
import pytest

from hibiscuspass.core.forwarding import retry_on_failure
from hibiscuspass.core.forwarding import route as route_lib

_ROUTE = route_lib.Route(
    name="status",
    host="h",
    path_prefix="/",
    kind=route_lib.RequestKind.IDEMPOTENT,
    timeout_s=1.0,
    target_latency_s=0.1,
    priority=0,
    shares=(route_lib.ServiceShare("app", 1.0),),
    max_attempts=2,
)


@pytest.mark.parametrize(
    ("changes", "status", "elapsed_s", "left_s", "expected"),
    [
        ({}, 500, 0.05, 0.9, True),
        ({}, 503, 0.05, 0.9, True),
        ({}, 404, 0.05, 0.9, False),
        ({}, 200, 0.05, 0.9, False),
        # The second server could not finish in time.
        ({}, 500, 0.5, 0.5, False),
        ({"max_attempts": 1}, 500, 0.05, 0.9, False),
        (
            {"kind": route_lib.RequestKind.NON_IDEMPOTENT},
            500,
            0.05,
            0.9,
            False,
        ),
        ({"kind": route_lib.RequestKind.STREAMING}, 500, 0.05, 0.9, False),
    ],
)
def test_retry_only_where_allowed_and_useful(
    changes: dict[str, object],
    status: int,
    elapsed_s: float,
    left_s: float,
    expected: bool,
) -> None:
    """A non-idempotent request must never run again after an error."""
    route = attrs.evolve(_ROUTE, **changes)
    assert (
        retry_on_failure.should_try_another_backend(
            route, status, elapsed_s=elapsed_s, left_s=left_s
        )
        == expected
    )
