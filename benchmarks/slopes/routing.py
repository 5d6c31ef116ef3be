"""Measures the cost of choosing an engine and of its input data."""

import random

from benchmarks.slopes import slope
from hibiscuspass.backends import engine
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import factory
from hibiscuspass.core.routing import policy

_MODEL = "model-a"
BLOCKS_PER_EVENT = 64
_CHOICES = 200
_INDEX_ENTRIES = 20_000


def _make_policy(engines: int) -> policy.RoutingPolicy:
    routing_policy = factory.make_routing_policy(config.RoutingConfig())
    views = [
        policy.BackendView(f"engine-{i}", f"fd-{i % 18}", True)
        for i in range(engines)
    ]
    routing_policy.set_backends(views, 0.0)
    for view in views:
        routing_policy.on_load_report(_report(view.name, 0.0), 0.0)
    return routing_policy


def _report(name: str, at_s: float) -> engine.LoadReport:
    return engine.LoadReport(name, at_s, 4, 1, 500, 0.5, (_MODEL,))


def _query(number: int) -> policy.RouteQuery:
    rng = random.Random(number)
    return policy.RouteQuery(
        f"req-{number}",
        "workspace-1",
        _MODEL,
        "",
        tuple(rng.getrandbits(64) for _ in range(BLOCKS_PER_EVENT)),
        BLOCKS_PER_EVENT * 16,
        500,
        5,
        10.0,
    )


def _choose_us(engines: int) -> float:
    routing_policy = _make_policy(engines)
    queries = [_query(i) for i in range(_CHOICES)]

    def step() -> None:
        for query in queries:
            route = routing_policy.choose(query, 0.1)
            assert isinstance(route, policy.Route)
            routing_policy.on_dispatch(query, route, 0.1)
            routing_policy.on_first_token(query.request_id, 0.2)
            routing_policy.on_finish(query.request_id, True, 0.3)

    return slope.cpu_us(step, _CHOICES)


def _reports_us(engines: int) -> float:
    routing_policy = _make_policy(engines)
    at_s = 0.0

    def step() -> None:
        nonlocal at_s
        at_s += 1.0
        for i in range(engines):
            routing_policy.on_load_report(_report(f"engine-{i}", at_s), at_s)

    return slope.cpu_us(step, engines)


def _filled_index() -> policy.RoutingPolicy:
    routing_policy = _make_policy(1)
    rng = random.Random(1)
    for sequence in range(_INDEX_ENTRIES // BLOCKS_PER_EVENT):
        blocks = tuple(rng.getrandbits(64) for _ in range(BLOCKS_PER_EVENT))
        routing_policy.on_cache_event(
            engine.CacheEvent("engine-0", sequence, blocks), 0.0
        )
    return routing_policy


def measure() -> list[slope.Slope]:
    """Returns the costs of the routing policy."""
    small, large = 10, 210
    return [
        slope.Slope("route.choose.cpu", _choose_us(small), "us", "request"),
        slope.Slope(
            "route.choose.cpu_per_engine",
            (_choose_us(large) - _choose_us(small)) / (large - small),
            "us",
            "request and engine",
        ),
        slope.Slope("route.report.cpu", _reports_us(large), "us", "report"),
        slope.Slope(
            "route.cache_event.cpu",
            slope.cpu_us(_filled_index, _INDEX_ENTRIES // BLOCKS_PER_EVENT),
            "us",
            f"event of {BLOCKS_PER_EVENT} blocks",
        ),
        slope.Slope(
            "route.index_entry.bytes",
            slope.retained_bytes(_filled_index, _INDEX_ENTRIES),
            "B",
            "index entry",
        ),
        slope.Slope(
            "route.engine.bytes",
            slope.retained_bytes(lambda: _make_policy(1000), 1000),
            "B",
            "engine",
        ),
    ]
