"""Tests the budget runtime by the calls of the request path and operators."""

import asyncio
import itertools

import attrs
import pytest
import pytest_asyncio

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import timing as timing_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.router import budget_operations
from hibiscuspass.router import budget_runtime
from hibiscuspass.telemetry import recorder as recorder_lib
from tests import assertions
from tests import budget_runtime_fakes

_TIMING = timing_lib.BudgetTiming(
    flush_interval_s=0.01,
    append_retry_s=0.01,
    kv_backoff_s=0.01,
    report_retry_s=0.05,
    status_check_interval_s=0.05,
    takeover_delay_s=0.02,
    recall_wait_s=0.02,
)
_COST_KIND = permit_lib.CostKind.REPORTED
# Ends a test that hangs; no assertion depends on it.
_TIMEOUT_S = 20.0
_State = fleet_view.MemberState


@attrs.define
class Fleet:
    """Three budget runtimes that share a key-value service."""

    kv: budget_runtime_fakes.MemoryKv
    links: budget_runtime_fakes.MemoryLinks
    source: budget_runtime_fakes.MemoryFleet
    runtimes: dict[incarnation.Incarnation, budget_runtime.BudgetRuntime]
    attempts: itertools.count = attrs.field(factory=itertools.count)

    def set_states(self, **states):
        self.source.set(
            fleet_view.FleetView(
                tuple(
                    fleet_view.RouterMember(
                        r,
                        r.name,
                        f"d-{r.name}",
                        "x",
                        states.get(r.name, _State.LIVE),
                    )
                    for r in self.runtimes
                )
            )
        )

    def runtime(self, index):
        return list(self.runtimes.values())[index]

    def ledger(self):
        return ledger_codec.decode(self.kv.data["ledger/w"].value)

    def records(self):
        return [
            r
            for k, v in self.kv.data.items()
            if k.startswith("bills/")
            for r in billing_batch.decode(v.value).records
        ]

    async def acquire(self, index, worst_case=10, key=""):
        attempt = f"a{next(self.attempts)}"
        req = permit_lib.PermitRequest(
            key or attempt, attempt, "w", worst_case, bool(key), "m"
        )
        return await asyncio.wait_for(
            self.runtime(index).acquire(req, timeout_s=_TIMEOUT_S),
            _TIMEOUT_S,
        )

    async def wait_until(self, condition):
        async with asyncio.timeout(_TIMEOUT_S):
            while not condition():
                self.kv.changed.clear()
                await self.kv.changed.wait()


@pytest_asyncio.fixture
async def fleet():
    kv = budget_runtime_fakes.MemoryKv()
    links = budget_runtime_fakes.MemoryLinks()
    source = budget_runtime_fakes.MemoryFleet()
    config = budget_runtime_fakes.OneWorkspace(workspace_lib.Workspace("w"))
    routers = [incarnation.Incarnation(f"r{i}", "s") for i in range(3)]
    runtimes = {
        r: budget_runtime.make_budget_runtime(
            r,
            kv=kv,
            transport=budget_runtime_fakes.MemoryTransport(links, r),
            fleet=source,
            config=config,
            recorder=recorder_lib.Recorder(r),
            timing=_TIMING,
        )
        for r in routers
    }
    new = Fleet(kv, links, source, runtimes)
    await budget_operations.top_up(kv, "w", "t1", 100, timeout_s=1)
    for runtime in runtimes.values():
        runtime.start()
    new.set_states()
    yield new
    for runtime in runtimes.values():
        await runtime.close()


async def test_settled_requests_are_billed_once(fleet):
    permits = [await fleet.acquire(i) for i in range(3)]
    for i, permit in enumerate(permits):
        fleet.runtime(i).mark_used(permit, "b")
        fleet.runtime(i).settle(permit, 4, _COST_KIND)
    await fleet.wait_until(lambda: len(fleet.records()) == 3)
    assert [r.cost for r in fleet.records()] == [4, 4, 4]


async def test_request_beyond_the_budget_is_refused_as_not_run(fleet):
    outcome = await fleet.acquire(0, worst_case=101)
    assertions.assert_refused(outcome, reason_lib.Reason.BUDGET_EXHAUSTED)


async def test_cancelled_acquire_holds_nothing(fleet):
    """Guards against budget that stays held for a disconnected caller."""
    fleet.kv.up = False
    waiting = asyncio.ensure_future(fleet.acquire(0, worst_case=100))
    await asyncio.sleep(0)
    waiting.cancel()
    fleet.kv.up = True
    with pytest.raises(asyncio.CancelledError):
        await waiting

    async def whole_budget():
        return await fleet.acquire(1, worst_case=100)

    outcome = await whole_budget()
    while not isinstance(outcome, permit_lib.Permit):
        outcome = await whole_budget()


async def test_draw_survives_a_lost_reply(fleet):
    """Guards against a second draw after a write whose reply was lost."""
    fleet.kv.lose_replies = 1
    assert isinstance(await fleet.acquire(0), permit_lib.Permit)
    assert len(fleet.ledger().grants) == 1


async def test_retry_of_a_keyed_request_attaches(fleet):
    first = await fleet.acquire(0, key="k")
    fleet.runtime(0).mark_used(first, "b")
    second = await fleet.acquire(1, key="k")
    assert second == permit_lib.Attach("k", "b", settled=False) or (
        # The holder may not have received the backend's name yet.
        second == permit_lib.Attach("k", "", settled=False)
    )


async def test_drain_hands_over_open_permits_and_the_primary_grant(fleet):
    """Guards against grants that a stopped router still holds."""
    keyed = await fleet.acquire(0, key="k")
    (grant,) = fleet.ledger().grants.values()
    index = list(fleet.runtimes).index(grant.holder)
    other = (index + 1) % 3
    permit = await fleet.acquire(other)
    fleet.runtime(0).settle(keyed, 1, _COST_KIND)
    fleet.set_states(**{grant.holder.name: _State.LEAVING})
    assert await fleet.runtime(index).drain(timeout_s=_TIMEOUT_S)
    assert all(
        g.holder != grant.holder and g.witness != grant.holder
        for g in fleet.ledger().grants.values()
    )
    fleet.links.down.add(grant.holder.name)
    fleet.set_states(**{grant.holder.name: _State.GONE})
    again = await fleet.acquire(other, key="k")
    assert isinstance(again, permit_lib.Attach)
    fleet.runtime(other).settle(permit, 2, _COST_KIND)
    await fleet.wait_until(lambda: len(fleet.records()) == 2)


async def test_grant_of_a_killed_holder_is_taken_over(fleet):
    """Guards against budget that is lost when its holder crashes."""
    await fleet.acquire(0, key="k")
    (grant,) = fleet.ledger().grants.values()
    survivor = next(
        i for i, r in enumerate(fleet.runtimes) if r != grant.holder
    )
    permit = await fleet.acquire(survivor)
    await fleet.runtimes[grant.holder].close()
    fleet.links.down.add(grant.holder.name)
    fleet.set_states(**{grant.holder.name: _State.GONE})
    fleet.runtime(survivor).settle(permit, 7, _COST_KIND)
    await fleet.wait_until(lambda: any(r.cost == 7 for r in fleet.records()))
    assert fleet.ledger().grants[grant.id].holder != grant.holder


async def test_report_narrows_the_spend_by_live_state(fleet):
    permit = await fleet.acquire(0, worst_case=10)
    fleet.runtime(0).settle(permit, 3, _COST_KIND)
    await fleet.acquire(1, worst_case=5)
    report = await fleet.runtime(2).report("w")
    assert isinstance(report, messages.Report)
    assert report.known
    assert report.prepaid == 100
    assert report.spent_at_least == 3
    assert report.spent_at_most == 8
    assert report.in_doubt == 0
    assert sum(g.open_permits for g in report.grants) == 1


async def test_operator_charge_resolves_a_grant_in_doubt(fleet):
    await fleet.acquire(0)
    (grant,) = fleet.ledger().grants.values()
    lost = {grant.holder, grant.witness}
    for r in lost:
        await fleet.runtimes[r].close()
        fleet.links.down.add(r.name)
    fleet.set_states(**{r.name: _State.GONE for r in lost})
    survivor = next(i for i, r in enumerate(fleet.runtimes) if r not in lost)
    report = await fleet.runtime(survivor).report("w")
    assert report.in_doubt == grant.amount
    ledger = await budget_operations.charge_in_doubt(
        fleet.kv, "w", grant.id, grant.operation, 10, timeout_s=1
    )
    assert ledger.settled == 10
    assert not ledger.grants
    assert [r.cost for r in fleet.records()] == [10]


async def test_top_up_with_a_lost_reply_counts_once(fleet):
    fleet.kv.lose_replies = 1
    ledger = await budget_operations.top_up(
        fleet.kv, "w", "t2", 50, timeout_s=1
    )
    assert ledger.prepaid == 150
