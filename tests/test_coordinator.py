"""Guards the final state of engines against paused and lost coordinators."""

import itertools

import pytest

from hibiscuspass.backends import engine
from hibiscuspass.core.placement import desired
from tests import coordinator_world

# Steps that a leader takes until all engines have their first state.
_MAX_STEPS = 40

_OLD = {
    f"e{n}": desired.DesiredState({"a": "1", "b": "1"}, ("x",))
    for n in range(3)
}
_NEW = {
    "e0": desired.DesiredState({"b": "2"}),
    "e1": desired.DesiredState({"a": "1"}, ("x", "y")),
    "e2": desired.DesiredState({"c": "1"}, role="prefill"),
}


def _assert_converged(world: coordinator_world.World, plan) -> None:
    for name, wanted in plan.items():
        assert wanted.matches(world.engines[name].state), name
        record = world.records()[name]
        assert record is not None
        assert record.desired == wanted


@pytest.mark.parametrize("checks_fence", [True, False])
@pytest.mark.parametrize("step", range(_MAX_STEPS))
def test_holder_paused_at_each_step_and_woken_after_its_successor(
    step, checks_fence
):
    world = coordinator_world.World(checks_fence)
    old = coordinator_world.Process(world, "old", _OLD)
    new = coordinator_world.Process(world, "new", _NEW)
    while old.actions < step:
        if (action := old.take()) is not None:
            old.finish(action)
        else:
            world.now_s += 0.25
    while (held := old.take()) is None:
        world.now_s += 0.25

    world.now_s += coordinator_world.TTL_S + 1
    coordinator_world.run(world, [new], 30.0)
    _assert_converged(world, _NEW)
    first_fence = new.machine.fence

    # The old holder wakes and carries out what it had decided on.
    old.finish(held)
    old.run_now()
    coordinator_world.run(world, [new, old], 30.0)
    _assert_converged(world, _NEW)
    assert old.machine.fence is None
    assert new.machine.fence == first_fence


@pytest.mark.parametrize("checks_fence", [True, False])
def test_engine_that_ignores_tokens_is_corrected_after_a_stale_order(
    checks_fence,
):
    world = coordinator_world.World(checks_fence)
    leader = coordinator_world.Process(world, "leader", _NEW)
    coordinator_world.run(world, [leader], 20.0)
    stale = engine.Order(0, 1, {"a": "1"}, (), "serve")
    refused = world.engines["e0"].apply(stale)
    assert (refused is not None) is checks_fence
    coordinator_world.run(world, [leader], 5.0)
    _assert_converged(world, _NEW)


def test_only_one_of_two_leads_and_the_other_takes_over():
    world = coordinator_world.World(checks_fence=True)
    first = coordinator_world.Process(world, "first", _NEW)
    second = coordinator_world.Process(world, "second", _NEW)
    coordinator_world.run(world, [first, second], 20.0)
    fences = [p.machine.fence for p in (first, second)]
    assert sum(f is not None for f in fences) == 1
    led, waits = (first, second) if fences[0] else (second, first)
    coordinator_world.run(world, [waits], 2.0 * coordinator_world.TTL_S)
    assert waits.machine.fence is not None
    assert waits.machine.fence > led.machine.fence


def test_lost_replies_do_not_lose_leadership_or_states():
    """Guards against taking an own write for another process's."""
    world = coordinator_world.World(checks_fence=True)
    leader = coordinator_world.Process(world, "leader", _NEW)
    for _ in range(60):
        world.lose_replies = not world.lose_replies
        coordinator_world.run(world, [leader], 0.75)
    world.lose_replies = False
    coordinator_world.run(world, [leader], 20.0)
    _assert_converged(world, _NEW)


def test_outage_of_the_key_value_service_ends_the_term_and_recovers():
    world = coordinator_world.World(checks_fence=True)
    leader = coordinator_world.Process(world, "leader", _OLD)
    coordinator_world.run(world, [leader], 20.0)
    world.down = True
    coordinator_world.run(world, [leader], 3.0 * coordinator_world.TTL_S)
    assert leader.machine.fence is None
    world.down = False
    leader.machine.set_plan(_NEW)
    coordinator_world.run(world, [leader], 30.0)
    _assert_converged(world, _NEW)


def test_loads_respect_the_rate_of_the_weight_store_and_are_asked_for_once():
    world = coordinator_world.World(checks_fence=True)
    leader = coordinator_world.Process(world, "leader", _OLD)
    coordinator_world.run(world, [leader], 30.0)
    _assert_converged(world, _OLD)
    times = world.reservations
    assert len(times) == 6
    assert all(b - a >= 1.0 for a, b in itertools.pairwise(times))
    assert sum(e.loads for e in world.engines.values()) == 6


def test_records_of_backends_that_are_not_listed_are_removed():
    world = coordinator_world.World(checks_fence=True)
    leader = coordinator_world.Process(world, "leader", _OLD)
    coordinator_world.run(world, [leader], 30.0)
    leader.machine.set_plan({"e1": _OLD["e1"]})
    coordinator_world.run(world, [leader], 5.0)
    assert set(world.records()) == {"e1"}


def test_larger_token_on_an_engine_does_not_make_the_leader_spin():
    """Guards against a busy loop after a restored key-value service."""
    world = coordinator_world.World(checks_fence=True)
    world.engines["e0"].state = engine.EngineState(999, 1, {}, (), "serve")
    leader = coordinator_world.Process(world, "leader", _NEW)
    coordinator_world.run(world, [leader], 20.0)
    assert leader.actions < 400
    for name in ("e1", "e2"):
        assert _NEW[name].matches(world.engines[name].state)
