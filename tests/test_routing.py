"""Tests of the choice of engines from late, missing and wrong information."""

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


def _load_report(name: str, at_s: float = 0.0, **changes) -> engine.LoadReport:
    base = engine.LoadReport(name, at_s, 0, 0, 0, 0.0, ("m",))
    return attrs.evolve(base, **changes)


def _make_policy(
    cfg: config.RoutingConfig | None = None, *, reports: bool = True
) -> policy.RoutingPolicy:
    routing = factory.make_routing_policy(cfg or config.RoutingConfig())
    routing.set_backends(
        [
            policy.BackendView(name, f"fd{n % 2}", True)
            for n, name in enumerate(_ENGINES)
        ],
        0.0,
    )
    for name in _ENGINES if reports else ():
        routing.on_load_report(_load_report(name), 0.0)
    return routing


def _query(request_id: str = "r", **changes) -> policy.RouteQuery:
    base = policy.RouteQuery(
        request_id, "w", "m", "", tuple(range(10)), 160, 100, 5, 5.0
    )
    return attrs.evolve(base, **changes)


def _count_choices(
    routing: policy.RoutingPolicy, count: int, now_s: float = 0.0
):
    routes = [routing.choose(_query(), now_s) for _ in range(count)]
    assert all(isinstance(r, policy.Route) for r in routes), routes
    return collections.Counter(r.backend for r in routes)


def test_error_for_unknown_policy_lists_the_allowed_ones():
    with pytest.raises(ValueError, match=r"'best'.*prefix_cost"):
        factory.make_routing_policy(config.RoutingConfig(policy="best"))


@pytest.mark.parametrize("name", _POLICIES)
def test_engines_without_the_model_or_adapter_are_not_chosen(name):
    """Guards against requests that fail because the model isn't loaded."""
    routing = _make_policy(config.RoutingConfig(policy=name))
    routing.on_load_report(_load_report("e2", models=("other",)), 0.0)
    routing.on_load_report(_load_report("e3", adapters=("a",)), 0.0)
    assert "e2" not in _count_choices(routing, 40)
    route = routing.choose(_query(adapter="a"), 0.0)
    assert isinstance(route, policy.Route)
    assert route.backend == "e3"
    assertions.assert_refused(
        routing.choose(_query(model="absent"), 0.0),
        reason_lib.Reason.NO_BACKEND,
    )


@pytest.mark.parametrize("name", _POLICIES)
def test_leaving_draining_and_excluded_engines_get_no_work(name):
    """Guards against new requests to an engine that is about to stop.

    Membership, the load report and the retries of a request each rule out one
    of the engines.
    """
    routing = _make_policy(config.RoutingConfig(policy=name))
    routing.set_backends(
        [policy.BackendView(n, "fd0", n != "e0") for n in _ENGINES], 0.0
    )
    routing.on_load_report(_load_report("e1", draining=True), 0.0)
    query = _query(excluded=frozenset({"e2"}))
    chosen = {routing.choose(query, 0.0).backend for _ in range(20)}
    assert chosen == {"e3"}
    assertions.assert_refused(
        routing.choose(_query(excluded=frozenset({"e2", "e3"})), 0.0),
        reason_lib.Reason.NO_BACKEND,
    )


def test_engine_with_cached_prefix_is_chosen_until_eviction_or_gap():
    """Guards against expected cache hits on blocks that were evicted.

    An eviction event removes some blocks. A gap in the sequence numbers removes
    all, because the lost events may have been evictions.
    """
    routing = _make_policy()
    blocks = tuple(range(100))
    query = _query(prompt_blocks=blocks, prompt_tokens=1600)
    routing.on_cache_event(engine.CacheEvent("e1", 0, stored=blocks), 0.0)
    route = routing.choose(query, 0.0)
    assert (route.backend, route.cached_tokens) == ("e1", 1600)
    routing.on_cache_event(engine.CacheEvent("e1", 1, evicted=blocks[50:]), 0.0)
    assert routing.choose(query, 0.0).cached_tokens == 800
    routing.on_cache_event(engine.CacheEvent("e1", 5), 0.0)
    assert routing.choose(query, 0.0).cached_tokens == 0


def test_index_entries_expire():
    """Guards against expected cache hits after an eviction event was lost."""
    routing = _make_policy(config.RoutingConfig(index_entry_ttl_s=10.0))
    routing.on_cache_event(
        engine.CacheEvent("e1", 0, stored=tuple(range(10))), 0.0
    )
    query = _query(excluded=frozenset({"e0", "e2", "e3"}))
    assert routing.choose(query, 9.0).cached_tokens > 0
    assert routing.choose(query, 11.0).cached_tokens == 0


def test_own_dispatches_correct_an_old_report():
    """Guards against sending all requests to an engine that was idle before.

    The load report is older than the router's own requests to the engine.
    """
    routing = _make_policy()
    for name in _ENGINES[1:]:
        routing.on_load_report(
            _load_report(name, queued_prompt_tokens=4000), 0.0
        )
    for n in range(8):
        query = _query(f"r{n}", prompt_blocks=(), prompt_tokens=1000)
        routing.on_dispatch(query, policy.Route("e0", 0.1, 0), 0.1)
    # The report still shows an idle e0, measured before the dispatches.
    routing.on_load_report(_load_report("e0", at_s=0.05), 0.3)
    assert "e0" not in _count_choices(routing, 20, 0.3)


def test_own_requests_in_a_report_are_not_counted_twice():
    """Guards against overestimated queues.

    A load report includes the request that the router itself has sent.
    """
    routing = _make_policy()
    query = _query("r0", prompt_blocks=(), prompt_tokens=4000)
    routing.on_dispatch(query, policy.Route("e0", 0.1, 0), 0.0)
    routing.on_load_report(
        _load_report("e0", at_s=0.1, queued_prompt_tokens=4000), 0.1
    )
    routing.on_first_token("r0", 0.2)
    route = routing.choose(_query(excluded=frozenset(_ENGINES[1:])), 0.2)
    assert route.expected_first_token_s < 0.1


def test_deadline_that_cannot_be_met_is_refused_early():
    """Guards against queueing a request on an engine until it times out."""
    routing = _make_policy()
    for name in _ENGINES:
        routing.on_load_report(
            _load_report(name, queued_prompt_tokens=60_000), 0.0
        )
    assertions.assert_refused(
        routing.choose(_query(first_token_deadline_s=1.0), 0.0),
        reason_lib.Reason.DEADLINE,
    )


def test_concurrency_and_queue_limits_per_engine():
    routing = _make_policy(config.RoutingConfig(max_in_flight_per_engine=8))
    for name in _ENGINES[1:]:
        routing.on_load_report(_load_report(name, running=8), 0.0)
    routing.on_load_report(_load_report("e0", running=7), 0.0)
    assert set(_count_choices(routing, 10)) == {"e0"}
    routing.on_load_report(_load_report("e0", running=5, waiting=3), 0.0)
    assertions.assert_refused(
        routing.choose(_query(), 0.0), reason_lib.Reason.OVERLOADED
    )


def test_failing_engine_is_ejected_and_returns_gradually():
    """Guards against a failing engine that keeps getting requests."""
    routing = _make_policy()
    for n in range(3):
        routing.on_dispatch(_query(f"r{n}"), policy.Route("e0", 0.1, 0), 0.0)
        routing.on_finish(f"r{n}", False, 0.0)
    assert "e0" not in _count_choices(routing, 40)
    assert "e0" in _count_choices(routing, 40, 10.0)


def test_silent_engine_is_ejected_without_an_error():
    """Guards against a hanging engine that keeps getting requests.

    The engine accepts a request, sends no first token and reports no error.
    """
    routing = _make_policy()
    routing.on_dispatch(_query("r0"), policy.Route("e0", 0.1, 0), 0.0)
    assert "e0" not in _count_choices(routing, 40, 2.2)


def test_near_ties_prefer_the_own_failure_domain():
    """Guards against needless traffic to another failure domain."""
    routing = _make_policy(
        config.RoutingConfig(failure_domain="fd0", max_candidates=4)
    )
    counts = _count_choices(routing, 200)
    local = counts["e0"] + counts["e2"]
    # Two of four engines are local; a pair without one has probability 1/6.
    assert local > 150


def test_routers_with_the_same_view_spread_their_choices():
    """Guards against overload of one engine that all routers rate best."""
    routing = _make_policy()
    assert len(_count_choices(routing, 50)) >= 3


def test_slow_engine_is_avoided_after_late_first_tokens():
    """Guards against an engine that is slower than its load report suggests."""
    routing = _make_policy()
    for n in range(30):
        query = _query(f"r{n}", prompt_blocks=())
        routing.on_dispatch(query, policy.Route("e0", 0.05, 0), n * 0.3)
        routing.on_first_token(f"r{n}", n * 0.3 + 0.3)
        routing.on_finish(f"r{n}", True, n * 0.3 + 0.3)
    assert "e0" not in _count_choices(routing, 40, 9.0)


def test_routers_without_cache_events_agree_on_the_home_engine():
    """Guards against caching a prefix on all engines.

    Without cache events, the routers don't know which engine has the prefix.
    """
    query = _query(prompt_blocks=tuple(range(200)), prompt_tokens=3200)
    for first in range(20):
        query_with_prefix = attrs.evolve(
            query, prompt_blocks=(first, *range(1, 8))
        )
        routers = [
            _make_policy(config.RoutingConfig(seed=n, home_blocks=1))
            for n in range(4)
        ]
        for routing in routers:
            for name in _ENGINES:
                routing.on_load_report(_load_report(name, running=10), 0.0)
        chosen = {
            routing.choose(query_with_prefix, 0.0).backend
            for routing in routers
        }
        assert len(chosen) == 1


def _make_e0_cached_and_busy(
    routing: policy.RoutingPolicy, others_running: int
) -> None:
    """Caches a prompt on `e0` and reports a queue of 0.5 s for it."""
    routing.on_cache_event(
        engine.CacheEvent("e0", 0, stored=tuple(range(200))), 0.0
    )
    for name in _ENGINES:
        routing.on_load_report(_load_report(name, running=others_running), 0.0)
    routing.on_load_report(
        _load_report("e0", running=90, queued_prompt_tokens=10_000), 0.0
    )


def test_idle_engine_is_chosen_when_the_best_one_is_too_slow():
    """Guards against a missed deadline while another engine is idle."""
    routing = _make_policy()
    _make_e0_cached_and_busy(routing, others_running=0)
    query = _query(
        prompt_blocks=tuple(range(200)),
        prompt_tokens=3200,
        first_token_deadline_s=1.0,
    )
    assert routing.choose(query, 0.0).backend != "e0"


def test_request_is_refused_rather_than_sent_to_a_busy_uncached_engine():
    """Guards against the collapse of cache hits and goodput in an overload.

    Each request that moves to a busy engine without its prefix adds prompt
    processing, which delays the requests of that engine too.
    """
    routing = _make_policy()
    _make_e0_cached_and_busy(routing, others_running=90)
    query = _query(
        prompt_blocks=tuple(range(200)),
        prompt_tokens=3200,
        first_token_deadline_s=1.0,
    )
    assertions.assert_refused(
        routing.choose(query, 0.0), reason_lib.Reason.DEADLINE
    )


def test_prefix_index_is_bounded_over_all_engines():
    """Guards against memory that grows with the number of engines."""
    index = prefix_index.PrefixIndex(100, 80, ttl_s=60.0)
    index.retain(_ENGINES)
    for n, name in enumerate(_ENGINES * 25):
        blocks = tuple(range(n * 10, n * 10 + 10))
        index.on_cache_event(
            engine.CacheEvent(name, n // 4, stored=blocks), n * 0.1
        )
        assert index.entries() <= 100
    last = tuple(range(990, 1000))
    assert index.matched_blocks("e3", last, 10.0) == 10


def test_old_queues_of_other_routers_approach_the_mean():
    """Guards against an idle engine that all routers avoid.

    An old load report still shows a queue that the engine has processed since.
    """
    load = engine_load.EngineLoad(15.0, 0.1, 2.0)
    load.on_report(_load_report("e0", queued_prompt_tokens=20_000), 0.0)
    mean = engine_load.OtherRoutersLoad(1000.0, 10.0)
    assert load.queued_tokens(mean, 0.0) == 20_000
    assert load.queued_tokens(mean, 1.0) == pytest.approx(1000, rel=0.01)
    assert load.queued_tokens(mean, 20.0) == 1000


def test_share_of_repeated_prefixes_follows_the_prompts():
    """Guards against load that is unbalanced by home engines without benefit.

    A home engine saves no work if prefixes don't repeat.
    """
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
    """Guards against the loss of all cache hits in an overload.

    The engine with the prefix is at its limit and the others are busy, so
    moving its requests would only add prompt processing.
    """
    routing = _make_policy(config.RoutingConfig(max_in_flight_per_engine=64))
    blocks = tuple(range(200))
    routing.on_cache_event(engine.CacheEvent("e0", 0, stored=blocks), 0.0)
    for name in _ENGINES:
        routing.on_load_report(_load_report(name, running=others_running), 0.0)
    routing.on_load_report(_load_report("e0", running=64), 0.0)
    outcome = routing.choose(
        _query(prompt_blocks=blocks, prompt_tokens=3200), 0.0
    )
    if refused:
        assertions.assert_refused(outcome, reason_lib.Reason.OVERLOADED)
    else:
        assert outcome.backend != "e0"
