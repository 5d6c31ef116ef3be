"""Tests of placement plans: memory limits, replicas and needless moves."""

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscuspass.core.placement import config
from hibiscuspass.core.placement import desired
from hibiscuspass.core.placement import planner

_CFG = config.PlacementConfig(engine_memory_bytes=100, requests_per_engine=10)


def _make_engines(count: int, plan=None) -> list[planner.EngineInfo]:
    return [
        planner.EngineInfo(
            f"e{n}", f"fd{n % 3}", current=(plan or {}).get(f"e{n}")
        )
        for n in range(count)
    ]


def _demand(model: str, size: int, requests: float = 0.0, version: str = "1"):
    return planner.ModelDemand(model, version, size, requests)


def _engines_with(plan, model: str) -> list[str]:
    return [n for n, d in plan.items() if model in d.models]


def test_replicas_follow_demand_and_spread_over_failure_domains():
    """Guards against too few replicas and against a single failure domain."""
    demands = [_demand("a", 60, 45.0), _demand("b", 40)]
    plan = planner.plan(_make_engines(6), demands, [], _CFG)
    assert len(_engines_with(plan, "a")) == 5
    domains = {int(n[1:]) % 3 for n in _engines_with(plan, "b")}
    assert len(domains) == 2


def test_unchanged_demand_moves_nothing():
    """Guards against plans that move models in every round."""
    demands = [_demand("a", 60, 25.0), _demand("b", 40), _demand("c", 30)]
    plan = planner.plan(_make_engines(6), demands, [], _CFG)
    assert planner.plan(_make_engines(6, plan), demands, [], _CFG) == plan


def test_small_changes_of_demand_move_nothing():
    """Guards against models that move back and forth as the load varies."""
    plan = planner.plan(_make_engines(6), [_demand("a", 60, 39.0)], [], _CFG)
    again = planner.plan(
        _make_engines(6, plan), [_demand("a", 60, 31.0)], [], _CFG
    )
    assert again == plan
    less = planner.plan(
        _make_engines(6, plan), [_demand("a", 60, 5.0)], [], _CFG
    )
    assert len(_engines_with(less, "a")) == 3


def test_lost_engine_is_replaced_without_moving_others():
    """Guards against reloading models on healthy engines after a failure."""
    demands = [_demand("a", 60), _demand("b", 60)]
    plan = planner.plan(_make_engines(6), demands, [], _CFG)
    lost = _engines_with(plan, "a")[0]
    rest = [s for s in _make_engines(6, plan) if s.name != lost]
    again = planner.plan(rest, demands, [], _CFG)
    changed = [n for n in again if again[n] != plan[n]]
    assert len(changed) == 1
    assert len(_engines_with(again, "a")) == 2


def test_scarce_memory_serves_every_model_before_second_replicas():
    """Guards against a model without a replica while another has several."""
    demands = [_demand("a", 80, 50.0), _demand("b", 80), _demand("c", 80)]
    plan = planner.plan(_make_engines(3), demands, [], _CFG)
    assert all(len(_engines_with(plan, m)) == 1 for m in "abc")


def test_new_model_replaces_surplus_replicas():
    """Guards against a new model that gets no memory.

    All engines hold replicas of another model, but one of these is surplus.
    """
    plan = planner.plan(_make_engines(3), [_demand("a", 80, 30.0)], [], _CFG)
    demands = [_demand("a", 80, 15.0), _demand("b", 80)]
    again = planner.plan(_make_engines(3, plan), demands, [], _CFG)
    assert len(_engines_with(again, "b")) == 1


def test_leaving_engine_keeps_its_models_and_drains():
    """Guards against streams that break when an engine leaves.

    The engine must keep its models while it drains, and another engine must
    replace its replica.
    """
    demands = [_demand("a", 60)]
    plan = planner.plan(_make_engines(3), demands, [], _CFG)
    leaving = _engines_with(plan, "a")[0]
    engines = [
        attrs.evolve(s, leaving=s.name == leaving)
        for s in _make_engines(3, plan)
    ]
    again = planner.plan(engines, demands, [], _CFG)
    assert again[leaving] == attrs.evolve(plan[leaving], role=desired.DRAIN)
    active = [n for n in _engines_with(again, "a") if n != leaving]
    assert len(active) == 2


def test_adapters_go_to_engines_with_their_models():
    """Guards against adapters on engines without a model to use them with."""
    demands = [_demand("a", 60), _demand("b", 60)]
    adapters = [planner.AdapterDemand("x", frozenset({"a"}))]
    plan = planner.plan(_make_engines(6), demands, adapters, _CFG)
    for state in plan.values():
        assert ("x" in state.adapters) == ("a" in state.models)


def test_roles_are_split_only_with_enough_replicas():
    """Guards against prefill engines that leave too few for decoding."""
    cfg = attrs.evolve(_CFG, prefill_share=0.25)
    plan = planner.plan(_make_engines(4), [_demand("a", 60, 40.0)], [], cfg)
    roles = sorted(d.role for d in plan.values())
    assert roles == ["decode", "decode", "decode", "prefill"]
    few = planner.plan(_make_engines(3), [_demand("a", 60, 40.0)], [], cfg)
    assert {d.role for d in few.values()} == {"serve"}


@pytest.mark.parametrize("engines", [1, 4])
@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(
    st.lists(
        st.lists(
            st.tuples(
                st.sampled_from("abcdef"),
                st.integers(1, 120),
                st.floats(0, 100),
            ),
            unique_by=lambda t: t[0],
            max_size=6,
        ),
        min_size=1,
        max_size=4,
    )
)
def test_memory_is_never_exceeded(engines, rounds):
    """Guards against plans that exceed the memory of an engine.

    Models and their sizes change between rounds, also for loaded models.
    """
    plan = None
    for demands in rounds:
        models = [_demand(*d) for d in demands]
        plan = planner.plan(_make_engines(engines, plan), models, [], _CFG)
        sizes = {d.model: d.size_bytes for d in models}
        for state in plan.values():
            assert sum(sizes[m] for m in state.models) <= 100


def test_models_that_no_workspace_uses_stay_until_memory_is_needed():
    """Guards against needless unloads and against models that block memory."""
    plan = planner.plan(_make_engines(2), [_demand("a", 60)], [], _CFG)
    unused = attrs.evolve(_demand("a", 60), is_used=False)
    again = planner.plan(
        _make_engines(2, plan), [unused, _demand("b", 40)], [], _CFG
    )
    assert len(_engines_with(again, "a")) == 2
    full = planner.plan(
        _make_engines(2, again), [unused, _demand("c", 90)], [], _CFG
    )
    assert len(_engines_with(full, "c")) == 2
    assert _engines_with(full, "a") == []


def test_loaded_version_stays_as_long_as_it_is_available():
    """Guards against reloading a model as soon as a newer version appears.

    A version that the weight store no longer has must be replaced.
    """
    plan = planner.plan(_make_engines(2), [_demand("a", 60)], [], _CFG)
    newer = attrs.evolve(
        _demand("a", 60, version="2"), available_versions=frozenset({"1", "2"})
    )
    kept = planner.plan(_make_engines(2, plan), [newer], [], _CFG)
    assert {d.models["a"] for d in kept.values()} == {"1"}
    only = attrs.evolve(newer, available_versions=frozenset({"2"}))
    moved = planner.plan(_make_engines(2, plan), [only], [], _CFG)
    assert {d.models["a"] for d in moved.values()} == {"2"}
