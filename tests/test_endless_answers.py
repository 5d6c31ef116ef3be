"""Tests of backend servers that send bytes without end that are no answer."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import resource
import time

import aiohttp
import pytest

from hibiscuspass.core.forwarding import event_scanner
from hibiscuspass.gateway import relay
from hibiscuspass.gateway import upstream_protocol
from tests import endless_server
from tests import gateway_system
from tests import scripted_backend

_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_EVENT = b"id: 0\ndata: x\n\n"
_FIRST_CHUNK = b"%x\r\n%s\r\n" % (len(_EVENT), _EVENT)
# Bytes that a server is read before its connection is closed: those that the
# gateway accepts, and the buffers of both sockets.
_MAX_READ_BYTES = 24 << 20
_DEADLINE_S = 1.5

# First bytes of an answer, and those that follow without end.
_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 4096),
    "header line": (_HEAD + b"X-Long: ", b"a" * 4096),
    "header lines": (_HEAD, b"X-More: 1\r\n" * 256),
    "folded lines": (_HEAD + b"X-Fold: 1\r\n", b" more\r\n" * 512),
    "informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 128),
    "no head": (b"", b"\x00\xff" * 2048),
}
_STREAMS = {
    "chunk extension": (_CHUNKED + _FIRST_CHUNK + b"4;", b"e" * 4096),
    "trailers": (_CHUNKED + _FIRST_CHUNK + b"0\r\n", b"X-T: 1\r\n" * 512),
    "event": (_CHUNKED + _FIRST_CHUNK, b"1000\r\n" + b"d" * 4096 + b"\r\n"),
    "comments": (_CHUNKED + _FIRST_CHUNK, b"3\r\n: \n\r\n" * 512),
}


@contextlib.asynccontextmanager
async def _endless(
    system: gateway_system.System, start: bytes, more: bytes
) -> AsyncIterator[endless_server.EndlessServer]:
    """Replaces the backend server of a system by an endless one."""
    backend = endless_server.EndlessServer(start, more)
    server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    system.move_backend(0, f"{host}:{port}")
    await asyncio.sleep(0.1)
    try:
        yield backend
    finally:
        server.close()


@pytest.mark.parametrize("part", _HEADS)
async def test_endless_head_ends_and_is_no_success(part: str) -> None:
    """The connection is closed early, and the caller gets a true answer."""
    async with gateway_system.running() as system:
        async with _endless(system, *_HEADS[part]) as backend:
            start_s = time.monotonic()
            resp = await system.send("/order/x", method="POST")
            await asyncio.wait_for(backend.closed.wait(), 2.0)
        assert resp.status == 502, "the server may have run the request"
        assert time.monotonic() - start_s < _DEADLINE_S
        assert backend.connections == 1
        assert backend.sent_bytes < _MAX_READ_BYTES


@pytest.mark.parametrize("part", _STREAMS)
async def test_endless_stream_ends_and_is_not_complete(part: str) -> None:
    """Events that arrived are relayed, and the response ends incomplete."""
    async with gateway_system.running() as system:
        async with _endless(system, *_STREAMS[part]) as backend:
            start_s = time.monotonic()
            resp = await system.send("/draft/x")
            assert resp.status == 200
            assert await resp.content.readexactly(len(_EVENT)) == _EVENT
            with pytest.raises(aiohttp.ClientError):
                await resp.read()
            await asyncio.wait_for(backend.closed.wait(), 2.0)
        assert time.monotonic() - start_s < _DEADLINE_S + 0.5
        used = system.gateway.accounts.used()["press"]
        assert used <= 100 + 2 * 5, "comments are no events"


async def test_endless_plain_body_needs_little_memory() -> None:
    """A body without a length is not kept in memory until its end."""
    more = b"x" * 65536
    async with (
        gateway_system.running() as system,
        _endless(system, _HEAD + b"\r\n", more) as backend,
    ):
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        resp = await system.send("/status/x")
        # The caller does not read, so the server has to wait.
        await asyncio.sleep(_DEADLINE_S + 0.3)
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with pytest.raises(aiohttp.ClientError):
            await resp.read()
        await asyncio.wait_for(backend.closed.wait(), 2.0)
    assert (after_kb - before_kb) * 1024 < 4 * _MAX_READ_BYTES


async def _send_many(start: bytes, more: bytes, path: str) -> set[int]:
    """Sends 100 requests to an endless server and checks the router meanwhile.

    Returns:
      Statuses of the answers.
    """

    async def send(system: gateway_system.System) -> int:
        resp = await system.send(path, method="POST", tokens="0,0")
        with contextlib.suppress(aiohttp.ClientPayloadError):
            await resp.read()
        return resp.status

    async with (
        gateway_system.running() as system,
        endless_server.process(start, more) as address,
    ):
        system.move_backend(0, address)
        await asyncio.sleep(0.1)
        requests = [asyncio.create_task(send(system)) for _ in range(100)]
        while not all(r.done() for r in requests):
            # Includes the time for which the loop is blocked before the check.
            start_s = time.monotonic()
            await asyncio.sleep(0.05)
            async with system.session.get(system.ready_url) as ready:
                assert ready.status == 200
            assert time.monotonic() - start_s < 1.0
        return {r.result() for r in requests}


@pytest.mark.parametrize("part", _HEADS)
async def test_many_endless_answers_leave_the_loop_responsive(
    part: str,
) -> None:
    """Other requests are served while servers send bytes without end."""
    statuses = await _send_many(*_HEADS[part], "/order/x")
    assert statuses <= {502, 504}


@pytest.mark.parametrize("part", _STREAMS)
async def test_many_endless_streams_leave_the_loop_responsive(
    part: str,
) -> None:
    """Other requests are served while servers send events without end."""
    assert await _send_many(*_STREAMS[part], "/draft/x") == {200}


@pytest.mark.parametrize(("heads", "status"), [(100, 200), (101, 502)])
async def test_number_of_informational_heads_is_limited(
    heads: int, status: int
) -> None:
    """Each one took time, and 64 KiB of them blocked the loop for long."""
    async with gateway_system.running() as system:
        interim = b"HTTP/1.1 102 Processing\r\n\r\n" * heads
        system.backends[0].scripts.append(interim + scripted_backend.answer())
        resp = await system.send("/order/x", method="POST")
        assert resp.status == status


def test_overhead_of_small_chunks_is_accepted() -> None:
    """Chunks of one byte are poor but sound framing."""
    chunk = b"1\r\nx\r\n"
    assert len(chunk) - 1 < upstream_protocol._MAX_FRAMING_PER_BYTE


async def test_bytes_after_a_complete_answer_reach_nobody() -> None:
    """Neither an answer nor an error text contains bytes of another answer."""
    async with gateway_system.running() as system:
        script = scripted_backend.answer(body=b"ok" + b"x" * 200_000)
        system.backends[0].scripts += [script, scripted_backend.answer()]
        for _ in range(2):
            resp = await system.send("/status/x")
            text = await resp.text()
            assert text == "ok" or resp.status in (502, 503)
            assert "xxx" not in text
        assert len(system.request_heads) <= 2


async def test_long_plain_body_is_relayed_whole() -> None:
    """A long answer is not kept in memory, but it is complete."""
    body = b"y" * (relay._MAX_BUFFERED_BYTES + 70_000)
    async with gateway_system.running() as system:
        headers = ("X-Server-Stamp: s", f"Content-Length: {len(body)}")
        system.backends[0].scripts.append(
            scripted_backend.answer(headers=headers, body=body)
        )
        resp = await system.send("/status/x")
        assert await resp.read() == body


_REFUSALS = {
    "no length": b"",
    "long length": b"Content-Length: 99999999999\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
}


@pytest.mark.parametrize("framing", _REFUSALS)
@pytest.mark.parametrize(
    "status", ["503 Service Unavailable", "421 Misdirected Request"]
)
async def test_endless_body_of_a_refusal_is_not_read(
    status: str, framing: str
) -> None:
    """The body of a refusal was read whole, to use the connection again."""
    head = (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n"
    ).encode()
    more = b"x" * 65536
    if framing == "chunks":
        more = b"10000\r\n" + more + b"\r\n"
    async with gateway_system.running() as system:
        start = head + _REFUSALS[framing] + b"\r\n"
        async with _endless(system, start, more) as backend:
            resp = await system.send("/order/x", method="POST")
            await asyncio.wait_for(backend.closed.wait(), 2.0)
            await asyncio.sleep(0.3)
        assert resp.status == 503
        assert backend.sent_bytes < _MAX_READ_BYTES


async def test_endless_bytes_after_an_answer_end_the_connection() -> None:
    """Nobody reads an idle connection."""
    async with gateway_system.running() as system:
        start = scripted_backend.answer()
        async with _endless(system, start, b"x" * 65536) as backend:
            resp = await system.send("/status/x")
            assert await resp.text() == "ok"
            await asyncio.wait_for(backend.closed.wait(), 2.0)
        assert backend.sent_bytes < _MAX_READ_BYTES


def test_endless_event_in_small_pieces_needs_little_time() -> None:
    """Each piece was searched together with all bytes before it."""
    scanner = event_scanner.EventScanner()
    start_s = time.process_time()
    while scanner.incomplete_bytes < relay._MAX_EVENT_BYTES:
        scanner.feed(b"d" * 100)
    assert time.process_time() - start_s < 1.0
    assert scanner.feed(b"\n\n").endswith(b"d\n\n")
    assert scanner.events == 1
