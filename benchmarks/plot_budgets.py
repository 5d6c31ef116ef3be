"""Plots the false refusals of the budget policies.

Run `python -m benchmarks.plot_budgets docs/images/budget_policies.png`.
"""

import matplotlib

matplotlib.use("Agg")

import defopt
from matplotlib import pyplot as plt
import numpy as np

from benchmarks import budget_run
from benchmarks import test_budget_policies

_ROUTERS = 9
_POLICIES = {
    "static": "equal static split",
    "each": "one ledger write per request",
    "protocol": "grants with a witness",
}
_BAR_WIDTH = 0.27


def _false_refusals(budget: str) -> dict[str, list[int]]:
    runs = [
        test_budget_policies.run_policies(scenario, budget, _ROUTERS)
        for scenario in budget_run.SCENARIOS
    ]
    return {p: [r[p].false_refusals for r in runs] for p in _POLICIES}


def main(path: str) -> None:
    """Runs the schedules and writes the plot.

    Args:
      path: PNG file to write.
    """
    figure, axes = plt.subplots(1, 2, figsize=(11, 4.2), sharey=True)
    scenarios = [scenario.name for scenario in budget_run.SCENARIOS]
    positions = np.arange(len(scenarios))
    for axis, budget in zip(axes, ("thin", "ample"), strict=True):
        counts = _false_refusals(budget)
        for i, (policy, label) in enumerate(_POLICIES.items()):
            axis.barh(
                positions + (i - 1) * _BAR_WIDTH,
                counts[policy],
                _BAR_WIDTH,
                label=label,
            )
        axis.set_yticks(positions, scenarios)
        axis.set_title(f"{budget} budget, {_ROUTERS} routers")
        axis.set_xlabel("false refusals of about 915 requests")
    axes[0].invert_yaxis()
    axes[1].legend(loc="upper right")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    defopt.run(main)
