"""Tests budgets and orders during faults of the key-value service."""

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
    """Sends an order; returns the status, the `X-Run` header and the body."""
    async with fleet.post(router, _ORDER, {"n": 1}, key=key) as resp:
        return resp.status, resp.headers["X-Run"], await resp.json()


async def _order_runs(fleet: process_fleet.Fleet) -> collections.Counter[str]:
    """Returns the number of runs per idempotency key."""
    runs = (await fleet.read_record("s1"))["runs"]
    return collections.Counter(run["idempotency_key"] for run in runs)


async def _remaining_lost_replies(fleet: process_fleet.Fleet) -> int:
    """Returns how many more replies the key-value service will lose."""
    url = f"{fleet.programs['kv'].control_url}/faults"
    async with fleet.session.get(url) as resp:
        return (await resp.json())["lose_replies"]


async def _until_settled(
    fleet: process_fleet.Fleet, request_ids: set[str]
) -> None:
    """Waits until the requests are billed and the ledger total matches."""

    async def settled() -> bool:
        bills = await fleet.read_billed_costs()
        assert all(len(costs) == 1 for costs in bills.values()), bills
        ledger = await fleet.read_ledger()
        total = ledger.settled + sum(g.settled for g in ledger.grants.values())
        billed = sum(cost for (cost,) in bills.values())
        return request_ids <= set(bills) and total == billed

    await fleet.wait_until(settled)


@pytest.mark.parametrize("outage", ["refuse", "hang"])
async def test_outage_leaves_completions_but_no_orders(tmp_path, outage):
    """Guards against lost bills and unclaimed orders during an outage.

    While the key-value service is down, completions must still run on grants
    that routers already hold, and their bills must be written afterwards. An
    order must not run, since its claim can't be written.
    """
    budgets = {"flush_interval_s": 0.2}
    async with process_fleet.run_fleet(tmp_path) as fleet:
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
        billed_before = await fleet.read_billed_costs()

        await fleet.inject_faults("kv", outage=outage)
        for number in range(_COMPLETIONS):
            for router in _ROUTERS:
                done.add(await _complete(fleet, router))
                key = f"{router}-{number}"
                done.add(await _complete(fleet, router, key=key))
        for router in _ROUTERS:
            status, run, answer = await _order(fleet, router, "k")
            assert (status, run) == (503, "unknown"), answer
        assert not await _order_runs(fleet)

        await fleet.inject_faults("kv", outage="")
        await _until_settled(fleet, done)
        assert set(await fleet.read_billed_costs()) == done
        assert len(done) == len(billed_before) + 4 * _COMPLETIONS

        async def order_runs() -> bool:
            return (await _order(fleet, "r2", "k"))[:2] == (200, "yes")

        await fleet.wait_until(order_runs)
        assert await _order_runs(fleet) == {"k": 1}


@pytest.mark.parametrize("lost_reply", ["close", "hang"])
@pytest.mark.parametrize("lost", [1, 3])
async def test_top_up_with_lost_replies_counts_once(tmp_path, lost_reply, lost):
    """Guards against counting a top-up twice.

    The write takes effect but its reply is lost, so the operator repeats the
    top-up with the same id.
    """
    async with process_fleet.run_fleet(tmp_path) as fleet:
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

        await fleet.inject_faults(
            "kv",
            lose_replies=lost,
            lost_reply=lost_reply,
            lose_path="/v3/kv/txn",
        )

        async def topped_up() -> bool:
            return await top_up() == 200

        await fleet.wait_until(topped_up)
        # After one lost reply, the next read shows that the write took effect.
        assert await _remaining_lost_replies(fleet) < lost
        # Repeating the top-up after its success adds nothing either.
        assert await top_up() == 200
        ledger = await fleet.read_ledger()
        assert ledger.prepaid == process_fleet.PREPAID + _TOP_UP
        assert ledger.top_ups["top-up-2"] == _TOP_UP


@pytest.mark.parametrize("lost_reply", ["close", "hang"])
@pytest.mark.parametrize("lost", [1, 3])
async def test_order_with_lost_replies_runs_once(tmp_path, lost_reply, lost):
    """Guards against running an order twice after a lost reply.

    The claim of the order was written, but the reply of the key-value service
    was lost.
    """
    async with process_fleet.run_fleet(tmp_path) as fleet:
        await fleet.start_service("s1")
        await asyncio.gather(*(fleet.start_router(r) for r in _ROUTERS))
        # Makes r1 obtain a grant first, so that the claim is its next write.
        assert (await _order(fleet, "r1", "before"))[0] == 200
        await fleet.inject_faults(
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

        await fleet.wait_until(answered)
        assert await _remaining_lost_replies(fleet) == 0
        for router in _ROUTERS:
            assert await _order(fleet, router, "k") == answers[-1]
        assert await _order_runs(fleet) == {"before": 1, "k": 1}
