"""Tests router processes with test servers on the loopback interface."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest_asyncio

from tests import process_fleet

_ORDER = "/services/orders/orders"


@pytest_asyncio.fixture
async def fleet(tmp_path):
    async with aiohttp.ClientSession() as session:
        started = process_fleet.Fleet(tmp_path, session)
        try:
            await started.start_platform()
            yield started
        finally:
            await started.stop()


def _split_events(text: str) -> list[str]:
    return [part for part in text.split("\n\n") if part]


def _assert_stream_complete(text: str, tokens: int) -> None:
    parts = _split_events(text)
    assert parts[-1] == "data: [DONE]", text[-500:]
    assert _usage(text)["completion_tokens"] == tokens
    assert len(parts) >= tokens + 2


def _usage(text: str) -> dict[str, int]:
    last = _split_events(text)[-2].removeprefix("data: ")
    return msgspec.json.decode(last)["usage"]


async def _until_billed(fleet: process_fleet.Fleet, request_id: str) -> None:
    async def billed() -> bool:
        return request_id in await fleet.read_billed_costs()

    await fleet.wait_until(billed)


async def _engine_runs(
    fleet: process_fleet.Fleet, engine: str
) -> dict[str, dict]:
    return (await fleet.read_record(engine))["runs"]


async def test_streamed_completion_is_complete_and_runs_once(fleet):
    await fleet.start_engine("e1", "--output-tokens=20")
    await fleet.start_router("r1")
    async with fleet.chat("r1") as resp:
        text = await resp.text()
        request_id = resp.headers["X-Request-Id"]
    assert resp.status == 200, text
    _assert_stream_complete(text, 20)
    runs = await _engine_runs(fleet, "e1")
    assert list(runs) == [request_id]
    assert runs[request_id]["starts"] == 1
    usage = _usage(text)
    cost = usage["prompt_tokens"] + usage["completion_tokens"]
    await _until_billed(fleet, request_id)
    assert await fleet.read_billed_costs() == {request_id: [cost]}


async def test_order_runs_once_with_a_duplicate_on_another_router(fleet):
    for name in ("s1", "s2"):
        await fleet.start_service(name)
    await asyncio.gather(fleet.start_router("r1"), fleet.start_router("r2"))
    answers = []
    for router in ("r1", "r2"):
        async with fleet.post(router, _ORDER, {"n": 1}, key="k") as resp:
            answers.append((resp.status, await resp.json()))
    assert answers[0][0] == 200, answers
    assert answers[0] == answers[1]
    runs = [
        run
        for s in ("s1", "s2")
        for run in (await fleet.read_record(s))["runs"]
    ]
    assert len(runs) == 1
    await _until_billed(fleet, runs[0]["request_id"])
    assert await fleet.read_billed_costs() == {runs[0]["request_id"]: [10]}


async def test_silent_engine_mid_stream_is_resumed(fleet):
    await fleet.start_engine(
        "e1", "--output-tokens=60", "--token-interval-s=0.03"
    )
    await fleet.start_router("r1")
    async with fleet.chat("r1") as resp:
        first = await resp.content.readuntil(b"\n\n")
        await fleet.inject_faults("e1", silence_open_connections=True)
        text = first.decode() + await resp.text()
    _assert_stream_complete(text, 60)
    (run,) = (await _engine_runs(fleet, "e1")).values()
    assert run["starts"] == 1


async def test_engine_that_ignores_the_limit_is_cut_and_cancelled(fleet):
    await fleet.start_engine("e1", "--output-tokens=500")
    await fleet.inject_faults("e1", extra_tokens=400)
    await fleet.start_router("r1")
    async with fleet.chat("r1", max_tokens=10) as resp:
        _assert_stream_complete(await resp.text(), 10)

    async def cancelled() -> bool:
        (run,) = (await _engine_runs(fleet, "e1")).values()
        return run["state"] == "cancelled"

    await fleet.wait_until(cancelled)


async def test_sigterm_lets_an_open_stream_complete(fleet):
    await fleet.start_engine(
        "e1", "--output-tokens=60", "--token-interval-s=0.03"
    )
    router, _ = await asyncio.gather(
        fleet.start_router("r1"), fleet.start_router("r2")
    )
    async with fleet.chat("r1") as resp:
        first = await resp.content.readuntil(b"\n\n")
        stopping = asyncio.create_task(router.terminate())

        async def is_unready() -> bool:
            async with fleet.session.get(f"{router.url}/readyz") as probe:
                return probe.status == 503

        await fleet.wait_until(is_unready)
        async with fleet.chat("r1") as late:
            error = (await late.json())["error"]
        assert (error["code"], error["run"]) == ("shutting_down", "no")
        text = first.decode() + await resp.text()
    _assert_stream_complete(text, 60)
    assert await stopping == 0, fleet.logs()
    # The stopped router wrote all bills and no longer holds a grant.
    (costs,) = (await fleet.read_billed_costs()).values()
    assert len(costs) == 1
    grants = (await fleet.read_ledger()).grants.values()
    assert all(grant.holder.name == "r2" for grant in grants), grants


async def test_killed_router_does_not_lose_or_double_a_keyed_request(fleet):
    """Guards against losing, repeating or double-billing a keyed request.

    The router is killed in the middle of the stream, and the caller retries
    with the same idempotency key on another router.
    """
    await fleet.start_engine(
        "e1", "--output-tokens=60", "--token-interval-s=0.03"
    )
    budgets = {"orphan_window_s": 3, "flush_interval_s": 0.2}
    routers = await asyncio.gather(
        *(fleet.start_router(r, budgets=budgets) for r in ("r1", "r2", "r3"))
    )
    async with fleet.chat("r1", key="k") as resp:
        assert resp.status == 200, await resp.text()
        request_id = resp.headers["X-Request-Id"]
        await resp.content.readuntil(b"\n\n")
        routers[0].kill()
        with contextlib.suppress(aiohttp.ClientError):
            assert b"[DONE]" not in await resp.read()
    await fleet.remove_vm("r1")
    answers: list[str] = []

    async def completed() -> bool:
        async with fleet.chat("r2", key="k") as retry:
            text = await retry.text()
            if retry.status == 200 and "[DONE]" in text:
                answers.append(text)
                return True
            assert retry.headers["X-Run"] != "no", text
            return False

    await fleet.wait_until(completed)
    _assert_stream_complete(answers[0], 60)
    runs = await _engine_runs(fleet, "e1")
    assert list(runs) == [request_id]
    assert runs[request_id]["starts"] == 1
    await _until_billed(fleet, request_id)
    for _ in range(40):
        costs = (await fleet.read_billed_costs())[request_id]
        assert len(costs) == 1
        await asyncio.sleep(0.1)


async def test_order_of_a_killed_router_is_not_repeated(fleet):
    """Guards against running an order twice after its router was killed.

    The service ran the order, but the router died before it got the reply, so
    the outcome is unknown and a retry must not run it again.
    """
    await fleet.start_service("s1")
    await fleet.inject_faults("s1", lose_replies=1, lost_reply="hang")
    routers = await asyncio.gather(
        fleet.start_router("r1"), fleet.start_router("r2")
    )

    async def order(router: str) -> tuple[int, str]:
        async with fleet.post(router, _ORDER, {"n": 1}, key="k") as resp:
            return resp.status, resp.headers["X-Run"]

    async def has_run_once() -> bool:
        return len((await fleet.read_record("s1"))["runs"]) == 1

    first = asyncio.create_task(order("r1"))
    await fleet.wait_until(has_run_once)
    routers[0].kill()
    with contextlib.suppress(aiohttp.ClientError):
        await first
    for _ in range(3):
        assert await order("r2") == (409, "unknown")
    assert await has_run_once()
