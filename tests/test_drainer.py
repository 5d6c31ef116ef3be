"""Tests that a planned stop of routers ends and keeps budget and billing."""

import attrs
import pytest

from hibiscuspass.core.budget import events
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import timing as timing_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from tests import budget_parts
from tests import budget_world


@pytest.mark.parametrize("routers", [2, 3])
def test_witness_stops_while_the_holder_stays(routers):
    """Guards against a witness that never finishes its stop.

    Without another router to replace it, a leaving witness would wait for its
    replacement forever.
    """
    world = budget_world.World(routers, prepaid=1000, auto=True)
    attempt = world.acquire(world.names()[0], 10, key="k")
    world.run_for(1.0)
    world.finish(attempt, 5)
    world.run_for(20.0)
    (grant,) = world.ledger().grants.values()
    assert grant.witness is not None
    world.drain(grant.witness)
    world.run_for(5.0)
    assert world.stopped == 1


def _stop_fleet(world):
    for count, router in enumerate(list(world.names()), start=1):
        world.drain(router)
        world.run_for(5.0)
        assert world.stopped == count


def _start_fleet(world):
    for router, _ in list(world.gone):
        world.known_gone.add(router)
        budget_world.World.restart(world, router)
    world.refresh_views()
    world.run_for(2.0)


def test_fleet_recognizes_retries_after_a_stop_and_a_start():
    """Guards against lost budget and repeated runs after a fleet restart.

    The last router has no successor. If its permit tables are not stored, its
    grants can't be taken over and retries of old requests run again.
    """
    world = budget_world.World(3, prepaid=1000, auto=True)
    world.restart = lambda router: None
    for router in world.names():
        attempt = world.acquire(router, 10, key=router.name)
        world.run_for(1.0)
        world.finish(attempt, 5)
    world.run_for(20.0)
    _stop_fleet(world)
    _start_fleet(world)
    retry = world.acquire(world.names()[0], 10, key="r00")
    world.run_for(10.0)
    outcome = world.outcomes[retry]
    assert isinstance(outcome, permit_lib.Attach), outcome
    assert outcome.settled
    rest = world.acquire(world.names()[1], 1000 - 15)
    world.run_for(10.0)
    assert isinstance(world.outcomes[rest], permit_lib.Permit)
    world.finish(rest, 100)
    world.run_for(20.0)
    world.check_billing()


def test_ledger_follows_all_bills_of_a_stopped_fleet():
    """Guards against a last router that stops before the ledger is up to date.

    A grant that is frozen before its latest billing batch is recorded leaves
    the ledger behind the billing log.
    """
    timing = attrs.evolve(
        budget_parts.default_timing(), record_interval_s=1000.0
    )
    world = budget_world.World(3, prepaid=1000, auto=True, timing=timing)
    world.restart = lambda router: None
    first, second, last = world.names()
    for router in (first, second, last):
        attempt = world.acquire(router, 10)
        world.run_for(1.0)
        world.finish(attempt, 5)
    world.run_for(20.0)
    world.drain(first)
    world.run_for(5.0)
    attempt = world.acquire(last, 10)
    world.run_for(0.2)
    world.finish(attempt, 5)
    for router in (second, last):
        world.drain(router)
        world.run_for(5.0)
    assert world.stopped == 3
    led = world.ledger()
    assert led.settled + sum(g.settled for g in led.grants.values()) == 20
    assert sum(r.cost for r in world.records()) == 20


def test_handed_over_grant_is_noticed_soon():
    """Guards against a slow stop.

    The old holder must notice the takeover of its grant soon, not at its next
    regular read of the ledger.
    """
    timing = attrs.evolve(budget_parts.default_timing(), ledger_poll_s=1000.0)
    world = budget_world.World(3, prepaid=1000, auto=True, timing=timing)
    attempt = world.acquire(world.names()[0], 10, key="k")
    world.run_for(1.0)
    world.finish(attempt, 5)
    world.run_for(20.0)
    (grant,) = world.ledger().grants.values()
    world.drain(grant.holder)
    world.run_for(2.0)
    assert world.stopped == 1


def test_standing_reserves_are_returned_at_a_stop():
    """Guards against a router that never finishes its stop.

    A standing reserve is kept while idle, so a stop must close it explicitly.
    """
    config = workspace_lib.Workspace(
        budget_world.WORKSPACE, reserve_per_failure_domain=50
    )
    world = budget_world.World(3, prepaid=1000, auto=True, config=config)
    world.restart = lambda router: None
    for router in world.names():
        world.handle(router, events.KeepReserves((budget_world.WORKSPACE,)))
    world.run_for(10.0)
    assert len(world.ledger().grants) == 3
    _stop_fleet(world)
    assert world.ledger().free == 1000


@pytest.mark.parametrize("entry_number", [0, 1, 2])
@pytest.mark.parametrize("lost", ["", "SettlePermit", "SettlementsDurable"])
def test_lost_settlement_message_does_not_exceed_the_stop(lost, entry_number):
    """A stop must end within its time although a message was lost.

    A router that drains for 5 s ended with an error once on a busy machine. Its
    settlement was repeated after 5 s.
    """
    world = budget_world.World(
        3, prepaid=1000, auto=True, timing=timing_lib.BudgetTiming()
    )
    entry = world.names()[entry_number]
    attempt = world.acquire(entry, 10, key="k")
    world.run_for(1.0)
    send, dropped = world._send, []

    def send_lossy(item):
        if type(item.msg).__name__ == lost and not dropped:
            dropped.append(item)
        else:
            send(item)

    world._send = send_lossy
    world.finish(attempt, 5)
    world.drain(entry)
    world.run_for(4.9)
    assert world.stopped == 1
    world.run_for(20.0)
    world.check_billing()
