"""Tests that callers get only complete answers to their own requests."""

import aiohttp
import pytest

from hibiscuspass.core import run_state
from hibiscuspass.gateway import upstream as upstream_lib
from tests import gateway_calls
from tests import scripted_backend

_UNKNOWN = run_state.RunState.UNKNOWN
_NO = run_state.RunState.NO


async def _send(
    backend: scripted_backend.ScriptedBackend, upstream: upstream_lib.Upstream
) -> aiohttp.ClientResponse | upstream_lib.Failure:
    return await upstream.send(
        gateway_calls.call(), gateway_calls.backend(backend.address)
    )


@pytest.mark.parametrize(
    ("script", "run"),
    [
        (scripted_backend.answer("other"), _UNKNOWN),
        (
            scripted_backend.answer(headers=("Content-Length: 2",)),
            _UNKNOWN,
        ),
        (
            scripted_backend.answer(
                headers=(
                    "X-Server-Stamp: s",
                    "Content-Encoding: gzip",
                    "Content-Length: 2",
                )
            ),
            _UNKNOWN,
        ),
        (scripted_backend.answer(status="503 Service Unavailable"), _UNKNOWN),
        (
            scripted_backend.answer(
                status="503 Service Unavailable",
                headers=("X-Not-Executed: 1", "Content-Length: 2"),
            ),
            _NO,
        ),
        (
            scripted_backend.answer(
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
    """A caller must not get another request's answer or an unproved refusal.

    A request counts as not run only if the answer proves it.
    """
    async with scripted_backend.running() as backend:
        backend.scripts.append(script)
        upstream = upstream_lib.Upstream()
        outcome = await _send(backend, upstream)
        await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert outcome.run is run


async def test_reset_body_without_length_is_not_complete() -> None:
    """A body cut by a reset must not look complete.

    Without a length, the body ends with its connection, and aiohttp does not
    distinguish a reset from a regular end.
    """
    async with scripted_backend.running() as backend:
        backend.reset = True
        backend.scripts.append(
            scripted_backend.answer(headers=("X-Server-Stamp: s",), body=b"hal")
        )
        upstream = upstream_lib.Upstream()
        outcome = await _send(backend, upstream)
        assert isinstance(outcome, aiohttp.ClientResponse)
        with pytest.raises(aiohttp.ClientPayloadError):
            await outcome.read()
        await upstream.close()


async def test_closed_body_without_length_is_complete() -> None:
    """A regular end of the connection ends a body without a length."""
    async with scripted_backend.running() as backend:
        backend.close = True
        backend.scripts.append(
            scripted_backend.answer(
                headers=("X-Server-Stamp: s",), body=b"whole"
            )
        )
        upstream = upstream_lib.Upstream()
        outcome = await _send(backend, upstream)
        assert isinstance(outcome, aiohttp.ClientResponse)
        assert await outcome.read() == b"whole"
        await upstream.close()


async def test_get_is_not_repeated_by_the_client_library() -> None:
    """A GET request must not be sent twice by aiohttp on its own.

    By default, aiohttp repeats it if a reused connection is lost.
    """
    async with scripted_backend.running() as backend:
        backend.scripts += [scripted_backend.answer(), b""]
        upstream = upstream_lib.Upstream()
        first = await _send(backend, upstream)
        assert isinstance(first, aiohttp.ClientResponse)
        await first.read()
        backend.close = True
        outcome = await _send(backend, upstream)
        await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert outcome.run is _UNKNOWN
    assert len(backend.requests) == 2


async def test_target_is_sent_unchanged() -> None:
    """A path must not be normalized, since it could name another resource."""
    async with scripted_backend.running() as backend:
        backend.scripts.append(scripted_backend.answer())
        upstream = upstream_lib.Upstream()
        await _send(backend, upstream)
        await upstream.close()
    assert backend.requests[0].startswith(b"GET /orders/7?x=%2F HTTP/1.1\r\n")


async def test_refused_connection_is_not_run() -> None:
    """A refused connection must not count as a request that may have run."""
    upstream = upstream_lib.Upstream()
    outcome = await upstream.send(
        gateway_calls.call(), gateway_calls.backend("127.0.0.1:1")
    )
    await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert outcome.run is _NO


async def test_connection_that_ends_after_an_informational_answer() -> None:
    """An end after a status 100 must not be taken for an answer of any kind."""
    upstream = upstream_lib.Upstream()
    async with scripted_backend.running() as backend:
        backend.scripts.append(b"HTTP/1.1 100 Continue\r\n\r\n")
        backend.close = True
        outcome = await _send(backend, upstream)
    await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert outcome.run is _UNKNOWN


async def test_failure_texts_contain_no_bytes_of_a_server() -> None:
    """Bytes that are no answer may belong to the answer of another caller."""
    upstream = upstream_lib.Upstream()
    async with scripted_backend.running() as backend:
        backend.scripts.append(b"the text of somebody else\r\n\r\n")
        outcome = await _send(backend, upstream)
    await upstream.close()
    assert isinstance(outcome, upstream_lib.Failure)
    assert "somebody" not in outcome.detail
