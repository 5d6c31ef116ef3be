"""Callers get only whole answers to their own requests."""

import time

import aiohttp
import multidict
import pytest

from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import upstream as upstream_lib
from tests import runner as runner_lib

_UNKNOWN = run_state.RunState.UNKNOWN
_NO = run_state.RunState.NO


def _call(method: str = "GET") -> call_lib.Call:
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


def _backend(address: str) -> backend_lib.Backend:
    return backend_lib.Backend(
        "i-1", "s", address, "d", 4, backend_lib.BackendState.READY
    )


async def _send(
    runner: runner_lib.Runner, upstream: upstream_lib.Upstream
) -> aiohttp.ClientResponse | upstream_lib.Failure:
    return await upstream.send(_call(), _backend(runner.address))


@pytest.mark.parametrize(
    ("script", "run"),
    [
        (runner_lib.answer("other"), _UNKNOWN),
        (
            runner_lib.answer(headers=("Content-Length: 2",)),
            _UNKNOWN,
        ),
        (
            runner_lib.answer(
                headers=(
                    "X-Server-Stamp: s",
                    "Content-Encoding: gzip",
                    "Content-Length: 2",
                )
            ),
            _UNKNOWN,
        ),
        (runner_lib.answer(status="503 Service Unavailable"), _UNKNOWN),
        (
            runner_lib.answer(
                status="503 Service Unavailable",
                headers=("X-Not-Executed: 1", "Content-Length: 2"),
            ),
            _NO,
        ),
        (
            runner_lib.answer(
                status="421 Misdirected Request",
                headers=("Content-Length: 2",),
            ),
            _NO,
        ),
        (b"not a response\r\n\r\n", _UNKNOWN),
    ],
    ids=[
        "another request's answer",
        "no signature",
        "encoded body",
        "503 without a proof",
        "503 with a proof",
        "another instance",
        "not HTTP",
    ],
)
async def test_bad_answers_are_not_relayed(
    script: bytes, run: run_state.RunState
) -> None:
    """Guards against answers of others and untrue refusals."""
    async with runner_lib.running() as runner:
        runner.scripts.append(script)
        upstream = upstream_lib.Upstream()
        outcome = await _send(runner, upstream)
        await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert outcome.run is run


async def test_reset_body_without_length_is_not_complete() -> None:
    """A body that ends with its connection must not be cut by a reset."""
    async with runner_lib.running() as runner:
        runner.reset = True
        runner.scripts.append(
            runner_lib.answer(headers=("X-Server-Stamp: s",), body=b"hal")
        )
        upstream = upstream_lib.Upstream()
        outcome = await _send(runner, upstream)
        assert isinstance(outcome, aiohttp.ClientResponse)
        with pytest.raises(aiohttp.ClientPayloadError):
            await outcome.read()
        await upstream.close()


async def test_closed_body_without_length_is_complete() -> None:
    """A regular end of the connection ends a body without a length."""
    async with runner_lib.running() as runner:
        runner.close = True
        runner.scripts.append(
            runner_lib.answer(headers=("X-Server-Stamp: s",), body=b"whole")
        )
        upstream = upstream_lib.Upstream()
        outcome = await _send(runner, upstream)
        assert isinstance(outcome, aiohttp.ClientResponse)
        assert await outcome.read() == b"whole"
        await upstream.close()


async def test_get_is_not_repeated_by_the_client_library() -> None:
    """A lost kept connection must not cause a second, unseen send."""
    async with runner_lib.running() as runner:
        runner.scripts += [runner_lib.answer(), b""]
        upstream = upstream_lib.Upstream()
        first = await _send(runner, upstream)
        assert isinstance(first, aiohttp.ClientResponse)
        await first.read()
        runner.close = True
        outcome = await _send(runner, upstream)
        await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert outcome.run is _UNKNOWN
    assert len(runner.requests) == 2


async def test_target_is_sent_unchanged() -> None:
    """Guards against normalized paths, which name other resources."""
    async with runner_lib.running() as runner:
        runner.scripts.append(runner_lib.answer())
        upstream = upstream_lib.Upstream()
        await _send(runner, upstream)
        await upstream.close()
    assert runner.requests[0].startswith(b"GET /orders/7?x=%2F HTTP/1.1\r\n")


async def test_refused_connection_is_not_run() -> None:
    """No byte left this process, so another server may be tried."""
    upstream = upstream_lib.Upstream()
    outcome = await upstream.send(_call(), _backend("127.0.0.1:1"))
    await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert outcome.run is _NO
