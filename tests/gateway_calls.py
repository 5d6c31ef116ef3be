"""Calls and backend servers for tests of the client for backend servers."""

import time

import multidict

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import call as call_lib


def call(method: str = "GET") -> call_lib.Call:
    """Returns a call of a route whose requests may be repeated."""
    now_s = time.monotonic()
    return call_lib.Call(
        req=request_lib.ForwardRequest("a1", now_s, now_s + 2.0),
        method=method,
        target="/orders/7?x=%2F",
        headers=multidict.CIMultiDict({"Host": "h", "X-Attempt-Id": "a1"}),
        body=b"",
        route=route_lib.Route(
            "r",
            "h",
            "/orders/",
            route_lib.RequestKind.IDEMPOTENT,
            2.0,
            0.1,
            0,
            (route_lib.ServiceShare("s", 1.0),),
        ),
        workspace=None,
        version=1,
    )


def backend(address: str) -> backend_lib.Backend:
    """Returns a backend server at an address."""
    return backend_lib.Backend(
        "i-1", "s", address, "d", 4, backend_lib.BackendState.READY
    )
