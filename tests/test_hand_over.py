"""Guards requests that a second server gets while the first one is silent."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools

from aiohttp import web

from hibiscuspass.platform import operator_config
from tests import gateway_system
from tests import memory_store

_Handler = Callable[[web.Request], Awaitable[web.Response]]


def _headers(req: web.Request) -> dict[str, str]:
    return {"X-Attempt-Id": req.headers["X-Attempt-Id"]}


async def _hang(_: web.Request) -> web.Response:
    await asyncio.sleep(60.0)
    return web.Response()


async def _answer(req: web.Request) -> web.Response:
    return web.Response(headers=_headers(req) | {"X-Server-Stamp": "s"})


async def _answer_late(req: web.Request) -> web.Response:
    await asyncio.sleep(0.4)
    return await _answer(req)


async def _refuse_late(req: web.Request) -> web.Response:
    await asyncio.sleep(0.5)
    return web.Response(
        status=503, headers=_headers(req) | {"X-Not-Executed": "1"}
    )


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

    async def handle(req: web.Request) -> web.Response:
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


async def test_answer_that_arrives_while_another_server_is_asked_is_kept() -> (
    None
):
    """A slow server must not be given up once it has answered."""
    async with _system(100, _answer_late, _refuse_late) as system:
        resp = await system.send("/status/x")
        assert resp.status == 200
