"""Guards requests that a second server gets while the first one is silent."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import time

from aiohttp import web

from hibiscuspass.core import run_state
from hibiscuspass.gateway import sends as sends_lib
from hibiscuspass.gateway import upstream
from hibiscuspass.platform import operator_config
from tests import gateway_system
from tests import memory_store

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _headers(req: web.Request) -> dict[str, str]:
    return {"X-Attempt-Id": req.headers["X-Attempt-Id"]}


async def _hang(_: web.Request) -> web.Response:
    await asyncio.sleep(60.0)
    return web.Response()


async def _answer(req: web.Request) -> web.Response:
    return web.Response(headers=_headers(req) | {"X-Server-Stamp": "s"})


async def _refuse_late(req: web.Request) -> web.Response:
    await asyncio.sleep(0.5)
    return web.Response(
        status=503, headers=_headers(req) | {"X-Not-Executed": "1"}
    )


async def _answer_late(req: web.Request) -> web.Response:
    await asyncio.sleep(0.4)
    return await _answer(req)


async def _refuse_soon(req: web.Request) -> web.Response:
    await asyncio.sleep(0.4)
    return web.Response(
        status=503, headers=_headers(req) | {"X-Not-Executed": "1"}
    )


async def _pause(req: web.Request) -> web.StreamResponse:
    """Sends a stream whose second event comes during a hand-over."""
    resp = web.StreamResponse(headers=_headers(req) | {"X-Server-Stamp": "s"})
    resp.enable_chunked_encoding()
    await resp.prepare(req)
    for number in range(3):
        await resp.write(f"id: {number}\ndata: {number}\n\n".encode())
        await asyncio.sleep(0.0 if number else 1.1)
    await resp.write_eof()
    return resp


async def _dribble(req: web.Request) -> web.StreamResponse:
    """Sends bytes that complete no event."""
    resp = web.StreamResponse(headers=_headers(req) | {"X-Server-Stamp": "s"})
    resp.enable_chunked_encoding()
    await resp.prepare(req)
    while True:
        await resp.write(b"x")
        await asyncio.sleep(0.05)


async def _stream(req: web.Request) -> web.Response:
    await asyncio.sleep(0.1)
    return web.Response(
        headers=_headers(req) | {"X-Server-Stamp": "s"}, text="id: 0\ndata\n\n"
    )


async def _break_off_late(req: web.Request) -> web.Response:
    await asyncio.sleep(0.3)
    return await _break_off(req)


async def _break_off(req: web.Request) -> web.Response:
    assert req.transport
    req.transport.abort()
    return web.Response()


@contextlib.asynccontextmanager
async def _system(
    target_latency_ms: int, *handlers: _Handler
) -> AsyncIterator[gateway_system.System]:
    """Runs a gateway whose servers handle the n-th send by the n-th handler."""
    numbers = itertools.count()

    async def handle(req: web.Request) -> web.StreamResponse:
        return await handlers[next(numbers)](req)

    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", handle)
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    store = memory_store.MemoryStore()
    config = gateway_system.config(
        10_000,
        target_latency_ms=target_latency_ms,
        max_attempts=len(handlers),
    )
    store.apply({}, {operator_config.KEY: config})
    async with gateway_system.running(
        backends=len(handlers), store=store
    ) as system:
        for number in range(len(handlers)):
            system.move_backend(number, f"{host}:{port}")
        await asyncio.sleep(0.1)
        yield system
    await runner.cleanup()


async def test_answer_of_third_server_is_not_lost() -> None:
    """The second server may be silent too before the first is given up."""
    async with _system(30, _hang, _hang, _answer) as system:
        resp = await system.send("/status/x")
        assert resp.status == 200


async def test_late_refusal_does_not_hide_another_run() -> None:
    """A status 503 must not be given if the second server may have run."""
    async with _system(100, _refuse_late, _break_off) as system:
        resp = await system.send("/status/x")
        assert resp.status == 502


async def test_answer_during_a_hand_over_is_not_given_up() -> None:
    """The second server may fail after the first one has answered."""
    async with _system(100, _answer_late, _break_off_late) as system:
        resp = await system.send("/status/x")
        assert resp.status == 200


async def test_event_during_a_hand_over_keeps_the_stream() -> None:
    """An engine that goes on must not be given up for one that may fail."""
    async with _system(100, _pause, _break_off_late) as system:
        resp = await system.send("/ask/x", X_Deadline_Ms="8000", tokens="10,20")
        body = await resp.text()
    assert body == "".join(f"id: {n}\ndata: {n}\n\n" for n in range(3))


async def test_refusal_during_a_hand_over_is_not_forgotten() -> None:
    """A request that two servers have refused one after the other may return.

    The status 503 says that it has not run.
    """
    async with _system(100, _refuse_soon, _refuse_late) as system:
        resp = await system.send("/status/x")
        assert resp.status == 503


async def test_refusal_by_a_distant_server_keeps_the_answer() -> None:
    """Connecting and the refusal may each take a large part of the limit."""

    async def send(on_written: Callable[[], None]) -> sends_lib.Outcome:
        await asyncio.sleep(0.15)
        on_written()
        await asyncio.sleep(0.15)
        return upstream.Failure(run_state.RunState.NO, "refused")

    sends = sends_lib.Sends(max_attempts=2)
    assert not await sends.hand_over(send, lambda _: None, lambda: False)


def _block_loop() -> None:
    time.sleep(0.02)


async def test_busy_router_does_not_let_two_servers_work_for_long() -> None:
    """The decision must not wait for many iterations of a slow event loop."""
    written_s = 0.0

    async def send(on_written: Callable[[], None]) -> sends_lib.Outcome:
        nonlocal written_s
        written_s = time.monotonic()
        on_written()
        await asyncio.sleep(60.0)
        return upstream.Failure(run_state.RunState.UNKNOWN, "")

    async def work() -> None:
        while True:
            _block_loop()
            await asyncio.sleep(0)

    sends = sends_lib.Sends(max_attempts=2)
    busy = asyncio.create_task(work())
    assert await sends.hand_over(send, lambda _: None, lambda: False)
    elapsed_s = time.monotonic() - written_s
    busy.cancel()
    sends.cancel(lambda _: None)
    assert elapsed_s < 0.4


async def test_bytes_that_complete_no_event_do_not_keep_a_stream() -> None:
    """A server may send bytes for ever while another one is free."""
    async with _system(100, _dribble, _stream) as system:
        resp = await system.send("/ask/x", X_Deadline_Ms="6000", tokens="10,20")
        assert await resp.text() == "id: 0\ndata\n\n"
