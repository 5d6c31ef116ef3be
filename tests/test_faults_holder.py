"""Tests budgets and billing while the holder of a grant is suspended."""

import asyncio
import itertools

import aiohttp
import attrs

from tests import process_fleet

_PREPAID = 6_000
_TOKENS = 20
_ROUTERS = ("r1", "r2", "r3")
# Upper bound of the load, far more than the budget covers.
_MAX_REQUESTS = 900
# Enough that the requests still run when the holder is suspended.
_LONG_TOKENS = 100


@attrs.define
class _Callers:
    """Sends completions and records the ids of those that completed.

    Attributes:
      fleet: Fleet that serves the completions.
      completed: Ids of the requests with complete streams.
      numbers: Numbers of the requests, which form their idempotency keys.
    """

    fleet: process_fleet.Fleet
    completed: list[str] = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)

    async def complete(
        self, router: str, *, keyed: bool, tokens: int = _TOKENS
    ) -> str:
        """Sends one completion; returns its error code, empty on success."""
        number = next(self.numbers)
        assert number < _MAX_REQUESTS, self.fleet.logs()
        async with self.fleet.chat(
            router, key=f"k{number}" if keyed else "", max_tokens=tokens
        ) as resp:
            text = await resp.text()
            if resp.status != 200:
                return (await resp.json())["error"]["code"]
        if text.rstrip().endswith("data: [DONE]"):
            self.completed.append(resp.headers["X-Request-Id"])
            return ""
        return "incomplete"

    async def complete_in_turn(
        self, routers: tuple[str, ...], count: int
    ) -> None:
        """Sends completions sequentially, half with an idempotency key."""
        for number in range(count):
            await self.complete(
                routers[number % len(routers)], keyed=number % 2 == 0
            )

    async def spend_all(self, routers: tuple[str, ...]) -> None:
        """Sends rounds of completions until the budget refuses a full round."""
        codes: set[str] = set()
        while codes != {"budget_exhausted"}:
            codes = set(
                await asyncio.gather(
                    *(self.complete(r, keyed=False) for r in routers)
                )
            )


async def _primary_holder(fleet: process_fleet.Fleet) -> str:
    ledger = await fleet.read_ledger()
    return ledger.grants[ledger.primary].holder.name if ledger.primary else ""


async def _assert_billed_once(
    fleet: process_fleet.Fleet, completed: list[str]
) -> None:
    """Stops the routers, so that they write all bills, and checks these."""
    for name in _ROUTERS:
        # The last router exits with 1, since no other router can take over its
        # primary grant.
        await fleet.programs[name].terminate()
        await fleet.remove_vm(name)
    bills = await fleet.read_billed_costs()
    assert len(set(completed)) == len(completed)
    assert set(completed) <= set(bills)
    assert {len(costs) for costs in bills.values()} == {1}, bills
    total = sum(cost for (cost,) in bills.values())
    assert total <= _PREPAID
    # The load was large enough that an overspend would have shown.
    assert total > _PREPAID / 2
    ledger = await fleet.read_ledger()
    assert total == ledger.settled + sum(
        g.settled for g in ledger.grants.values()
    )


async def _freeze_with_open_requests(
    callers: _Callers, frozen: str
) -> list[asyncio.Task[str]]:
    """Suspends a router while an engine runs requests of all routers.

    Returns:
      The tasks of the running requests.
    """
    fleet = callers.fleet
    open_requests = [
        asyncio.create_task(
            callers.complete(r, keyed=keyed, tokens=_LONG_TOKENS)
        )
        for r in _ROUTERS
        for keyed in (False, True)
    ]

    async def all_running() -> bool:
        runs = (await fleet.read_record("e1"))["runs"].values()
        return sum(run["state"] == "running" for run in runs) == len(
            open_requests
        )

    await fleet.wait_until(all_running)
    fleet.programs[frozen].freeze()
    return open_requests


async def test_frozen_holder_neither_overspends_nor_bills_twice(tmp_path):
    """Guards against overspending and double billing by a resumed holder.

    The holder is suspended and its grant is taken over. When it resumes, it
    still believes that it holds the grant. If it then issued permits or billing
    records in addition to those of its successor, the budget would be overspent
    or a request billed twice.
    """
    budgets = {"flush_interval_s": 0.2, "orphan_window_s": 1}
    async with process_fleet.run_fleet(tmp_path, prepaid=_PREPAID) as fleet:
        await fleet.start_engine(
            "e1", f"--output-tokens={_LONG_TOKENS}", "--token-interval-s=0.005"
        )
        await asyncio.gather(
            *(fleet.start_router(r, budgets=budgets) for r in _ROUTERS)
        )
        callers = _Callers(fleet)
        await callers.complete_in_turn(_ROUTERS, 12)
        assert len(callers.completed) == 12, fleet.logs()
        frozen = await _primary_holder(fleet)
        others = tuple(r for r in _ROUTERS if r != frozen)

        open_requests = await _freeze_with_open_requests(callers, frozen)

        async def served_by_the_successor() -> bool:
            codes = await asyncio.gather(
                *(callers.complete(r, keyed=True) for r in others)
            )
            return codes == [""] * len(others)

        await fleet.wait_until(served_by_the_successor)
        assert await _primary_holder(fleet) != frozen
        await callers.complete_in_turn(others, 10)
        fleet.programs[frozen].resume()
        await asyncio.gather(
            *(callers.complete_in_turn((r,), 10) for r in _ROUTERS)
        )
        for result in await asyncio.gather(
            *open_requests, return_exceptions=True
        ):
            assert isinstance(result, str | aiohttp.ClientError), result
        await callers.spend_all(_ROUTERS)
        await _assert_billed_once(fleet, callers.completed)
