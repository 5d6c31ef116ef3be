"""Tests of backend servers that stop in the middle of an answer's head."""

import asyncio
import contextlib
import itertools
import socket
import struct

import aiohttp
import pytest

from hibiscuspass.core import run_state
from hibiscuspass.gateway import upstream as upstream_lib
from tests import gateway_calls
from tests import gateway_system
from tests import scripted_backend

_EVENT = b"id: 0\ndata: x\n\n"
_NAMES = ("X-Attempt-Id: a1", "X-Server-Stamp: s")
_WHOLE = scripted_backend.answer()


def _head(
    status: str, *headers: str, first: str = "", newline: str = "\r\n"
) -> bytes:
    return first.encode() + newline.join([status, *headers, "", ""]).encode()


_HEADS = {
    "length": _head("HTTP/1.1 200 OK", *_NAMES, "Content-Length: 15"),
    "length first": _head("HTTP/1.1 200 OK", "Content-Length: 0", *_NAMES),
    "chunks": _head("HTTP/1.1 200 OK", *_NAMES, "Transfer-Encoding: chunked"),
    "no framing": _head("HTTP/1.1 200 OK", *_NAMES),
    "old version": _head("HTTP/1.0 200 OK", *_NAMES, "Connection: close"),
    "no content": _head("HTTP/1.1 204 No Content", *_NAMES),
    "not modified": _head("HTTP/1.1 304 Not Modified", *_NAMES),
    "line feeds": _head("HTTP/1.1 200 OK", *_NAMES, newline="\n"),
    "informational": _head(
        "HTTP/1.1 200 OK",
        *_NAMES,
        "Content-Length: 15",
        first="HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
    ),
    "refusal": _head(
        "HTTP/1.1 503 Service Unavailable",
        "X-Attempt-Id: a1",
        "X-Not-Executed: 1",
        "Content-Length: 0",
    ),
}


class _CuttingBackend:
    """Answers with whole answers, and then with a part of a head.

    Attributes:
      part: Bytes of the last answer of a connection.
      whole_answers: Number of whole answers before it.
      reset: Whether the connection is reset after it.
    """

    def __init__(self) -> None:
        self.part = b""
        self.whole_answers = 0
        self.reset = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for _ in range(self.whole_answers):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(_WHOLE)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.part)
            await writer.drain()
            if self.reset:
                # The part arrives before the reset.
                await asyncio.sleep(0.002)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
        writer.close()


@contextlib.asynccontextmanager
async def _cutting():
    backend = _CuttingBackend()
    server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield backend, f"{host}:{port}"
    finally:
        server.close()


@contextlib.asynccontextmanager
async def _upstream():
    upstream = upstream_lib.Upstream()
    try:
        yield upstream
    finally:
        await upstream.close()


@pytest.mark.parametrize("head", _HEADS)
@pytest.mark.parametrize("whole_answers", [0, 1])
@pytest.mark.parametrize("reset", [False, True])
async def test_cut_head_is_no_answer(
    head: str, whole_answers: int, reset: bool
) -> None:
    """A head that was cut off was taken for a whole one without a body.

    The request may have run, also if the head was that of a refusal.
    """
    async with (
        _upstream() as upstream,
        _cutting() as (backend, address),
    ):
        backend.whole_answers = whole_answers
        backend.reset = reset
        for size, method in itertools.product(
            range(len(_HEADS[head])), ("GET", "HEAD")
        ):
            backend.part = _HEADS[head][:size]
            server = gateway_calls.backend(address)
            for _ in range(whole_answers):
                resp = await upstream.send(gateway_calls.call(), server)
                assert isinstance(resp, aiohttp.ClientResponse)
                assert await resp.read() == b"ok"
            outcome = await upstream.send(gateway_calls.call(method), server)
            assert isinstance(outcome, upstream_lib.Failure), backend.part
            assert outcome.run is run_state.RunState.UNKNOWN, backend.part


@pytest.mark.parametrize("head", _HEADS)
async def test_cut_head_of_a_resumed_run_leaves_the_stream_incomplete(
    head: str,
) -> None:
    """The caller's stream ended like a complete one."""
    first = scripted_backend.answer(
        headers=("X-Server-Stamp: s", "Transfer-Encoding: chunked"),
        body=b"%x\r\n%b\r\n" % (len(_EVENT), _EVENT),
    )
    async with gateway_system.running(backends=2) as system:
        for size in range(1, len(_HEADS[head]), 7):
            for backend in system.backends:
                backend.close = True
                backend.scripts[:] = [first, _HEADS[head][:size]]
            resp = await system.send("/ask/x")
            assert resp.status == 200
            with pytest.raises(aiohttp.ClientError):
                await resp.read()


_CHUNKED = scripted_backend.answer(
    headers=("X-Server-Stamp: s", "Transfer-Encoding: chunked"),
    body=b"f\r\n" + _EVENT + b"\r\n0\r\nX-Sum: 1\r\n\r\n",
)
_WITH_LENGTH = scripted_backend.answer(
    headers=("X-Server-Stamp: s", f"Content-Length: {len(_EVENT)}"),
    body=_EVENT,
)


@pytest.mark.parametrize("route", ["status", "draft", "ask"])
@pytest.mark.parametrize("answer", [_CHUNKED, _WITH_LENGTH])
async def test_cut_body_is_no_whole_answer(route: str, answer: bytes) -> None:
    """A short or empty body was framed as a whole one."""
    start = answer.index(b"\r\n\r\n") + 4
    async with gateway_system.running(prepaid=10**6) as system:
        (backend,) = system.backends
        backend.close = True
        for size in range(start, len(answer)):
            backend.scripts[:] = [answer[:size]] * 2
            resp = await system.send(f"/{route}/x")
            if resp.status == 200:
                with pytest.raises(aiohttp.ClientError):
                    await resp.read()
        backend.scripts[:] = [answer]
        resp = await system.send(f"/{route}/x")
        assert (resp.status, await resp.read()) == (200, _EVENT)


@pytest.mark.parametrize("route", ["draft", "ask"])
async def test_stream_that_ends_with_its_head_is_not_complete(
    route: str,
) -> None:
    """Without a length and chunks it was a success with an empty body."""
    head = scripted_backend.answer(headers=("X-Server-Stamp: s",), body=b"")
    async with gateway_system.running(backends=2) as system:
        for backend in system.backends:
            backend.close = True
            backend.scripts += [head]
        resp = await system.send(f"/{route}/x")
        assert resp.status == 502
        # A stream that broke off after its first event goes on nowhere.
        first = scripted_backend.answer(
            headers=("X-Server-Stamp: s", "Transfer-Encoding: chunked"),
            body=b"%x\r\n%b\r\n" % (len(_EVENT), _EVENT),
        )
        for backend in system.backends:
            backend.scripts[:] = [first, head]
        resp = await system.send(f"/{route}/x")
        assert resp.status == 200
        with pytest.raises(aiohttp.ClientError):
            await resp.read()
