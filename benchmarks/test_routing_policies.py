"""Measures the routing policies in virtual time and prints a table.

The baselines run in the same process on the same schedules. `-s` shows the
table.
"""

import statistics

import pytest

from benchmarks import routing_cell
from benchmarks import routing_result
from benchmarks import routing_run

_SEEDS = (1, 2, 3)
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


@pytest.mark.parametrize("cell", routing_cell.CELLS, ids=lambda c: c.name)
@pytest.mark.parametrize(
    "deployment",
    [routing_cell.CASABLANCA, routing_cell.CROATIA],
    ids=lambda d: d.name,
)
def test_policies(deployment, cell):
    print(f"\n{_HEADER}")
    for policy in routing_cell.POLICIES:
        results = [
            routing_run.Run(deployment, cell, policy, seed).run()
            for seed in _SEEDS
        ]
        print(f"{deployment.name:11}{cell.name:15}{policy:16}{_row(results)}")
