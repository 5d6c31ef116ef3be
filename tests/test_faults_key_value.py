"""Guards budgets and orders while the key-value service fails."""

import asyncio
import collections
from typing import Any

import pytest

from tests import process_fleet

_ORDER = "/services/orders/orders"
_ROUTERS = ("r1", "r2")
_TOKENS = 20
_COMPLETIONS = 10
_TOP_UP = 5_000


async def _complete(
    fleet: process_fleet.Fleet, router: str, *, key: str = ""
) -> str:
    """Sends a completion that must succeed; returns its request id."""
    async with fleet.chat(router, key=key, max_tokens=_TOKENS) as resp:
        text = await resp.text()
    assert resp.status == 200, text
    assert text.rstrip().endswith("data: [DONE]"), text
    return resp.headers["X-Request-Id"]


async def _order(
    fleet: process_fleet.Fleet, router: str, key: str
) -> tuple[int, str, Any]:
    """Sends an order; returns status, `X-Run` and the answer."""
    async with fleet.post(router, _ORDER, {"n": 1}, key=key) as resp:
        return resp.status, resp.headers["X-Run"], await resp.json()


async def _order_runs(fleet: process_fleet.Fleet) -> collections.Counter[str]:
    """Returns the number of runs by idempotency key."""
    runs = (await fleet.record("s1"))["runs"]
    return collections.Counter(run["idempotency_key"] for run in runs)


async def _lost_replies_left(fleet: process_fleet.Fleet) -> int:
    """Returns how many replies the service is still to lose."""
    url = f"{fleet.programs['kv'].control_url}/faults"
    async with fleet.session.get(url) as resp:
        return (await resp.json())["lose_replies"]


async def _until_settled(
    fleet: process_fleet.Fleet, request_ids: set[str]
) -> None:
    """Waits until the requests are billed and the ledger agrees."""

    async def settled() -> bool:
        bills = await fleet.bills()
        assert all(len(costs) == 1 for costs in bills.values()), bills
        led = await fleet.ledger()
        total = led.settled + sum(g.settled for g in led.grants.values())
        billed = sum(cost for (cost,) in bills.values())
        return request_ids <= set(bills) and total == billed

    await fleet.until(settled)


@pytest.mark.parametrize("outage", ["refuse", "hang"])
async def test_outage_leaves_completions_but_no_orders(tmp_path, outage):
    """Guards work during an outage of the key-value service.

    Completions that held grants cover must go on, an order must not run
    without its claim, and no bill of the outage may get lost.
    """
    budgets = {"flush_interval_s": 0.2}
    async with process_fleet.running(tmp_path) as fleet:
        await fleet.start_engine(
            "e1", f"--output-tokens={_TOKENS}", "--token-interval-s=0.005"
        )
        await fleet.start_service("s1")
        await asyncio.gather(
            *(fleet.start_router(r, budgets=budgets) for r in _ROUTERS)
        )
        done = {
            await _complete(fleet, router, key=key)
            for router in _ROUTERS
            for key in ("", f"before-{router}")
        }
        await _until_settled(fleet, done)
        billed_before = await fleet.bills()

        await fleet.fault("kv", outage=outage)
        for number in range(_COMPLETIONS):
            for router in _ROUTERS:
                done.add(await _complete(fleet, router))
                key = f"{router}-{number}"
                done.add(await _complete(fleet, router, key=key))
        for router in _ROUTERS:
            status, run, answer = await _order(fleet, router, "k")
            assert (status, run) == (503, "unknown"), answer
        assert not await _order_runs(fleet)

        await fleet.fault("kv", outage="")
        await _until_settled(fleet, done)
        assert set(await fleet.bills()) == done
        assert len(done) == len(billed_before) + 4 * _COMPLETIONS

        async def order_runs() -> bool:
            return (await _order(fleet, "r2", "k"))[:2] == (200, "yes")

        await fleet.until(order_runs)
        assert await _order_runs(fleet) == {"k": 1}


@pytest.mark.parametrize("lost_reply", ["close", "hang"])
@pytest.mark.parametrize("lost", [1, 3])
async def test_top_up_with_lost_replies_counts_once(tmp_path, lost_reply, lost):
    """Guards a top-up that the operator repeats after its reply was lost."""
    async with process_fleet.running(tmp_path) as fleet:
        token = await fleet.start_admin("a1")
        url = f"{fleet.programs['a1'].url}/v1/workspaces/ws/top-ups"

        async def top_up() -> int:
            async with fleet.session.post(
                url,
                json={"id": "top-up-2", "amount": _TOP_UP},
                headers={"Authorization": f"Bearer {token}"},
            ) as resp:
                body = await resp.json()
            if resp.status != 200:
                assert body["error"]["changed"] != "no", body
            return resp.status

        await fleet.fault(
            "kv",
            lose_replies=lost,
            lost_reply=lost_reply,
            lose_path="/v3/kv/txn",
        )

        async def topped_up() -> bool:
            return await top_up() == 200

        await fleet.until(topped_up)
        # One lost reply is enough: the next read shows that the write counts.
        assert await _lost_replies_left(fleet) < lost
        # A repetition long after the success adds nothing either.
        assert await top_up() == 200
        led = await fleet.ledger()
        assert led.prepaid == process_fleet.PREPAID + _TOP_UP
        assert led.top_ups["top-up-2"] == _TOP_UP


@pytest.mark.parametrize("lost_reply", ["close", "hang"])
@pytest.mark.parametrize("lost", [1, 3])
async def test_order_with_lost_replies_runs_once(tmp_path, lost_reply, lost):
    """Guards an order whose claim was written although the reply was lost."""
    async with process_fleet.running(tmp_path) as fleet:
        await fleet.start_service("s1")
        await asyncio.gather(*(fleet.start_router(r) for r in _ROUTERS))
        # Its permits are drawn, so that the claim is the next write.
        assert (await _order(fleet, "r1", "before"))[0] == 200
        await fleet.fault(
            "kv",
            lose_replies=lost,
            lost_reply=lost_reply,
            lose_path="/v3/kv/txn",
        )
        answers = []

        async def answered() -> bool:
            router = _ROUTERS[len(answers) % len(_ROUTERS)]
            answers.append(await _order(fleet, router, "k"))
            status, run, _ = answers[-1]
            if status != 200:
                assert run == "unknown", answers
            return status == 200

        await fleet.until(answered)
        assert await _lost_replies_left(fleet) == 0
        for router in _ROUTERS:
            assert await _order(fleet, router, "k") == answers[-1]
        assert await _order_runs(fleet) == {"before": 1, "k": 1}
