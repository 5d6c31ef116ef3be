"""Guards the view of the fleet against message loss, partitions and stale data.

The runtimes run on a virtual clock. Their network delays and loses messages
with a seeded random generator, and links can be cut.
"""

import asyncio
from typing import Any

import pytest

from hibiscuspass.backends import vm_list
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.core.membership import neighbours
from tests import fleet_network
from tests import virtual_time

_STATE = fleet_view.MemberState
_NEW_WORK_BOUND_S = 3.0


def _run(size: int, scenario: Any, seed: int = 0) -> None:
    async def main() -> None:
        fleet = await fleet_network.Fleet(size, seed).start()
        await scenario(fleet)
        await fleet.close()

    virtual_time.run(main())


@pytest.mark.parametrize("size", [2, 6, 9, 60])
def test_all_routers_find_each_other(size):
    async def scenario(fleet: fleet_network.Fleet) -> None:
        await asyncio.sleep(5.0)
        for name in fleet.runtimes:
            states = {fleet.state(name, other) for other in fleet.runtimes}
            assert states == {_STATE.LIVE}

    _run(size, scenario)


@pytest.mark.parametrize("source", ["request path", "list"])
@pytest.mark.parametrize("size", [6, 9, 60])
def test_first_evidence_at_one_router_stops_new_work_everywhere(size, source):
    async def scenario(fleet: fleet_network.Fleet) -> None:
        if source == "list":
            fleet.set_list("r1", "e0", vm_list.VmState.LEAVING)
            await fleet.seconds_until_refused("e0", ("r1",))
        else:
            fleet.runtimes["r1"].report_backend("e0", True)
        assert await fleet.seconds_until_refused("e0") < 0.5
        assert fleet.accepts("r0", "e1")

    _run(size, scenario)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("size", [6, 9, 60])
def test_new_work_stops_within_the_bound_with_lost_messages(size, seed):
    """Guards against marks that never arrive because their push was lost."""

    async def scenario(fleet: fleet_network.Fleet) -> None:
        fleet.network.loss = 0.2
        fleet.runtimes["r1"].report_backend("e0", True)
        took_s = await fleet.seconds_until_refused("e0")
        assert took_s <= _NEW_WORK_BOUND_S

    _run(size, scenario, seed)


def test_new_work_stops_within_the_bound_along_a_chain_of_routers():
    """Guards against routers that do not pass on the marks they receive.

    Each router reaches only the one before and the one after it.
    """

    async def scenario(fleet: fleet_network.Fleet) -> None:
        names = sorted(fleet.runtimes)
        fleet.network.cut = {
            frozenset((a, b))
            for i, a in enumerate(names)
            for b in names[i + 2 :]
        }
        await asyncio.sleep(5.0)
        fleet.runtimes["r0"].report_backend("e0", True)
        took_s = await fleet.seconds_until_refused("e0")
        assert took_s <= _NEW_WORK_BOUND_S

    _run(6, scenario)


@pytest.mark.parametrize("size", [6, 60])
def test_old_marks_arrive_after_a_partition(size):
    """Guards against sending only marks that changed a short time ago."""

    async def scenario(fleet: fleet_network.Fleet) -> None:
        others = [n for n in fleet.runtimes if n != "r0"]
        fleet.network.cut = {frozenset(("r0", n)) for n in others}
        fleet.runtimes["r1"].report_backend("e0", True)
        await asyncio.sleep(40.0)
        assert fleet.accepts("r0", "e0")
        assert not fleet.accepts("r2", "e0")
        assert fleet.state("r0", "r1") is _STATE.SUSPECTED
        fleet.network.cut = set()
        assert await fleet.seconds_until_refused("e0") <= _NEW_WORK_BOUND_S

    _run(size, scenario)


def test_lagging_contrary_evidence_does_not_clear_a_mark():
    """Guards against new work because another router reads an old load report.

    One router keeps seeing that the backend is leaving, another one keeps
    seeing that it accepts work.
    """

    async def scenario(fleet: fleet_network.Fleet) -> None:
        for _ in range(60):
            fleet.runtimes["r1"].report_backend("e0", True)
            fleet.runtimes["r2"].report_backend("e0", False)
            await asyncio.sleep(1.0)
            assert not any(fleet.accepts(r, "e0") for r in fleet.runtimes)

    _run(6, scenario)


def test_lasting_contrary_evidence_clears_an_observed_mark():
    async def scenario(fleet: fleet_network.Fleet) -> None:
        fleet.runtimes["r1"].report_backend("e0", True)
        for _ in range(15):
            await asyncio.sleep(1.0)
            fleet.runtimes["r2"].report_backend("e0", False)
        assert all(fleet.accepts(r, "e0") for r in fleet.runtimes)

    _run(6, scenario)


def test_load_reports_do_not_clear_a_mark_of_the_vm_list():
    async def scenario(fleet: fleet_network.Fleet) -> None:
        for name in fleet.runtimes:
            fleet.set_list(name, "e0", vm_list.VmState.LEAVING)
        for _ in range(30):
            await asyncio.sleep(1.0)
            fleet.runtimes["r2"].report_backend("e0", False)
        assert not any(fleet.accepts(r, "e0") for r in fleet.runtimes)

    _run(6, scenario)


def test_refusing_service_is_tried_again_after_its_mark_expires():
    """Guards against a permanent mark: services send no load reports."""

    async def scenario(fleet: fleet_network.Fleet) -> None:
        fleet.runtimes["r1"].report_backend("s0", True)
        await asyncio.sleep(30.0)
        assert not fleet.accepts("r2", "s0")
        await asyncio.sleep(40.0)
        assert fleet.accepts("r2", "s0")

    _run(6, scenario)


def test_dropped_backend_gets_no_work_and_an_unreadable_list_changes_nothing():
    async def scenario(fleet: fleet_network.Fleet) -> None:
        fleet.lists["r0"].down = True
        del fleet.lists["r1"].vms["e0"]
        await asyncio.sleep(1.1)
        assert not fleet.accepts("r1", "e0")
        assert fleet.accepts("r0", "e0")
        await asyncio.sleep(5.0)
        names = [b.vm.name for b in fleet.runtimes["r1"].view().backends]
        assert names == ["e1", "s0"]

    _run(3, scenario)


@pytest.mark.parametrize("size", [6, 60])
def test_silent_router_is_suspected_everywhere_and_recovers(size):
    async def scenario(fleet: fleet_network.Fleet) -> None:
        others = [n for n in fleet.runtimes if n != "r0"]
        fleet.network.cut = {frozenset(("r0", n)) for n in others}
        await asyncio.sleep(20.0)
        states = {fleet.state(n, "r0") for n in others}
        assert states == {_STATE.SUSPECTED}
        assert {fleet.state(n, "r1") for n in others} == {_STATE.LIVE}
        fleet.network.cut = set()
        await asyncio.sleep(60.0)
        states = {fleet.state(n, "r0") for n in others}
        assert states == {_STATE.LIVE}

    _run(size, scenario)


@pytest.mark.parametrize("size", [6, 60])
def test_restart_under_the_same_name_makes_the_old_incarnation_gone(size):
    """Guards against treating an ended incarnation as running.

    A router that starts later learns that it is gone at the first contact.
    """

    async def scenario(fleet: fleet_network.Fleet) -> None:
        await fleet.kill("r0")
        await fleet.start_router("r0", "b")
        await asyncio.sleep(15.0)
        for name in fleet.runtimes:
            if name != "r0":
                assert fleet.state(name, "r0", "a") is _STATE.GONE
                assert fleet.state(name, "r0", "b") is _STATE.LIVE
        await fleet.start_router("r99")
        await asyncio.sleep(2.0)
        assert fleet.state("r99", "r0", "a") is _STATE.GONE

    _run(size, scenario)


def test_router_is_gone_only_when_the_platform_drops_it():
    """Guards against treating a silent router as gone; it may still run."""

    async def scenario(fleet: fleet_network.Fleet) -> None:
        await fleet.kill("r0")
        await asyncio.sleep(600.0)
        assert fleet.state("r1", "r0") is _STATE.SUSPECTED
        for vms in fleet.lists.values():
            vms.vms.pop("r0", None)
        await asyncio.sleep(3.0)
        assert fleet.state("r1", "r0") is _STATE.GONE

    _run(6, scenario)


def test_one_incomplete_read_of_the_list_does_not_make_a_router_gone():
    async def scenario(fleet: fleet_network.Fleet) -> None:
        vm = fleet.lists["r1"].vms.pop("r0")
        await asyncio.sleep(1.0)
        fleet.lists["r1"].vms["r0"] = vm
        await asyncio.sleep(5.0)
        assert fleet.state("r1", "r0") is _STATE.LIVE

    _run(3, scenario)


def test_planned_stop_is_pushed_at_once():
    async def scenario(fleet: fleet_network.Fleet) -> None:
        fleet.runtimes["r0"].set_leaving()
        await asyncio.sleep(0.1)
        others = [n for n in fleet.runtimes if n != "r0"]
        assert {fleet.state(n, "r0") for n in others} == {_STATE.LEAVING}

    _run(6, scenario)


def test_changes_emit_the_current_view_then_only_changed_ones():
    async def scenario(fleet: fleet_network.Fleet) -> None:
        seen: list[fleet_view.FleetView] = []
        fleet.runtimes["r0"].changes().subscribe(seen.append)
        assert seen == [fleet.runtimes["r0"].view()]
        await asyncio.sleep(10.0)
        assert len(seen) == 1
        fleet.runtimes["r0"].report_backend("e0", True)
        assert len(seen) == 2

    _run(3, scenario)


def test_heartbeats_per_round_are_bounded_in_a_large_fleet():
    async def scenario(fleet: fleet_network.Fleet) -> None:
        await asyncio.sleep(30.0)
        before = fleet.network.messages
        await asyncio.sleep(10.0)
        per_router_and_s = (fleet.network.messages - before) / 10.0 / 60
        # Three heartbeats, each a request and a reply.
        assert per_router_and_s <= 6.5

    _run(60, scenario)


def test_neighbours_connect_every_router_of_a_large_fleet():
    names = [f"r{n}" for n in range(390)]
    edges = {
        n: neighbours.ring_neighbours(n, [o for o in names if o != n], 9)
        for n in names
    }
    reached, steps = {"r0"}, 0
    while len(reached) < len(names):
        reached |= {peer for n in reached for peer in edges[n]}
        steps += 1
    assert steps <= 9
    assert max(len(e) for e in edges.values()) <= 9
