"""Guards streams whose engines are not silent, but are taken for silent."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import threading
import time

from aiohttp import web

from hibiscuspass.platform import operator_config
from tests import gateway_system
from tests import memory_store
from tests.soak import system as system_lib

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_EVENTS = 10
# Larger than the buffers of all connections on the way.
_EVENT_BYTES = 900_000
_EVENT_INTERVAL_S = 0.05
# Longer than the time without an event after which a stream may move.
_PAUSE_S = 1.5


async def _stream(req: web.Request) -> web.StreamResponse:
    """Sends large events; refuses late to resume a stream."""
    headers = {"X-Attempt-Id": req.headers["X-Attempt-Id"]}
    if "Last-Event-Id" in req.headers:
        await asyncio.sleep(0.3)
        return web.Response(
            status=503, headers=headers | {"X-Not-Executed": ""}
        )
    resp = web.StreamResponse(headers=headers | {"X-Server-Stamp": "s"})
    resp.enable_chunked_encoding()
    await resp.prepare(req)
    with contextlib.suppress(ConnectionError):
        for number in range(_EVENTS):
            text = "x" * (_EVENT_BYTES if req.path == "/ask/large" else 1)
            await resp.write(f"id: {number}\ndata: {text}\n\n".encode())
            await asyncio.sleep(_EVENT_INTERVAL_S)
        await resp.write_eof()
    return resp


@contextlib.asynccontextmanager
async def _system(
    handler: _Handler = _stream,
) -> AsyncIterator[gateway_system.System]:
    store = memory_store.MemoryStore()
    config = gateway_system.config(
        10_000, target_latency_ms=400, gap_aim_ms=100
    )
    store.apply({}, {operator_config.KEY: config})
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", handler)
    with _serving(app) as address:
        async with gateway_system.running(backends=2, store=store) as system:
            for number in range(2):
                system.move_backend(number, address)
            await asyncio.sleep(0.1)
            yield system


@contextlib.contextmanager
def _serving(app: web.Application) -> Iterator[str]:
    """Serves in another thread, which goes on while the test is suspended."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    runner, address = asyncio.run_coroutine_threadsafe(
        system_lib.serve(app), loop
    ).result()
    try:
        yield address
    finally:
        asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def _suspend_router() -> None:
    """Blocks the event loop."""
    time.sleep(_PAUSE_S)


async def test_stream_to_a_slow_caller_stays_with_its_engine() -> None:
    """A time in which the caller doesn't read must not count as silence."""
    async with _system() as system:
        resp = await system.send(
            "/ask/large", X_Deadline_Ms="8000", tokens="10,20"
        )
        await asyncio.sleep(_PAUSE_S)
        body = await resp.read()
    assert body.count(b"data:") == _EVENTS


async def test_stream_through_a_suspended_router_stays_with_its_engine() -> (
    None
):
    """Events that arrived while the router was suspended must count."""
    async with _system() as system:
        resp = await system.send("/ask/x", X_Deadline_Ms="8000", tokens="10,20")
        await asyncio.sleep(_EVENT_INTERVAL_S)
        _suspend_router()
        body = await resp.read()
    assert body.count(b"data:") == _EVENTS


async def test_refusal_at_a_suspended_router_keeps_the_stream() -> None:
    """Another engine's refusal may be read late by a suspended router."""
    router_loop = asyncio.get_running_loop()

    async def stream(req: web.Request) -> web.StreamResponse:
        headers = {"X-Attempt-Id": req.headers["X-Attempt-Id"]}
        if "Last-Event-Id" in req.headers:
            router_loop.call_soon_threadsafe(time.sleep, 0.3)
            await asyncio.sleep(0.05)
            return web.Response(
                status=503, headers=headers | {"X-Not-Executed": ""}
            )
        resp = web.StreamResponse(headers=headers | {"X-Server-Stamp": "s"})
        resp.enable_chunked_encoding()
        await resp.prepare(req)
        with contextlib.suppress(ConnectionError):
            for number in range(_EVENTS):
                await resp.write(f"id: {number}\ndata: x\n\n".encode())
                await asyncio.sleep(0.0 if number else 1.8)
            await resp.write_eof()
        return resp

    async with _system(stream) as system:
        resp = await system.send("/ask/x", X_Deadline_Ms="8000", tokens="10,20")
        body = await resp.read()
    assert body.count(b"data:") == _EVENTS
