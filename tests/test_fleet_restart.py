"""Tests a planned stop and restart of all routers as processes."""

import asyncio

import pytest_asyncio

from tests import process_fleet

_NAMES = ("r1", "r2", "r3")


@pytest_asyncio.fixture
async def fleet(tmp_path):
    async with process_fleet.run_fleet(tmp_path) as running:
        yield running


async def _complete_with_retries(fleet, router: str, key: str) -> str:
    """Repeats a request with an idempotency key until its status is 200.

    Returns:
      The text of the stream.
    """
    texts = []

    async def answered() -> bool:
        async with fleet.chat(router, key=key) as resp:
            texts.append(await resp.text())
            return resp.status == 200

    await fleet.wait_until(answered)
    return texts[-1]


async def test_stopped_fleet_exits_cleanly_and_knows_its_requests(fleet):
    """Guards against an unclean shutdown and against repeated requests.

    Each router must be able to hand over or close its grants and exit with 0.
    A retry after the restart must return the earlier result instead of running
    and billing the request again.
    """
    await fleet.start_engine("e1")
    routers = await asyncio.gather(*map(fleet.start_router, _NAMES))
    for name in _NAMES:
        assert "[DONE]" in await _complete_with_retries(
            fleet, name, f"key-{name}"
        )
    for router in routers:
        assert await router.terminate() == 0, fleet.logs()
    bills = await fleet.read_billed_costs()
    assert [len(costs) for costs in bills.values()] == [1, 1, 1]
    await asyncio.gather(*map(fleet.start_router, _NAMES))
    assert "[DONE]" in await _complete_with_retries(fleet, "r2", "key-r1")
    runs = (await fleet.read_record("e1"))["runs"]
    assert [run["starts"] for run in runs.values()] == [1, 1, 1]
    assert await fleet.read_billed_costs() == bills
