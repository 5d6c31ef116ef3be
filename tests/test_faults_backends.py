"""Tests that backend servers may drain or crash while in use."""

import asyncio
import contextlib
import itertools
import time

import aiohttp

from tests import process_fleet

_ORDER = "/services/orders/orders"
_ROUTERS = ("r1", "r2", "r3")
# Requirement G6: a draining backend server receives no new requests after this
# time.
_DRAIN_LIMIT_S = 3.0
_ROUNDS = 10
_CONCURRENT = 6
_PROMPT_NUMBERS = itertools.count(1000)


async def _received_ids(fleet: process_fleet.Fleet, engine: str) -> set[str]:
    """Returns the ids of all requests that an engine ran or refused."""
    seen = await fleet.read_record(engine)
    return set(seen["runs"]) | set(seen["refused"])


def _chat(
    fleet: process_fleet.Fleet, router: str, **fields: int
) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
    """Sends a completion with a unique prompt, which no engine has cached."""
    prompt = f"{next(_PROMPT_NUMBERS)} " * 100
    messages = [{"role": "user", "content": prompt}]
    return fleet.chat(router, messages=messages, **fields)


async def _complete(fleet: process_fleet.Fleet, router: str) -> str:
    """Sends a short completion and returns its request id."""
    async with _chat(fleet, router, max_tokens=5) as resp:
        text = await resp.text()
    assert resp.status == 200, text
    assert text.rstrip().endswith("data: [DONE]"), text
    return resp.headers["X-Request-Id"]


async def _complete_many(
    fleet: process_fleet.Fleet, routers: tuple[str, ...]
) -> list[str]:
    """Sends concurrent completions, so that routers use several engines."""
    return await asyncio.gather(
        *(_complete(fleet, r) for r in routers for _ in range(_CONCURRENT))
    )


async def _until_all_routers_use(
    fleet: process_fleet.Fleet, engines: tuple[str, ...]
) -> None:
    """Sends requests until each router has sent one to each engine."""
    for router in _ROUTERS:
        sent: set[str] = set()

        async def reached_all(
            router: str = router, sent: set[str] = sent
        ) -> bool:
            sent.update(await _complete_many(fleet, (router,)))
            received = [await _received_ids(fleet, e) for e in engines]
            return all(sent & ids for ids in received)

        await fleet.wait_until(reached_all)


async def _complete_past_drain_limit(fleet: process_fleet.Fleet) -> None:
    """Sends completions during the drain limit and for some rounds after."""
    started = time.monotonic()
    while time.monotonic() - started < _DRAIN_LIMIT_S:
        await _complete_many(fleet, _ROUTERS)
    for _ in range(_ROUNDS):
        await _complete_many(fleet, _ROUTERS)


async def _open_stream_on(
    fleet: process_fleet.Fleet,
    engine: str,
    stack: contextlib.AsyncExitStack,
) -> aiohttp.ClientResponse:
    """Opens streams until one runs on `engine`, and returns that stream."""
    for _ in range(20):
        resp = await stack.enter_async_context(_chat(fleet, "r1"))
        assert resp.status == 200, await resp.text()
        if resp.headers["X-Request-Id"] in await _received_ids(fleet, engine):
            return resp
    raise AssertionError(f"no stream on {engine}:\n{fleet.logs()}")


async def test_draining_engine_gets_no_new_request_after_3_s(tmp_path):
    """Guards against sending new requests to a draining engine.

    A stream that runs on the engine when it starts to drain must not be cut.
    """
    async with process_fleet.run_fleet(tmp_path) as fleet:
        for name in ("e1", "e2"):
            await fleet.start_engine(
                name, "--output-tokens=400", "--token-interval-s=0.03"
            )
        await asyncio.gather(*(fleet.start_router(r) for r in _ROUTERS))
        await _until_all_routers_use(fleet, ("e1", "e2"))
        async with contextlib.AsyncExitStack() as stack:
            stream = await _open_stream_on(fleet, "e1", stack)
            await fleet.inject_faults("e1", drain=True)
            load = asyncio.create_task(_complete_past_drain_limit(fleet))
            await asyncio.sleep(_DRAIN_LIMIT_S)
            before = await _received_ids(fleet, "e1")
            assert not load.done()
            await load
            assert await _received_ids(fleet, "e1") == before
            # The stream was still running while the engine refused requests.
            request_id = stream.headers["X-Request-Id"]
            runs = (await fleet.read_record("e1"))["runs"]
            assert runs[request_id]["state"] == "running", runs[request_id]
            text = await stream.text()
            assert text.rstrip().endswith("data: [DONE]"), text[-500:]
            runs = (await fleet.read_record("e1"))["runs"]
            assert runs[request_id]["starts"] == 1
            assert runs[request_id]["generated"] == 400


async def test_order_of_a_crashed_service_is_unknown_and_not_repeated(tmp_path):
    """Guards against repeating an order whose server crashed before replying.

    The server ran the order, so a retry that is sent to another server, or to
    the restarted one, would run it a second time.
    """
    async with process_fleet.run_fleet(tmp_path) as fleet:
        crashed = await fleet.start_service("s1")
        await fleet.inject_faults("s1", lose_replies=1, lost_reply="hang")
        await asyncio.gather(*(fleet.start_router(r) for r in ("r1", "r2")))

        async def order(router: str, key: str) -> tuple[int, str]:
            async with fleet.post(router, _ORDER, {"n": 1}, key=key) as resp:
                await resp.read()
                return resp.status, resp.headers["X-Run"]

        async def has_run_once() -> bool:
            return len((await fleet.read_record("s1"))["runs"]) == 1

        first = asyncio.create_task(order("r1", "k"))
        await fleet.wait_until(has_run_once)
        crashed.kill()
        await crashed.process.wait()
        assert await first == (502, "unknown")

        await fleet.start_service("s1", port=crashed.port)
        await fleet.start_service("s2")

        async def serves_orders() -> bool:
            return await order("r2", "other") == (200, "yes")

        await fleet.wait_until(serves_orders)
        for router in ("r2", "r1", "r2"):
            status, run = await order(router, "k")
            assert (status >= 400, run) == (True, "unknown")
        runs = [
            run
            for s in ("s1", "s2")
            for run in (await fleet.read_record(s))["runs"]
        ]
        assert {run["idempotency_key"] for run in runs} == {"other"}
