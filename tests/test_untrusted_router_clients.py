"""Guards a router process against clients that use up its VM.

Each test runs a router as a process of its own. The bounds are the limits of
the smallest VM.
"""

import asyncio
from collections.abc import AsyncIterator
import functools
import itertools
import json
import os
import pathlib

import pytest

from tests import process_fleet
from tests import untrusted_clients as clients_lib

# Their bodies are 1.5 times the memory of the VM.
_CROWD = 60
_HOLD_S = 8.0
_MAX_OPEN_FDS = 256
_SETTINGS = {"memory_mb": clients_lib.MEMORY_MB}
_numbers = itertools.count()
_CHAT = "/v1/chat/completions"
_ORDERS = "/services/orders/orders/1"


@pytest.fixture(autouse=True)
def _one_at_a_time():
    with clients_lib.alone():
        yield


@pytest.fixture
async def fleet(
    tmp_path: pathlib.Path,
) -> AsyncIterator[process_fleet.Fleet]:
    async with process_fleet.run_fleet(tmp_path) as running:
        await running.start_engine("engine-0")
        await running.start_service("service-0")
        await running.start_router("router-0", **_SETTINGS)
        await running.wait_until(functools.partial(_is_served, running))
        yield running


async def _is_served(fleet: process_fleet.Fleet) -> bool:
    async with fleet.chat("router-0", stream=False, max_tokens=4) as resp:
        return resp.status == 200


def _body(size: int) -> bytes:
    """Returns a request body of about a size in bytes."""
    content = "x" * (size - 200)
    return json.dumps(
        {
            "model": process_fleet.MODEL,
            "max_tokens": 4,
            "messages": [{"role": "user", "content": content}],
        }
    ).encode()


async def _send(
    fleet: process_fleet.Fleet, path: str, *, missing: int, in_chunks: bool
) -> None:
    """Sends a body but for its last bytes, and keeps the connection open."""
    router = fleet.programs["router-0"]
    body = _body(clients_lib.BODY_BYTES)
    framing = (
        "Transfer-Encoding: chunked"
        if in_chunks
        else f"Content-Length: {len(body)}"
    )
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\n{framing}\r\n"
        f"Authorization: Bearer {fleet.access_key}\r\n"
        f"Idempotency-Key: key-{next(_numbers)}\r\n\r\n"
    )
    body = body[: len(body) - missing]
    async with clients_lib.connected(f"127.0.0.1:{router.port}") as (_, writer):
        writer.write(head.encode())
        for start in range(0, len(body), 65_536):
            piece = body[start : start + 65_536]
            if in_chunks:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            writer.write(piece)
            await writer.drain()
        if in_chunks and not missing:
            writer.write(b"0\r\n\r\n")
        await asyncio.sleep(3600)


async def _crowd(fleet: process_fleet.Fleet, path: str, **options) -> None:
    send = functools.partial(_send, fleet, path, **options)
    await clients_lib.crowd([send] * _CROWD, _HOLD_S)


async def _assert_sound(fleet: process_fleet.Fleet) -> None:
    """Checks the bounds and that the router serves an ordinary caller."""
    process = fleet.programs["router-0"].process
    assert process.returncode is None, fleet.logs()
    await fleet.wait_until(functools.partial(_is_served, fleet))
    fds, peak_mb = _usage(process.pid)
    print("peak MB", peak_mb, "descriptors", fds)
    assert peak_mb < clients_lib.MEMORY_MB
    assert fds < _MAX_OPEN_FDS
    assert process.returncode is None, fleet.logs()


def _usage(pid: int) -> tuple[int, float]:
    """Returns the open descriptors and the largest resident memory in MB."""
    process = pathlib.Path(f"/proc/{pid}")
    status = (process / "status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    fds = len(os.listdir(process / "fd"))
    return fds, int(line.split()[1]) * 1024 / 1e6


@pytest.mark.parametrize("path", [_CHAT, _ORDERS])
@pytest.mark.parametrize("in_chunks", [False, True])
async def test_router_bounds_bodies_that_stop_before_their_end(
    fleet: process_fleet.Fleet, path: str, in_chunks: bool
) -> None:
    """Uploads that stay open used more memory than the VM has."""
    await _crowd(fleet, path, missing=100, in_chunks=in_chunks)
    await _assert_sound(fleet)


@pytest.mark.parametrize("path", [_CHAT, _ORDERS])
async def test_router_bounds_whole_bodies_to_silent_servers(
    fleet: process_fleet.Fleet, path: str
) -> None:
    """Bodies that wait for a server used more memory than the VM has."""
    servers = [fleet.programs[n] for n in ("engine-0", "service-0")]
    for server in servers:
        server.freeze()
    await _crowd(fleet, path, missing=0, in_chunks=False)
    for server in servers:
        server.resume()
    await _assert_sound(fleet)


async def test_router_bounds_orders_of_callers_that_left(
    fleet: process_fleet.Fleet,
) -> None:
    """Orders go on without their callers, which come back with new ones."""
    service = fleet.programs["service-0"]
    service.freeze()
    for _ in range(2):
        await _crowd(fleet, _ORDERS, missing=0, in_chunks=False)
    service.resume()
    await _assert_sound(fleet)


async def test_router_serves_a_single_large_request(
    fleet: process_fleet.Fleet,
) -> None:
    """The limits must not refuse a caller within the documented ones."""
    content = "x" * (clients_lib.BODY_BYTES - 1000)
    async with fleet.post("router-0", _ORDERS, content, key="large") as resp:
        assert resp.status == 200, await resp.text()
    await _assert_sound(fleet)
