"""Tests with random scenarios that accepted changes are served under faults."""

import hypothesis
from hypothesis import strategies as st
import pytest

from tests import config_simulation
from tests import virtual_loop

_SLOTS = st.integers(0, 2)
_WORKSPACES = st.sampled_from(config_simulation.WORKSPACES)
_WAITS = st.sampled_from([0.0, 0.0, 0.6, 3.0])
_DELAYS = st.sampled_from([0.0, 0.4, 2.5])


def _starts(slots):
    return st.tuples(st.just("start"), slots, st.booleans(), st.booleans())


def _faults(slots):
    return st.one_of(
        st.tuples(
            st.just("link"), slots, st.booleans(), st.booleans(), _DELAYS
        ),
        st.tuples(
            st.just("link"), slots, st.just(True), st.just(False), _DELAYS
        ),
        st.tuples(st.just("lose_watch"), slots, st.booleans()),
        st.tuples(st.just("cut"), slots, st.integers(0, 3)),
        st.tuples(st.just("isolate"), slots),
        st.just(("outage",)),
    )


def _others(slots):
    return st.one_of(
        _starts(slots),
        st.tuples(st.just("use"), slots, _WORKSPACES),
        st.tuples(st.just("wait"), _WAITS),
        st.tuples(st.just("stop"), slots),
        st.just(("gossip",)),
        st.just(("update_vm_list",)),
        st.just(("heal",)),
    )


@st.composite
def _episodes(draw):
    """Draws a change of a workspace that a faulty router has used.

    Independently drawn steps would rarely contain an accepted change that
    concerns a router with a fault.
    """
    slot = draw(_SLOTS)
    workspace = draw(_WORKSPACES)
    steps = [("use", draw(_SLOTS), workspace)]
    first_use = draw(st.sampled_from(["in_outage", "begin_use", "use"]))
    if first_use == "in_outage":
        steps.append(("start", slot, False, draw(st.booleans())))
    if first_use == "begin_use":
        steps.append(("link", slot, True, False, draw(_DELAYS)))
        steps.append(("begin_use", slot, workspace))
    else:
        steps.append(("use", slot, workspace))
    steps += draw(st.lists(_faults(st.just(slot)), max_size=2))
    steps += draw(st.lists(_faults(_SLOTS) | _others(_SLOTS), max_size=1))
    # With a wait of 0, reads with delayed replies are still in progress when
    # the change is written.
    wait = st.tuples(st.just("wait"), _WAITS)
    steps.append(draw(wait))
    steps.append(
        draw(
            st.tuples(st.just("write"), st.just(workspace), st.integers(1, 2))
            | st.just(("delete", workspace))
        )
    )
    steps.append(("status", workspace))
    steps.append(draw(wait))
    steps += draw(st.lists(_others(_SLOTS), max_size=1))
    return [*steps, ("use", slot, workspace)]


_STEPS = st.lists(_episodes(), min_size=1, max_size=5).map(
    lambda episodes: [step for episode in episodes for step in episode]
)
# Matches only the messages of the simulation about an accepted change that is
# not served or a revision that went back.
_VIOLATION_PATTERN = "was accepted|went back|applied [0-9]+ of"
_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def _simulate(steps, mutate=lambda runtime: None):
    async def scenario():
        simulation = config_simulation.Simulation(mutate)
        try:
            for slot in range(2):
                await simulation.start(slot, True, True)
            for step in steps:
                await simulation.apply(step)
            await simulation.check_convergence()
        finally:
            await simulation.end()
        return simulation.statuses

    return virtual_loop.run(scenario())


@_SETTINGS
@hypothesis.given(_STEPS)
def test_an_accepted_change_is_in_force_everywhere_and_never_reverts(steps):
    _simulate(steps)


def _read_before_registration(runtime):
    """Lets the router read configuration without being registered."""
    presence = runtime._presence

    async def skip_registration():
        return True

    presence.make_discoverable = skip_registration
    presence.maintain = skip_registration
    presence.__class__ = type(
        "Unregistered", (type(presence),), {"is_discoverable": True}
    )


def _apply_lower_revisions(runtime):
    runtime.table._is_newer = lambda entry: (
        entry.revision != runtime.table.revision(entry.name)
    )


def _load_below_the_floor(runtime):
    runtime.table.apply_read = lambda entry, as_of=0: runtime.table._replace(
        entry
    )


def _name_no_other_routers(runtime):
    runtime._presence.advertised_routers = lambda: ()


@pytest.mark.parametrize(
    ("mutate", "steps"),
    [
        (
            _read_before_registration,
            [
                ("write", "bakery", 1),
                ("start", 2, True, True),
                ("use", 2, "bakery"),
                ("link", 2, False, False, 0.0),
                ("lose_watch", 2, False),
                ("cut", 2, 0),
                ("cut", 2, 1),
                ("write", "bakery", 1),
                ("status", "bakery"),
            ],
        ),
        (
            _apply_lower_revisions,
            [
                ("write", "bakery", 1),
                ("use", 0, "bakery"),
                ("link", 0, True, False, 2.5),
                ("lose_watch", 0, True),
                ("wait", 2.0),
                ("write", "bakery", 1),
                ("status", "bakery"),
                ("wait", 2.0),
                ("use", 0, "bakery"),
            ],
        ),
        (
            _name_no_other_routers,
            [
                ("write", "bakery", 1),
                ("use", 0, "bakery"),
                ("start", 2, False, True),
                ("use", 2, "bakery"),
                ("write", "bakery", 1),
                ("status", "bakery"),
            ],
        ),
        (
            _load_below_the_floor,
            [
                ("write", "bakery", 1),
                ("link", 0, True, False, 2.5),
                ("begin_use", 0, "bakery"),
                ("write", "bakery", 1),
                ("status", "bakery"),
                ("wait", 3.0),
                ("use", 0, "bakery"),
            ],
        ),
    ],
)
def test_a_known_faulty_sequence_is_found(mutate, steps):
    """Guards against a simulation that doesn't detect known faults.

    Each sequence passes with the real code and fails with one injected fault.
    """
    _simulate(steps)
    with pytest.raises(AssertionError, match=_VIOLATION_PATTERN):
        _simulate(steps, mutate)


@pytest.mark.parametrize(
    "mutate",
    [
        _read_before_registration,
        _apply_lower_revisions,
        _load_below_the_floor,
        _name_no_other_routers,
    ],
)
def test_the_property_finds_mutants(mutate):
    """Guards against a strategy whose scenarios can't reveal known faults."""

    @hypothesis.settings(_SETTINGS, phases=[hypothesis.Phase.generate])
    @hypothesis.given(_STEPS)
    def run(steps):
        _simulate(steps, mutate)

    with pytest.raises(AssertionError, match=_VIOLATION_PATTERN):
        run()
