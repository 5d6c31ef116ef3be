"""Measures the cost of permits, grants and ledgers."""

import time

from benchmarks.slopes import slope
from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import events
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import node as node_lib
from hibiscuspass.core.budget import timing as timing_lib
from tests import budget_world

_WORST_CASE = 100
_COST = 40
_ROUTERS = 9
_TOP_UPS = 1000
_IDLE_S = 100.0


class _TimedNode(node_lib.BudgetNode):
    """Budget node that adds up the CPU time of all nodes in `cpu_s`."""

    cpu_s = 0.0

    def handle(
        self, event: events.Event, now_s: float
    ) -> tuple[actions.Action, ...]:
        """See base class."""
        start_ns = time.process_time_ns()
        result = super().handle(event, now_s)
        _TimedNode.cpu_s += (time.process_time_ns() - start_ns) / 1e9
        return result


# At target size many workspaces share the key-value service, so intervals are
# longer and bills wait longer for their batch.
_TARGET_TIMING = timing_lib.BudgetTiming(
    flush_interval_s=10.0,
    record_interval_s=60.0,
    ledger_poll_s=30.0,
    report_retry_s=20.0,
)


def _make_world(
    timing: timing_lib.BudgetTiming | None = None,
) -> budget_world.World:
    return budget_world.World(
        _ROUTERS,
        prepaid=10_000_000,
        timing=timing or timing_lib.BudgetTiming(),
        node_type=_TimedNode,
        auto=True,
    )


def _run_requests(
    world: budget_world.World, count: int, rate_per_s: float
) -> None:
    routers = world.names()
    for i in range(count):
        attempt = world.acquire(routers[i % _ROUTERS], _WORST_CASE)
        world.run_for(1.0 / rate_per_s)
        if attempt in world.runs:
            world.finish(attempt, _COST)


def _measure_requests(
    label: str,
    rate_per_s: float,
    count: int,
    timing: timing_lib.BudgetTiming | None = None,
) -> list[slope.Slope]:
    """Measures a workspace that all routers use at a constant rate."""
    world = _make_world(timing)
    _run_requests(world, 200, rate_per_s)
    world.sent.clear()
    world.kv.writes = world.kv.reads = 0
    _TimedNode.cpu_s = 0.0
    started_s = world.now_s
    _run_requests(world, count, rate_per_s)
    elapsed_s = world.now_s - started_s
    name = f"budget.{label}"
    return [
        slope.Slope(
            f"{name}.cpu", _TimedNode.cpu_s / count * 1e6, "us", "request"
        ),
        slope.Slope(
            f"{name}.messages",
            sum(world.sent.values()) / count,
            "1",
            "request",
        ),
        slope.Slope(
            f"{name}.kv_writes",
            world.kv.writes / elapsed_s,
            "1/s",
            "workspace in use",
        ),
        slope.Slope(
            f"{name}.kv_reads",
            world.kv.reads / elapsed_s,
            "1/s",
            "workspace in use",
        ),
    ]


def _measure_idle() -> list[slope.Slope]:
    """Measures a workspace that has a grant but no requests."""
    world = _make_world()
    _run_requests(world, 20, 10.0)
    world.run_for(20.0)
    world.sent.clear()
    world.kv.writes = world.kv.reads = 0
    world.run_for(_IDLE_S)
    calls = world.kv.writes + world.kv.reads
    return [
        slope.Slope(
            "budget.idle.messages",
            sum(world.sent.values()) / _IDLE_S,
            "1/s",
            "workspace with a grant",
        ),
        slope.Slope(
            "budget.idle.kv_calls",
            calls / _IDLE_S,
            "1/s",
            "workspace with a grant",
        ),
    ]


def _measure_ledger_bytes() -> list[slope.Slope]:
    def size(top_ups: int, grants: int) -> int:
        router = incarnation.Incarnation("router-a", "0123456789abcdef")
        open_grants = [
            grant_lib.Grant(
                f"grant.router-a.0123456789abcdef.{i}",
                router,
                router,
                1,
                1,
                operation=f"grant.router-a.0123456789abcdef.{i}",
            )
            for i in range(grants)
        ]
        led = ledger_lib.Ledger(
            "workspace-1",
            prepaid=top_ups,
            grants={g.id: g for g in open_grants},
            top_ups={f"top-up-{i:08d}": 1 for i in range(top_ups)},
        )
        return len(ledger_codec.encode(led))

    base = size(100, 0)
    return [
        slope.Slope("ledger.bytes", size(1, 0), "B", "budget"),
        slope.Slope(
            "ledger.top_up.bytes",
            (size(_TOP_UPS, 0) - base) / (_TOP_UPS - 100),
            "B",
            "top-up",
        ),
        slope.Slope("ledger.grant.bytes", size(100, 1) - base, "B", "grant"),
    ]


def _measure_memory() -> list[slope.Slope]:
    """Measures the memory of a permit at holder, witness and entry router."""
    permits = 1000
    worlds = []

    def build() -> budget_world.World:
        world = _make_world()
        worlds.append(world)
        for i in range(permits):
            world.acquire(world.names()[i % _ROUTERS], _WORST_CASE)
        world.run_for(1.0)
        return world

    permit_bytes = slope.retained_bytes(build, permits)
    return [
        slope.Slope(
            "budget.open_permit.bytes", permit_bytes, "B", "open permit"
        )
    ]


def measure() -> list[slope.Slope]:
    """Returns the costs of the budget subsystem."""
    return [
        *_measure_requests("today", 1.8, 300),
        *_measure_requests("busy", 50.0, 2000),
        *_measure_requests("target", 1.8, 1000, _TARGET_TIMING),
        *_measure_idle(),
        *_measure_ledger_bytes(),
        *_measure_memory(),
    ]
