"""Guards planned stops against waiting for what can't happen."""

import pytest

from tests import budget_world


@pytest.mark.parametrize("routers", [2, 3])
def test_witness_stops_while_the_holder_stays(routers):
    """Fails if the last possible witness waits for its replacement."""
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


def test_last_router_of_a_stopping_fleet_strands_no_budget():
    """Fails if a fleet that is shut down leaves unspent units in a grant.

    The primary grant itself stays open without a successor, because its table
    recognizes retries.
    """
    world = budget_world.World(3, prepaid=1000, auto=True)
    world.restart = lambda router: None
    for router in world.names():
        attempt = world.acquire(router, 10)
        world.run_for(1.0)
        world.finish(attempt, 5)
    for router in list(world.names()):
        world.drain(router)
        world.run_for(5.0)
    assert world.stopped >= 2
    led = world.ledger()
    assert sum(g.settled for g in led.grants.values()) + led.settled == 15
    assert led.free == 1000 - 15
