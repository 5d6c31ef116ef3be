"""Tests that engines reach their desired states despite coordinator faults."""

import itertools

import pytest

from hibiscuspass.backends import engine
from hibiscuspass.core.placement import desired
from tests import coordinator_simulation

# Number of actions that a leader takes until all engines have their first
# desired state.
_MAX_ACTIONS = 40

_OLD = {
    f"e{n}": desired.DesiredState({"a": "1", "b": "1"}, ("x",))
    for n in range(3)
}
_NEW = {
    "e0": desired.DesiredState({"b": "2"}),
    "e1": desired.DesiredState({"a": "1"}, ("x", "y")),
    "e2": desired.DesiredState({"c": "1"}, role="prefill"),
}


def _assert_converged(
    simulation: coordinator_simulation.Simulation, plan
) -> None:
    for name, wanted in plan.items():
        assert wanted.matches(simulation.engines[name].state), name
        record = simulation.records()[name]
        assert record is not None
        assert record.desired == wanted


@pytest.mark.parametrize("checks_fence", [True, False])
@pytest.mark.parametrize("step", range(_MAX_ACTIONS))
def test_leader_paused_before_any_action_resumes_after_its_successor_led(
    step, checks_fence
):
    """Guards against a former leader that overwrites the new desired states.

    The leader pauses just before an action until its lease has expired and
    another process leads. Then it resumes and executes that action.
    """
    simulation = coordinator_simulation.Simulation(checks_fence)
    old = coordinator_simulation.SimulatedProcess(simulation, "old", _OLD)
    new = coordinator_simulation.SimulatedProcess(simulation, "new", _NEW)
    while old.actions < step:
        if (action := old.next_action()) is not None:
            old.execute_action(action)
        else:
            simulation.now_s += 0.25
    while (delayed_action := old.next_action()) is None:
        simulation.now_s += 0.25

    simulation.now_s += coordinator_simulation.LEASE_TTL_S + 1
    coordinator_simulation.run(simulation, [new], 30.0)
    _assert_converged(simulation, _NEW)
    first_fence = new.state_machine.fence

    old.execute_action(delayed_action)
    old.run_due_actions()
    coordinator_simulation.run(simulation, [new, old], 30.0)
    _assert_converged(simulation, _NEW)
    assert old.state_machine.fence is None
    assert new.state_machine.fence == first_fence


@pytest.mark.parametrize("checks_fence", [True, False])
def test_engine_that_ignores_tokens_is_corrected_after_a_stale_order(
    checks_fence,
):
    """Guards against wrong models on an engine that ignores fencing tokens.

    A delayed order of an earlier leader reaches the engine.
    """
    simulation = coordinator_simulation.Simulation(checks_fence)
    leader = coordinator_simulation.SimulatedProcess(simulation, "leader", _NEW)
    coordinator_simulation.run(simulation, [leader], 20.0)
    stale = engine.Order(0, 1, {"a": "1"}, (), "serve")
    refused = simulation.engines["e0"].apply(stale)
    assert (refused is not None) is checks_fence
    coordinator_simulation.run(simulation, [leader], 5.0)
    _assert_converged(simulation, _NEW)


def test_only_one_of_two_leads_and_the_other_takes_over():
    """Guards against two leaders at once and against none.

    The leader stops renewing its lease, as after a crash.
    """
    simulation = coordinator_simulation.Simulation(checks_fence=True)
    first = coordinator_simulation.SimulatedProcess(simulation, "first", _NEW)
    second = coordinator_simulation.SimulatedProcess(simulation, "second", _NEW)
    coordinator_simulation.run(simulation, [first, second], 20.0)
    fences = [p.state_machine.fence for p in (first, second)]
    assert sum(f is not None for f in fences) == 1
    leader, standby = (first, second) if fences[0] else (second, first)
    coordinator_simulation.run(
        simulation, [standby], 2.0 * coordinator_simulation.LEASE_TTL_S
    )
    assert standby.state_machine.fence is not None
    assert standby.state_machine.fence > leader.state_machine.fence


def test_lost_replies_do_not_lose_leadership_or_states():
    """Guards against mistaking an own write for that of another process.

    The write takes effect, but its reply is lost.
    """
    simulation = coordinator_simulation.Simulation(checks_fence=True)
    leader = coordinator_simulation.SimulatedProcess(simulation, "leader", _NEW)
    for _ in range(60):
        simulation.lose_replies = not simulation.lose_replies
        coordinator_simulation.run(simulation, [leader], 0.75)
    simulation.lose_replies = False
    coordinator_simulation.run(simulation, [leader], 20.0)
    _assert_converged(simulation, _NEW)


def test_outage_of_the_key_value_service_ends_the_term_and_recovers():
    """Guards against a leader that continues after its lease has expired."""
    simulation = coordinator_simulation.Simulation(checks_fence=True)
    leader = coordinator_simulation.SimulatedProcess(simulation, "leader", _OLD)
    coordinator_simulation.run(simulation, [leader], 20.0)
    simulation.is_kv_down = True
    coordinator_simulation.run(
        simulation, [leader], 3.0 * coordinator_simulation.LEASE_TTL_S
    )
    assert leader.state_machine.fence is None
    simulation.is_kv_down = False
    leader.state_machine.set_plan(_NEW)
    coordinator_simulation.run(simulation, [leader], 30.0)
    _assert_converged(simulation, _NEW)


def test_loads_respect_the_rate_of_the_weight_store_and_are_reserved_once():
    """Guards against overloading the weight store when many models change."""
    simulation = coordinator_simulation.Simulation(checks_fence=True)
    leader = coordinator_simulation.SimulatedProcess(simulation, "leader", _OLD)
    coordinator_simulation.run(simulation, [leader], 30.0)
    _assert_converged(simulation, _OLD)
    times = simulation.reservations
    assert len(times) == 6
    assert all(b - a >= 1.0 for a, b in itertools.pairwise(times))
    assert sum(e.loads for e in simulation.engines.values()) == 6


def test_records_of_backends_that_are_not_listed_are_removed():
    """Guards against records that accumulate as backend servers are removed."""
    simulation = coordinator_simulation.Simulation(checks_fence=True)
    leader = coordinator_simulation.SimulatedProcess(simulation, "leader", _OLD)
    coordinator_simulation.run(simulation, [leader], 30.0)
    leader.state_machine.set_plan({"e1": _OLD["e1"]})
    coordinator_simulation.run(simulation, [leader], 5.0)
    assert set(simulation.records()) == {"e1"}


def test_larger_token_on_an_engine_does_not_make_the_leader_spin():
    """Guards against a busy loop after the key-value service was restored.

    The restored service counts revisions from an earlier number, so an engine
    can have a larger fencing token than the leader.
    """
    simulation = coordinator_simulation.Simulation(checks_fence=True)
    simulation.engines["e0"].state = engine.EngineState(999, 1, {}, (), "serve")
    leader = coordinator_simulation.SimulatedProcess(simulation, "leader", _NEW)
    coordinator_simulation.run(simulation, [leader], 20.0)
    assert leader.actions < 400
    for name in ("e1", "e2"):
        assert _NEW[name].matches(simulation.engines[name].state)
