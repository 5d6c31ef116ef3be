"""Guards backend servers that leave or crash."""

import asyncio
import contextlib
import itertools
import time

import aiohttp

from tests import process_fleet

_ORDER = "/services/orders/orders"
_ROUTERS = ("r1", "r2", "r3")
# G6: a leaving backend server receives no new work after this time.
_DRAIN_LIMIT_S = 3.0
_ROUNDS = 10
_CONCURRENT = 6
_PROMPTS = itertools.count(1000)


async def _received(fleet: process_fleet.Fleet, engine: str) -> set[str]:
    """Returns the ids of all requests that an engine received."""
    seen = await fleet.record(engine)
    return set(seen["runs"]) | set(seen["refused"])


def _chat(
    fleet: process_fleet.Fleet, router: str, **fields: int
) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
    """Sends a completion with a prompt of its own, which no engine caches."""
    prompt = f"{next(_PROMPTS)} " * 100
    messages = [{"role": "user", "content": prompt}]
    return fleet.chat(router, messages=messages, **fields)


async def _ask(fleet: process_fleet.Fleet, router: str) -> str:
    """Sends a short completion; returns its request id."""
    async with _chat(fleet, router, max_tokens=5) as resp:
        text = await resp.text()
    assert resp.status == 200, text
    assert text.rstrip().endswith("data: [DONE]"), text
    return resp.headers["X-Request-Id"]


async def _ask_many(
    fleet: process_fleet.Fleet, routers: tuple[str, ...]
) -> list[str]:
    """Sends completions at the same time, so that the routers spread them."""
    return await asyncio.gather(
        *(_ask(fleet, r) for r in routers for _ in range(_CONCURRENT))
    )


async def _until_all_routers_use(
    fleet: process_fleet.Fleet, engines: tuple[str, ...]
) -> None:
    """Sends requests until each router has reached each engine."""
    for router in _ROUTERS:
        sent: set[str] = set()

        async def reached_all(
            router: str = router, sent: set[str] = sent
        ) -> bool:
            sent.update(await _ask_many(fleet, (router,)))
            received = [await _received(fleet, e) for e in engines]
            return all(sent & ids for ids in received)

        await fleet.until(reached_all)


async def _ask_for_a_while(fleet: process_fleet.Fleet) -> None:
    """Sends completions for the drain limit and some rounds after it."""
    started = time.monotonic()
    while time.monotonic() - started < _DRAIN_LIMIT_S:
        await _ask_many(fleet, _ROUTERS)
    for _ in range(_ROUNDS):
        await _ask_many(fleet, _ROUTERS)


async def _open_stream_on(
    fleet: process_fleet.Fleet,
    engine: str,
    stack: contextlib.AsyncExitStack,
) -> aiohttp.ClientResponse:
    """Opens streams until one runs on an engine; returns that one."""
    for _ in range(20):
        resp = await stack.enter_async_context(_chat(fleet, "r1"))
        assert resp.status == 200, await resp.text()
        if resp.headers["X-Request-Id"] in await _received(fleet, engine):
            return resp
    raise AssertionError(f"no stream on {engine}:\n{fleet.logs()}")


async def test_draining_engine_gets_no_new_request_after_3_s(tmp_path):
    """Guards new work on an engine that leaves, and the cut of its streams."""
    async with process_fleet.running(tmp_path) as fleet:
        for name in ("e1", "e2"):
            await fleet.start_engine(
                name, "--output-tokens=400", "--token-interval-s=0.03"
            )
        await asyncio.gather(*(fleet.start_router(r) for r in _ROUTERS))
        await _until_all_routers_use(fleet, ("e1", "e2"))
        async with contextlib.AsyncExitStack() as stack:
            stream = await _open_stream_on(fleet, "e1", stack)
            await fleet.fault("e1", drain=True)
            load = asyncio.create_task(_ask_for_a_while(fleet))
            await asyncio.sleep(_DRAIN_LIMIT_S)
            before = await _received(fleet, "e1")
            assert not load.done()
            await load
            assert await _received(fleet, "e1") == before
            # The stream was still open while the engine refused new work.
            request_id = stream.headers["X-Request-Id"]
            runs = (await fleet.record("e1"))["runs"]
            assert runs[request_id]["state"] == "running", runs[request_id]
            text = await stream.text()
            assert text.rstrip().endswith("data: [DONE]"), text[-500:]
            runs = (await fleet.record("e1"))["runs"]
            assert runs[request_id]["starts"] == 1
            assert runs[request_id]["generated"] == 400


async def test_order_of_a_crashed_service_is_unknown_and_not_repeated(tmp_path):
    """Guards an order whose service crashed between its run and its answer.

    A duplicate that is sent to another server, or to the restarted one, would
    run the order a second time.
    """
    async with process_fleet.running(tmp_path) as fleet:
        crashed = await fleet.start_service("s1")
        await fleet.fault("s1", lose_replies=1, lost_reply="hang")
        await asyncio.gather(*(fleet.start_router(r) for r in ("r1", "r2")))

        async def order(router: str, key: str) -> tuple[int, str]:
            async with fleet.post(router, _ORDER, {"n": 1}, key=key) as resp:
                await resp.read()
                return resp.status, resp.headers["X-Run"]

        async def has_run() -> bool:
            return len((await fleet.record("s1"))["runs"]) == 1

        first = asyncio.create_task(order("r1", "k"))
        await fleet.until(has_run)
        crashed.kill()
        await crashed.process.wait()
        assert await first == (502, "unknown")

        await fleet.start_service("s1", port=crashed.port)
        await fleet.start_service("s2")

        async def serves_orders() -> bool:
            return await order("r2", "other") == (200, "yes")

        await fleet.until(serves_orders)
        for router in ("r2", "r1", "r2"):
            status, run = await order(router, "k")
            assert (status >= 400, run) == (True, "unknown")
        runs = [
            run for s in ("s1", "s2") for run in (await fleet.record(s))["runs"]
        ]
        assert {run["idempotency_key"] for run in runs} == {"other"}
