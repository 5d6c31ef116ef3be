"""Guards budgets and billing while a grant's holder is paused."""

import asyncio
import itertools

import aiohttp
import attrs

from tests import process_fleet

_PREPAID = 6_000
_TOKENS = 20
_ROUTERS = ("r1", "r2", "r3")
# Bounds the load; far more than the budget covers.
_MAX_REQUESTS = 900
# Long enough that the request is still running when the holder stops.
_LONG_TOKENS = 100


@attrs.define
class _Callers:
    """Sends completions and keeps the ids of the complete ones."""

    fleet: process_fleet.Fleet
    completed: list[str] = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)

    async def ask(
        self, router: str, *, keyed: bool, tokens: int = _TOKENS
    ) -> str:
        """Sends one completion; returns its error code, or nothing."""
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

    async def ask_in_turn(self, routers: tuple[str, ...], count: int) -> None:
        """Sends completions one after the other, half of them keyed."""
        for number in range(count):
            await self.ask(
                routers[number % len(routers)], keyed=number % 2 == 0
            )

    async def spend_all(self, routers: tuple[str, ...]) -> None:
        """Sends completions until the budget refuses all of a round."""
        codes: set[str] = set()
        while codes != {"budget_exhausted"}:
            codes = set(
                await asyncio.gather(
                    *(self.ask(r, keyed=False) for r in routers)
                )
            )


async def _primary_holder(fleet: process_fleet.Fleet) -> str:
    led = await fleet.ledger()
    return led.grants[led.primary].holder.name if led.primary else ""


async def _assert_billed_once(
    fleet: process_fleet.Fleet, completed: list[str]
) -> None:
    """Stops the routers, so that all bills are written, and checks them."""
    for name in _ROUTERS:
        # The last router exits with 1: no other takes its primary grant.
        await fleet.programs[name].terminate()
        await fleet.drop_vm(name)
    bills = await fleet.bills()
    assert len(set(completed)) == len(completed)
    assert set(completed) <= set(bills)
    assert {len(costs) for costs in bills.values()} == {1}, bills
    total = sum(cost for (cost,) in bills.values())
    assert total <= _PREPAID
    # The load was large enough to overspend the budget.
    assert total > _PREPAID / 2
    led = await fleet.ledger()
    assert total == led.settled + sum(g.settled for g in led.grants.values())


async def _freeze_with_open_requests(
    callers: _Callers, frozen: str
) -> list[asyncio.Task[str]]:
    """Freezes a router while an engine runs requests of all routers."""
    fleet = callers.fleet
    caught = [
        asyncio.create_task(callers.ask(r, keyed=keyed, tokens=_LONG_TOKENS))
        for r in _ROUTERS
        for keyed in (False, True)
    ]

    async def all_run() -> bool:
        runs = (await fleet.record("e1"))["runs"].values()
        return sum(run["state"] == "running" for run in runs) == len(caught)

    await fleet.until(all_run)
    fleet.programs[frozen].freeze()
    return caught


async def test_frozen_holder_neither_overspends_nor_bills_twice(tmp_path):
    """Guards a holder that is paused, taken over, and then wakes up.

    The woken holder still believes that it holds the grant. A permit or a
    billing record issued by it besides those of its successor would overspend
    the budget or bill a request twice.
    """
    budgets = {"flush_interval_s": 0.2, "orphan_window_s": 1}
    async with process_fleet.running(tmp_path, prepaid=_PREPAID) as fleet:
        await fleet.start_engine(
            "e1", f"--output-tokens={_LONG_TOKENS}", "--token-interval-s=0.005"
        )
        await asyncio.gather(
            *(fleet.start_router(r, budgets=budgets) for r in _ROUTERS)
        )
        callers = _Callers(fleet)
        await callers.ask_in_turn(_ROUTERS, 12)
        assert len(callers.completed) == 12, fleet.logs()
        frozen = await _primary_holder(fleet)
        others = tuple(r for r in _ROUTERS if r != frozen)

        caught = await _freeze_with_open_requests(callers, frozen)

        async def served_by_the_successor() -> bool:
            codes = await asyncio.gather(
                *(callers.ask(r, keyed=True) for r in others)
            )
            return codes == [""] * len(others)

        await fleet.until(served_by_the_successor)
        assert await _primary_holder(fleet) != frozen
        await callers.ask_in_turn(others, 10)
        fleet.programs[frozen].wake()
        await asyncio.gather(*(callers.ask_in_turn((r,), 10) for r in _ROUTERS))
        for result in await asyncio.gather(*caught, return_exceptions=True):
            assert isinstance(result, str | aiohttp.ClientError), result
        await callers.spend_all(_ROUTERS)
        await _assert_billed_once(fleet, callers.completed)
