"""Compares the budget protocol with two baselines and prints a table.

All figures are counts in virtual time on seeded schedules. The bounds come from
the requirements, not from measurements. The table is shown with `-s`.
"""

import pytest

from benchmarks import budget_run

_SEED = 7
_ROUTERS = (3, 9, 30, 65)
# About 900 requests of 60 units on average arrive. The thin budget covers about
# half of them, the ample one three times their worst cases.
_BUDGETS = {"thin": 30_000, "ample": 270_000}
_HEADER = (
    f"{'case':24}{'budget':7}{'routers':>8}{'policy':>9}{'served':>8}"
    f"{'refused':>8}{'false':>6}{'over':>5}{'writes/req':>11}"
    f"{'writes/router':>14}{'stranded':>9}{'steps':>6}{'to full':>8}"
)


def _row(scenario, budget, routers, policy, result):
    return (
        f"{scenario.name:24}{budget:7}{routers:8}{policy:>9}{result.served:8}"
        f"{result.refused:8}{result.false_refusals:6}{result.overspend:5}"
        f"{result.writes / result.requests:11.3f}"
        f"{result.writes / routers:14.1f}{result.stranded:9}"
        f"{result.stranded_steps:6}{result.steps_to_full_use:8}"
    )


def run_policies(scenario, budget, routers):
    """Runs all policies on the same schedule; returns results by policy."""
    requests = budget_run.schedule(_SEED, routers)
    prepaid = _BUDGETS[budget]
    # Large budgets keep a reserve in each failure domain, which its routers can
    # use during a partition.
    reserve = prepaid // 6 if budget == "ample" else 0
    # Limits the damage of a lost solo grant to a tenth of the budget, or to the
    # reserve if that is larger.
    solo_limit = max(reserve, prepaid // 10)
    results = {
        "static": budget_run.run_static_split(requests, routers, prepaid),
        "each": budget_run.run_write_each(requests, scenario, routers, prepaid),
        "protocol": budget_run.ProtocolRun(
            requests, scenario, routers, prepaid, reserve, solo_limit
        ).run(),
    }
    for policy, result in results.items():
        print(_row(scenario, budget, routers, policy, result))
    return results


@pytest.mark.parametrize("routers", _ROUTERS)
@pytest.mark.parametrize("budget", _BUDGETS)
@pytest.mark.parametrize("scenario", budget_run.SCENARIOS, ids=lambda s: s.name)
def test_policies(scenario, budget, routers):
    print(f"\n{_HEADER}")
    results = run_policies(scenario, budget, routers)
    protocol, static = results["protocol"], results["static"]
    assert protocol.overspend == 0
    if scenario.name == "fault-free":
        assert protocol.early_false_refusals == 0
    if scenario.groups > 1:
        assert protocol.false_refusals <= static.false_refusals / 2
    if routers > 3 or not scenario.kill:
        # Three routers need solo grants, and a lost solo grant stays in doubt
        # until an operator decides.
        assert protocol.steps_to_full_use < budget_run.MAX_STEPS


@pytest.mark.parametrize("budget", _BUDGETS)
def test_writes_do_not_grow_with_the_fleet(budget):
    """Guards against ledger writes that grow with the number of routers."""
    scenario = budget_run.SCENARIOS[0]
    few, many = (run_policies(scenario, budget, n)["protocol"] for n in (3, 65))
    assert many.writes <= 2 * few.writes
