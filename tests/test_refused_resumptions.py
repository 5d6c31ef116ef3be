"""Guards paused streams that another engine refuses to resume."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import functools
import threading
import time

from aiohttp import web

from hibiscuspass.platform import operator_config
from tests import gateway_system
from tests import memory_store
from tests.soak import system as system_lib

_EVENTS = 10
_EVENT_INTERVAL_S = 0.05
# Longer than the time without an event after which a stream may move.
_PAUSE_S = 1.5
# Pauses after the first event by the path of the request.
_PAUSES_S = {
    "/ask/paused": _PAUSE_S,
    "/ask/parts": _PAUSE_S,
    "/ask/late": 1.1,
}
# Longer than the time in which an engine refuses a stream.
_LATE_S = 0.3


async def _refuse_in_parts(req: web.Request) -> web.StreamResponse:
    """Sends the body of a refusal later than its head."""
    resp = web.StreamResponse(
        status=503,
        headers={
            "X-Attempt-Id": req.headers["X-Attempt-Id"],
            "X-Not-Executed": "",
            "Content-Length": "2",
        },
    )
    await resp.prepare(req)
    resp._payload_writer.send_headers()
    await asyncio.sleep(_LATE_S)
    with contextlib.suppress(ConnectionError):
        await resp.write(b"no")
    return resp


async def _stream(
    req: web.Request, resumed: threading.Event
) -> web.StreamResponse:
    """Sends events; refuses to resume a stream.

    The path tells how long the pause after the first event is, and whether the
    refusal is in time.
    """
    headers = {"X-Attempt-Id": req.headers["X-Attempt-Id"]}
    if "Last-Event-Id" in req.headers:
        resumed.set()
        if req.path == "/ask/parts":
            return await _refuse_in_parts(req)
        is_in_time = req.path == "/ask/paused"
        await asyncio.sleep(_LATE_S / 6 if is_in_time else _LATE_S)
        return web.Response(
            status=503, headers=headers | {"X-Not-Executed": ""}
        )
    resp = web.StreamResponse(headers=headers | {"X-Server-Stamp": "s"})
    resp.enable_chunked_encoding()
    await resp.prepare(req)
    with contextlib.suppress(ConnectionError):
        for number in range(_EVENTS):
            await resp.write(f"id: {number}\ndata: x\n\n".encode())
            pause_s = 0.0 if number else _PAUSES_S.get(req.path, 0.0)
            await asyncio.sleep(pause_s or _EVENT_INTERVAL_S)
        await resp.write_eof()
    return resp


@contextlib.asynccontextmanager
async def _system(
    resumed: threading.Event,
) -> AsyncIterator[gateway_system.System]:
    """Runs a gateway with two engines.

    Args:
      resumed: Set when a stream is to be resumed.
    """
    store = memory_store.MemoryStore()
    config = gateway_system.config(
        10_000, target_latency_ms=400, gap_aim_ms=100
    )
    store.apply({}, {operator_config.KEY: config})
    app = web.Application()
    app.router.add_route(
        "*", "/{tail:.*}", functools.partial(_stream, resumed=resumed)
    )
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


def _suspend_router(duration_s: float) -> None:
    """Blocks the event loop."""
    time.sleep(duration_s)


async def test_refusal_to_a_suspended_router_is_in_time() -> None:
    """A refusal that arrived while the router was suspended must count."""
    resumed = threading.Event()
    async with _system(resumed) as system:
        resp = await system.send(
            "/ask/paused", X_Deadline_Ms="8000", tokens="10,20"
        )
        await system.wait_until(resumed.is_set)
        _suspend_router(_LATE_S)
        body = await resp.read()
    assert body.count(b"data:") == _EVENTS


async def test_stream_that_goes_on_in_time_stays_with_its_engine() -> None:
    """An engine may go on while another one is asked."""
    async with _system(threading.Event()) as system:
        resp = await system.send("/ask/late", X_Deadline_Ms="8000")
        body = await resp.read()
    assert body.count(b"data:") == _EVENTS


async def test_refusal_counts_before_its_body_has_arrived() -> None:
    """The head of a refusal says that the engine won't resume the stream."""
    async with _system(threading.Event()) as system:
        resp = await system.send("/ask/parts", X_Deadline_Ms="8000")
        body = await resp.read()
    assert body.count(b"data:") == _EVENTS
