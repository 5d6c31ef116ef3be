"""Guards streams of slow but sound engines that the gateway gives up."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import socket

import aiohttp
from aiohttp import web
import attrs
import pytest

from hibiscuspass.core.membership import member_record
from hibiscuspass.platform import operator_config
from hibiscuspass.settings import gateway as settings_lib
from tests import free_ports
from tests import gateway_system
from tests import memory_store
from tests.soak import system as system_lib

_EVENTS = 4
# The engines pause after their second event for longer than the limit of 1 s.
_PAUSE_S = 1.6
_CALLERS = 8
# A fleet of this size asks monitors for the load of engines.
_PEERS = 11


def _refuse(req: web.Request) -> web.Response:
    return web.Response(
        status=503,
        headers={
            "X-Attempt-Id": req.headers["X-Attempt-Id"],
            "X-Not-Executed": "1",
        },
    )


async def _hang(req: web.Request, running: list[str]) -> web.StreamResponse:
    """Sends one event of a stream, then nothing until it is cancelled."""
    running.append(req.headers["X-Attempt-Id"])
    try:
        resp = web.StreamResponse(
            headers={
                "X-Attempt-Id": req.headers["X-Attempt-Id"],
                "X-Server-Stamp": "s",
            }
        )
        resp.enable_chunked_encoding()
        await resp.prepare(req)
        if "Last-Event-Id" not in req.headers:
            await resp.write(b"id: 0\ndata: 0\n\n")
        await asyncio.sleep(60.0)
        return resp
    finally:
        running.pop()


def _fail(req: web.Request) -> web.Response:
    return web.Response(
        status=500,
        headers={
            "X-Attempt-Id": req.headers["X-Attempt-Id"],
            "X-Server-Stamp": "s",
        },
    )


def _break_off(req: web.Request) -> web.Response:
    """Closes the connection; the returned response is never sent."""
    assert req.transport
    req.transport.abort()
    return web.Response()


# Answers of the engines to streams that are to be resumed; None resumes them.
_Resumption = Callable[[web.Request], web.Response] | None


async def _stream(
    req: web.Request, resumption: _Resumption
) -> web.StreamResponse:
    attempt_id = req.headers["X-Attempt-Id"]
    first = int(req.headers.get("Last-Event-Id", "-1")) + 1
    if first and resumption:
        return resumption(req)
    resp = web.StreamResponse(
        headers={"X-Attempt-Id": attempt_id, "X-Server-Stamp": "s"}
    )
    resp.enable_chunked_encoding()
    await resp.prepare(req)
    with contextlib.suppress(ConnectionError):
        for number in range(first, _EVENTS):
            if number == 2 and not first:
                await asyncio.sleep(_PAUSE_S)
            await resp.write(f"id: {number}\ndata: {number}\n\n".encode())
        await resp.write_eof()
    return resp


@contextlib.asynccontextmanager
async def _system(
    engines: int, peers: int, resumption: _Resumption = None
) -> AsyncIterator[gateway_system.System]:
    """Runs a gateway with engines that pause in their streams."""
    store = memory_store.MemoryStore()
    store.apply(
        {},
        {
            operator_config.KEY: gateway_system.config(
                100_000, target_latency_ms=400, gap_aim_ms=100
            )
        }
        | {
            member_record.member_key(f"peer-{n}"): member_record.encode(
                member_record.MemberRecord(
                    f"127.0.0.1:{free_ports.free_port()}", "1"
                )
            )
            for n in range(peers)
        },
    )
    app = web.Application()
    app.router.add_route(
        "*", "/{tail:.*}", functools.partial(_stream, resumption=resumption)
    )
    runner, address = await system_lib.serve(app)
    async with gateway_system.running(backends=engines, store=store) as system:
        for number in range(engines):
            system.move_backend(number, address)
        await system.wait_until(
            lambda: system.gateway._fleet.known_size > peers
        )
        await asyncio.sleep(0.2)
        yield system
    await runner.cleanup()


async def _read_stream(system: gateway_system.System, attempt_id: str) -> str:
    try:
        resp = await system.send(
            "/ask/x",
            X_Attempt_Id=attempt_id,
            X_Deadline_Ms="8000",
            tokens="10,20",
            X_Prompt_Prefix=f"{attempt_id}:10",
        )
        body = await resp.text()
    except aiohttp.ClientError as exc:
        return f"cut: {type(exc).__name__}"
    is_complete = body.count("data:") == _EVENTS
    return f"{resp.status} {'complete' if is_complete else body}"


async def test_paused_streams_outlive_the_retry_budget() -> None:
    """Streams that can't go on elsewhere must wait for their engines.

    Many streams pause at once, and the retry budget allows to resume a few.
    """
    async with _system(engines=3, peers=_PEERS) as system:
        system.gateway.reload(
            attrs.evolve(
                system.cfg, repeats=settings_lib.RepeatSettings(0.2, 10.0)
            )
        )
        outcomes = collections.Counter(
            await asyncio.gather(
                *(_read_stream(system, f"a{n}") for n in range(_CALLERS))
            )
        )
    assert outcomes == {"200 complete": _CALLERS}


@pytest.mark.parametrize("resumption", [_refuse, _fail, _break_off])
async def test_paused_stream_outlives_failed_resumption(
    resumption: _Resumption,
) -> None:
    """A stream whose engine pauses must not depend on another engine.

    The other engine is full, it fails, or it crashes.
    """
    async with _system(engines=2, peers=0, resumption=resumption) as system:
        outcome = await _read_stream(system, "a")
    assert outcome == "200 complete"


@contextlib.contextmanager
def _unreachable_address() -> Iterator[str]:
    """Yields an address at which connection attempts hang."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # They fill the queue of connections that nobody accepts.
        for _ in range(4):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        yield "{}:{}".format(*listener.getsockname())


async def test_paused_stream_outlives_unreachable_server() -> None:
    """A stream must not be given up for a server that can't be connected to.

    The attempt to connect may last longer than a refusal.
    """
    with _unreachable_address() as address:
        async with _system(engines=2, peers=0) as system:
            reading = asyncio.create_task(_read_stream(system, "a"))
            await asyncio.sleep(0.2)
            for number in range(2):
                system.move_backend(number, address)
            assert await reading == "200 complete"


@pytest.mark.parametrize("leaves_after_s", [1.1, 1.5])
async def test_caller_that_leaves_while_a_stream_moves_ends_both_runs(
    leaves_after_s: float,
) -> None:
    """Two engines may work on a stream that one takes over from the other."""
    running: list[str] = []
    app = web.Application()
    app.router.add_route(
        "*", "/{tail:.*}", functools.partial(_hang, running=running)
    )
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    async with _system(engines=2, peers=0) as system:
        for number in range(2):
            system.move_backend(number, f"{host}:{port}")
        await asyncio.sleep(0.1)
        resp = await system.send("/ask/x", X_Deadline_Ms="8000", tokens="10,20")
        assert resp.status == 200
        await asyncio.sleep(leaves_after_s)
        assert running
        resp.close()
        await system.wait_until(lambda: not running)
    await runner.cleanup()
