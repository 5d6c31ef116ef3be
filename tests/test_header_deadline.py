"""Tests the time limit for request headers of the caller API."""

import asyncio

import pytest
import pytest_asyncio

from hibiscuspass.router import limits as limits_lib
from tests import backend_fakes
from tests import router_fakes as fakes

_HEADERS_S = 0.3
# Only limits the duration of a failing test.
_TIMEOUT_S = 10.0
_BYTE_INTERVAL_S = 0.02
_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: router\r\n\r\n"
_PARTIAL = b"GET /healthz HTTP/1.1\r\nHost: router\r\nX-Slow: "


class _PausingEngine(backend_fakes.FakeEngine):
    """Streams an answer that takes longer than the header limit."""

    async def complete(self, req, *, idle_timeout_s):
        for item in backend_fakes.complete_stream("Hel", "lo"):
            await asyncio.sleep(_HEADERS_S / 2)
            yield item


@pytest_asyncio.fixture
async def router():
    started = await fakes.start_router(limits_lib.Limits(headers_s=_HEADERS_S))
    yield started
    await started.close()


@pytest_asyncio.fixture
async def conn(router):
    reader, writer = await asyncio.open_connection("127.0.0.1", router.api.port)
    yield reader, writer
    writer.close()


async def _send_slowly(writer):
    while not writer.is_closing():
        writer.write(b"a")
        await asyncio.sleep(_BYTE_INTERVAL_S)


async def _read_response(reader):
    async with asyncio.timeout(_TIMEOUT_S):
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length: ")[1].split()[0])
        await reader.readexactly(size)
    return head


@pytest.mark.parametrize("answers_before", [0, 1, 2])
async def test_slow_headers_end_the_connection(conn, answers_before):
    """Guards against slow headers that hold a connection forever.

    Each byte arrives soon after the last one, but the headers as a whole exceed
    the limit, on a new connection and after earlier requests.
    """
    reader, writer = conn
    for _ in range(answers_before):
        writer.write(_REQUEST)
        assert b" 200 " in await _read_response(reader)
    writer.write(_PARTIAL)
    sender = asyncio.create_task(_send_slowly(writer))
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            assert await reader.read() == b""
    except ConnectionResetError:
        # Bytes that arrive at a closed connection are answered by a reset.
        pass
    finally:
        sender.cancel()


async def test_an_idle_connection_stays_open(conn):
    """Guards against closing the idle connections of load balancers.

    They keep connections open for later requests.
    """
    reader, writer = conn
    for _ in range(2):
        await asyncio.sleep(2 * _HEADERS_S)
        writer.write(_REQUEST)
        assert b" 200 " in await _read_response(reader)


async def test_headers_in_several_parts_are_accepted(conn):
    reader, writer = conn
    for part in (_REQUEST[:5], _REQUEST[5:30], _REQUEST[30:]):
        writer.write(part)
        await asyncio.sleep(_BYTE_INTERVAL_S)
    assert b" 200 " in await _read_response(reader)


async def test_response_longer_than_the_limit_completes(router, conn):
    """Guards against a header limit that also cuts off responses.

    A slow request on another connection must not affect the call either.
    """
    _, slow = conn
    slow.write(_PARTIAL)
    router.engines["e1"] = _PausingEngine("e1")
    async with router.chat(stream=True) as resp:
        assert (await resp.text()).endswith("data: [DONE]\n\n")
