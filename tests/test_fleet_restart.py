"""Guards a planned stop and a new start of the whole fleet with processes."""

import asyncio

import pytest_asyncio

from tests import process_fleet

_NAMES = ("r1", "r2", "r3")


@pytest_asyncio.fixture
async def fleet(tmp_path):
    async with process_fleet.running(tmp_path) as running:
        yield running


async def _complete(fleet, router: str, key: str) -> str:
    """Repeats a keyed request until it is answered with a stream."""
    texts = []

    async def answered() -> bool:
        async with fleet.chat(router, key=key) as resp:
            texts.append(await resp.text())
            return resp.status == 200

    await fleet.until(answered)
    return texts[-1]


async def test_stopped_fleet_exits_cleanly_and_knows_its_requests(fleet):
    """Fails if a router can't hand over, or a retry runs twice."""
    await fleet.start_engine("e1")
    routers = await asyncio.gather(*map(fleet.start_router, _NAMES))
    for name in _NAMES:
        assert "[DONE]" in await _complete(fleet, name, f"key-{name}")
    for router in routers:
        assert await router.terminate() == 0, fleet.logs()
    bills = await fleet.bills()
    assert [len(costs) for costs in bills.values()] == [1, 1, 1]
    await asyncio.gather(*map(fleet.start_router, _NAMES))
    assert "[DONE]" in await _complete(fleet, "r2", "key-r1")
    runs = (await fleet.record("e1"))["runs"]
    assert [run["starts"] for run in runs.values()] == [1, 1, 1]
    assert await fleet.bills() == bills
