"""Tests of the time limit of connections to backend servers."""

import asyncio
from collections.abc import Iterator
import socket
import time

import aiohttp
import pytest

from hibiscuspass.gateway import upstream_connector
from tests import scripted_backend

_LIMIT = aiohttp.ClientTimeout(total=None, sock_connect=0.2)


@pytest.fixture
def full_address() -> Iterator[str]:
    """Yields an address that accepts no further connections."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        host, port = server.getsockname()
        clients = [socket.socket() for _ in range(4)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex((host, port))
        yield f"{host}:{port}"
        for client in clients:
            client.close()


@pytest.mark.parametrize("stall_s", [0.0, 0.5])
async def test_unreachable_server_fails_after_the_limit(
    full_address: str, stall_s: float
) -> None:
    """A stall extends the limit by no more than the delay of its timer."""
    connector = upstream_connector.make_connector(1.0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start_s = time.monotonic()
        asyncio.get_running_loop().call_later(0.1, time.sleep, stall_s)
        with pytest.raises(aiohttp.ConnectionTimeoutError):
            await session.get(f"http://{full_address}/", timeout=_LIMIT)
        elapsed_s = time.monotonic() - start_s
    assert 0.2 <= elapsed_s < 0.2 + 2 * stall_s + 0.3


async def test_connection_of_a_cancelled_request_is_closed() -> None:
    """The request ends while its connection is being set up."""
    async with scripted_backend.running() as backend:
        connector = upstream_connector.make_connector(1.0)
        connected = asyncio.Event()
        factory = connector._factory
        protocols = []

        def make_protocol() -> asyncio.Protocol:
            protocols.append(factory())
            connected.set()
            return protocols[-1]

        connector._factory = make_protocol
        async with aiohttp.ClientSession(connector=connector) as session:
            request = asyncio.create_task(
                session.get(f"http://{backend.address}/", timeout=_LIMIT)
            )
            await connected.wait()
            request.cancel()
            with pytest.raises(asyncio.CancelledError):
                await request
            await asyncio.sleep(0.05)
            assert [p.is_connected() for p in protocols] == [False]
