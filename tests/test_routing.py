"""Guards the choice of engines under late, missing and wrong information."""

import collections

import attrs
import pytest

from hibiscuspass.backends import engine
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import engine_load
from hibiscuspass.core.routing import factory
from hibiscuspass.core.routing import policy
from hibiscuspass.core.routing import prefix_index
from hibiscuspass.core.routing import prefix_repeats
from tests import assertions

_POLICIES = ("prefix_cost", "round_robin", "least_load", "prefix_affinity")
_ENGINES = ("e0", "e1", "e2", "e3")


def _report(name: str, at_s: float = 0.0, **changes) -> engine.LoadReport:
    base = engine.LoadReport(name, at_s, 0, 0, 0, 0.0, ("m",))
    return attrs.evolve(base, **changes)


def _policy(
    cfg: config.RoutingConfig | None = None, *, reports: bool = True
) -> policy.RoutingPolicy:
    made = factory.make_routing_policy(cfg or config.RoutingConfig())
    made.set_backends(
        [
            policy.BackendView(name, f"fd{n % 2}", True)
            for n, name in enumerate(_ENGINES)
        ],
        0.0,
    )
    for name in _ENGINES if reports else ():
        made.on_load_report(_report(name), 0.0)
    return made


def _query(request_id: str = "r", **changes) -> policy.RouteQuery:
    base = policy.RouteQuery(
        request_id, "w", "m", "", tuple(range(10)), 160, 100, 5, 5.0
    )
    return attrs.evolve(base, **changes)


def _choices(made: policy.RoutingPolicy, count: int, now_s: float = 0.0):
    routes = [made.choose(_query(), now_s) for _ in range(count)]
    assert all(isinstance(r, policy.Route) for r in routes), routes
    return collections.Counter(r.backend for r in routes)


def test_unknown_policy_is_named_with_the_allowed_ones():
    with pytest.raises(ValueError, match=r"'best'.*prefix_cost"):
        factory.make_routing_policy(config.RoutingConfig(policy="best"))


@pytest.mark.parametrize("name", _POLICIES)
def test_engines_without_the_model_or_adapter_are_not_chosen(name):
    made = _policy(config.RoutingConfig(policy=name))
    made.on_load_report(_report("e2", models=("other",)), 0.0)
    made.on_load_report(_report("e3", adapters=("a",)), 0.0)
    assert "e2" not in _choices(made, 40)
    route = made.choose(_query(adapter="a"), 0.0)
    assert isinstance(route, policy.Route)
    assert route.backend == "e3"
    assertions.assert_refused(
        made.choose(_query(model="absent"), 0.0), reason_lib.Reason.NO_BACKEND
    )


@pytest.mark.parametrize("name", _POLICIES)
def test_leaving_draining_and_excluded_engines_get_no_work(name):
    made = _policy(config.RoutingConfig(policy=name))
    made.set_backends(
        [policy.BackendView(n, "fd0", n != "e0") for n in _ENGINES], 0.0
    )
    made.on_load_report(_report("e1", draining=True), 0.0)
    query = _query(excluded=frozenset({"e2"}))
    chosen = {made.choose(query, 0.0).backend for _ in range(20)}
    assert chosen == {"e3"}
    assertions.assert_refused(
        made.choose(_query(excluded=frozenset({"e2", "e3"})), 0.0),
        reason_lib.Reason.NO_BACKEND,
    )


def test_cached_prefix_attracts_until_a_gap_or_eviction():
    made = _policy()
    blocks = tuple(range(100))
    query = _query(prompt_blocks=blocks, prompt_tokens=1600)
    made.on_cache_event(engine.CacheEvent("e1", 0, stored=blocks), 0.0)
    route = made.choose(query, 0.0)
    assert (route.backend, route.cached_tokens) == ("e1", 1600)
    made.on_cache_event(engine.CacheEvent("e1", 1, evicted=blocks[50:]), 0.0)
    assert made.choose(query, 0.0).cached_tokens == 800
    made.on_cache_event(engine.CacheEvent("e1", 5), 0.0)
    assert made.choose(query, 0.0).cached_tokens == 0


def test_index_entries_age_out():
    made = _policy(config.RoutingConfig(index_entry_ttl_s=10.0))
    made.on_cache_event(
        engine.CacheEvent("e1", 0, stored=tuple(range(10))), 0.0
    )
    query = _query(excluded=frozenset({"e0", "e2", "e3"}))
    assert made.choose(query, 9.0).cached_tokens > 0
    assert made.choose(query, 11.0).cached_tokens == 0


def test_own_dispatches_correct_an_old_report():
    """Guards against sending everything to the engine of an old report."""
    made = _policy()
    for name in _ENGINES[1:]:
        made.on_load_report(_report(name, queued_prompt_tokens=4000), 0.0)
    for n in range(8):
        query = _query(f"r{n}", prompt_blocks=(), prompt_tokens=1000)
        made.on_dispatch(query, policy.Route("e0", 0.1, 0), 0.1)
    # The report still shows an idle e0, measured before the dispatches.
    made.on_load_report(_report("e0", at_s=0.05), 0.3)
    assert "e0" not in _choices(made, 20, 0.3)


def test_own_requests_in_a_report_are_not_counted_twice():
    made = _policy()
    query = _query("r0", prompt_blocks=(), prompt_tokens=4000)
    made.on_dispatch(query, policy.Route("e0", 0.1, 0), 0.0)
    made.on_load_report(_report("e0", at_s=0.1, queued_prompt_tokens=4000), 0.1)
    made.on_first_token("r0", 0.2)
    route = made.choose(_query(excluded=frozenset(_ENGINES[1:])), 0.2)
    assert route.expected_first_token_s < 0.1


def test_deadline_that_cannot_be_met_is_refused_early():
    made = _policy()
    for name in _ENGINES:
        made.on_load_report(_report(name, queued_prompt_tokens=60_000), 0.0)
    assertions.assert_refused(
        made.choose(_query(first_token_deadline_s=1.0), 0.0),
        reason_lib.Reason.DEADLINE,
    )


def test_concurrency_and_queue_limits_per_engine():
    made = _policy(config.RoutingConfig(max_in_flight_per_engine=8))
    for name in _ENGINES[1:]:
        made.on_load_report(_report(name, running=8), 0.0)
    made.on_load_report(_report("e0", running=7), 0.0)
    assert set(_choices(made, 10)) == {"e0"}
    made.on_load_report(_report("e0", running=5, waiting=3), 0.0)
    assertions.assert_refused(
        made.choose(_query(), 0.0), reason_lib.Reason.OVERLOADED
    )


def test_failing_engine_is_ejected_and_returns_gradually():
    made = _policy()
    for n in range(3):
        made.on_dispatch(_query(f"r{n}"), policy.Route("e0", 0.1, 0), 0.0)
        made.on_finish(f"r{n}", False, 0.0)
    assert "e0" not in _choices(made, 40)
    assert "e0" in _choices(made, 40, 10.0)


def test_silent_engine_is_ejected_without_an_error():
    made = _policy()
    made.on_dispatch(_query("r0"), policy.Route("e0", 0.1, 0), 0.0)
    assert "e0" not in _choices(made, 40, 2.2)


def test_near_ties_prefer_the_own_failure_domain():
    made = _policy(config.RoutingConfig(failure_domain="fd0", max_candidates=4))
    counts = _choices(made, 200)
    local = counts["e0"] + counts["e2"]
    # Two of four engines are local; a pair without one has probability 1/6.
    assert local > 150


def test_routers_with_the_same_view_spread_their_choices():
    made = _policy()
    assert len(_choices(made, 50)) >= 3


def test_slow_engine_is_learned_from_first_tokens():
    made = _policy()
    for n in range(30):
        query = _query(f"r{n}", prompt_blocks=())
        made.on_dispatch(query, policy.Route("e0", 0.05, 0), n * 0.3)
        made.on_first_token(f"r{n}", n * 0.3 + 0.3)
        made.on_finish(f"r{n}", True, n * 0.3 + 0.3)
    assert "e0" not in _choices(made, 40, 9.0)


def test_routers_without_cache_events_agree_on_the_home_engine():
    """Guards against spreading a prefix over all engines after gaps."""
    query = _query(prompt_blocks=tuple(range(200)), prompt_tokens=3200)
    for first in range(20):
        asked = attrs.evolve(query, prompt_blocks=(first, *range(1, 8)))
        routers = [
            _policy(config.RoutingConfig(seed=n, home_blocks=1))
            for n in range(4)
        ]
        for made in routers:
            for name in _ENGINES:
                made.on_load_report(_report(name, running=10), 0.0)
        chosen = {made.choose(asked, 0.0).backend for made in routers}
        assert len(chosen) == 1


def _busy_home(made: policy.RoutingPolicy, others_running: int) -> None:
    """Gives `e0` a cached prompt and a queue of 0.5 s."""
    made.on_cache_event(
        engine.CacheEvent("e0", 0, stored=tuple(range(200))), 0.0
    )
    for name in _ENGINES:
        made.on_load_report(_report(name, running=others_running), 0.0)
    made.on_load_report(
        _report("e0", running=90, queued_prompt_tokens=10_000), 0.0
    )


def test_idle_engine_takes_over_when_the_best_one_is_too_late():
    made = _policy()
    _busy_home(made, others_running=0)
    query = _query(
        prompt_blocks=tuple(range(200)),
        prompt_tokens=3200,
        first_token_deadline_s=1.0,
    )
    assert made.choose(query, 0.0).backend != "e0"


def test_busy_engines_refuse_instead_of_giving_up_cache_hits():
    """Guards against the collapse of hits and goodput in an overload."""
    made = _policy()
    _busy_home(made, others_running=90)
    query = _query(
        prompt_blocks=tuple(range(200)),
        prompt_tokens=3200,
        first_token_deadline_s=1.0,
    )
    assertions.assert_refused(
        made.choose(query, 0.0), reason_lib.Reason.DEADLINE
    )


def test_prefix_index_is_bounded_over_all_engines():
    index = prefix_index.PrefixIndex(100, 80, ttl_s=60.0)
    index.retain(_ENGINES)
    for n, name in enumerate(_ENGINES * 25):
        blocks = tuple(range(n * 10, n * 10 + 10))
        index.on_event(engine.CacheEvent(name, n // 4, stored=blocks), n * 0.1)
        assert index.entries() <= 100
    last = tuple(range(990, 1000))
    assert index.matched_blocks("e3", last, 10.0) == 10


def test_old_queues_of_other_routers_approach_the_mean():
    """Guards against leaving the engine idle that an old report avoids."""
    load = engine_load.EngineLoad(15.0, 0.1, 2.0)
    load.on_report(_report("e0", queued_prompt_tokens=20_000), 0.0)
    mean = engine_load.OtherLoad(1000.0, 10.0)
    assert load.queued_tokens(mean, 0.0) == 20_000
    assert load.queued_tokens(mean, 1.0) == pytest.approx(1000, rel=0.01)
    assert load.queued_tokens(mean, 20.0) == 1000


def test_prompts_without_repeats_have_no_home_engine():
    """Guards against unbalanced load where no cache can help."""
    repeats = prefix_repeats.PrefixRepeats()
    for n in range(300):
        repeats.observe((n, n + 1))
    assert repeats.share < 0.01
    for _ in range(300):
        repeats.observe((1, 2))
    assert repeats.share > 0.99


@pytest.mark.parametrize(
    ("others_running", "refused"), [(20, False), (40, True)]
)
def test_full_engine_is_replaced_only_by_half_empty_ones(
    others_running, refused
):
    """Guards against an overload that gives up all cache hits at the limit."""
    made = _policy(config.RoutingConfig(max_in_flight_per_engine=64))
    blocks = tuple(range(200))
    made.on_cache_event(engine.CacheEvent("e0", 0, stored=blocks), 0.0)
    for name in _ENGINES:
        made.on_load_report(_report(name, running=others_running), 0.0)
    made.on_load_report(_report("e0", running=64), 0.0)
    outcome = made.choose(_query(prompt_blocks=blocks, prompt_tokens=3200), 0.0)
    if refused:
        assertions.assert_refused(outcome, reason_lib.Reason.OVERLOADED)
    else:
        assert outcome.backend != "e0"
