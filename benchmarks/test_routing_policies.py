"""Compares the routing policies in virtual time and prints a table.

All policies run in the same process on the same schedules. The table is shown
with `-s`.
"""

import math
import statistics

import pytest

from benchmarks import routing_result
from benchmarks import routing_run
from benchmarks import routing_scenario

_SEEDS = (1, 2, 3)
# Targets from section 1.3 of the design.
_FIRST_P95_MS = 810.0
_GAP_P95_MS = 27.0
_TOLERANCE = 0.05
# A baseline with one outlier among the seeds must not widen the bound further.
_MAX_NOISE = 0.15
_HEADER = (
    f"{'deployment':11}{'cell':15}{'policy':16}{'first p50':>10}{'p95':>7}"
    f"{'gap p50':>9}{'p95':>6}{'hits':>6}{'in time':>9}{'late':>6}"
    f"{'retries':>9}{'spread':>8}  refused; first p95 per seed"
)


def _row(results: list[routing_result.Result]) -> str:
    def mean(name: str) -> float:
        return statistics.fmean(getattr(r, name) for r in results)

    requests = sum(r.requests for r in results)
    refused: dict[str, int] = {}
    for reason, count in (x for r in results for x in r.refused.items()):
        refused[reason] = refused.get(reason, 0) + count
    return (
        f"{mean('first_p50'):10.0f}{mean('first_p95'):7.0f}"
        f"{mean('gap_p50'):9.1f}{mean('gap_p95'):6.1f}{mean('hit_share'):6.2f}"
        f"{sum(r.in_time for r in results) / requests:9.1%}"
        f"{sum(r.late for r in results):6}"
        f"{mean('retries'):9.3f}{mean('spread'):8.2f}  {refused or '-'}; "
        + "/".join(f"{r.first_p95:.0f}" for r in results)
    )


def _assert_not_worse(
    name: str,
    prefix_cost: list[routing_result.Result],
    baselines: dict[str, list[routing_result.Result]],
) -> None:
    """Asserts that a figure is not worse than the best baseline.

    The figure may exceed the baseline's by a tolerance plus the noise. The
    noise is two standard errors of the difference on equal schedules, at most a
    fixed share of the baseline's figure.
    """
    best = min(
        baselines.values(),
        key=lambda results: statistics.fmean(getattr(r, name) for r in results),
    )
    differences = [
        getattr(o, name) - getattr(b, name)
        for o, b in zip(prefix_cost, best, strict=True)
    ]
    mean = statistics.fmean(getattr(b, name) for b in best)
    noise = min(
        2 * statistics.stdev(differences) / math.sqrt(len(differences)),
        _MAX_NOISE * mean,
    )
    difference = statistics.fmean(differences)
    print(
        f"{name}: best baseline {mean:.1f} ms, difference {difference:+.1f} "
        f"ms, noise {noise:.1f} ms"
    )
    assert difference <= _TOLERANCE * mean + noise


@pytest.mark.parametrize(
    "scenario", routing_scenario.SCENARIOS, ids=lambda s: s.name
)
@pytest.mark.parametrize(
    "deployment",
    [routing_scenario.CASABLANCA, routing_scenario.CROATIA],
    ids=lambda d: d.name,
)
def test_policies(deployment, scenario):
    """Guards against missed targets and against being worse than a baseline."""
    print(f"\n{_HEADER}")
    measured = {}
    for policy in routing_scenario.POLICIES:
        measured[policy] = [
            routing_run.Run(deployment, scenario, policy, seed).run()
            for seed in _SEEDS
        ]
        row = _row(measured[policy])
        print(f"{deployment.name:11}{scenario.name:15}{policy:16}{row}")
    prefix_cost = measured.pop("prefix_cost")

    _assert_not_worse("first_p95", prefix_cost, measured)
    in_time = {p: sum(r.in_time for r in rs) for p, rs in measured.items()}
    assert sum(r.in_time for r in prefix_cost) >= 0.99 * max(in_time.values())
    first_p95 = statistics.fmean(r.first_p95 for r in prefix_cost)
    if scenario.shared_prefixes:
        round_robin = measured["round_robin"]
        assert first_p95 <= 0.8 * statistics.fmean(
            r.first_p95 for r in round_robin
        )
    if scenario.within_capacity:
        _assert_not_worse("gap_p95", prefix_cost, measured)
        assert first_p95 <= _FIRST_P95_MS
        assert statistics.fmean(r.gap_p95 for r in prefix_cost) <= _GAP_P95_MS
        assert sum(r.late for r in prefix_cost) == 0
