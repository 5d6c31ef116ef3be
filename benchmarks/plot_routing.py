"""Plots the time to the first token under each routing policy.

Run `python -m benchmarks.plot_routing docs/images/routing_policies.png`.
"""

import matplotlib

matplotlib.use("Agg")

import defopt
from matplotlib import pyplot as plt
import numpy as np

from benchmarks import routing_run
from benchmarks import routing_scenario

_SEED = 1
_TARGET_MS = 810.0
_BAR_WIDTH = 0.2


def main(path: str) -> None:
    """Runs each scenario once and writes the plot.

    Args:
      path: PNG file to write.
    """
    figure, axes = plt.subplots(1, 2, figsize=(11, 5.5), sharey=True)
    scenarios = routing_scenario.SCENARIOS
    positions = np.arange(len(scenarios))
    deployments = (routing_scenario.CASABLANCA, routing_scenario.CROATIA)
    for axis, deployment in zip(axes, deployments, strict=True):
        for i, policy in enumerate(routing_scenario.POLICIES):
            axis.barh(
                positions + (i - 1.5) * _BAR_WIDTH,
                [
                    routing_run.Run(deployment, scenario, policy, _SEED)
                    .run()
                    .first_p95
                    for scenario in scenarios
                ],
                _BAR_WIDTH,
                label=policy,
            )
        axis.axvline(_TARGET_MS, color="black", linestyle="--", linewidth=1)
        axis.set_xscale("log")
        axis.set_yticks(positions, [scenario.name for scenario in scenarios])
        axis.set_title(deployment.name)
        axis.set_xlabel("p95 time to the first token, ms; dashed: target")
    axes[0].invert_yaxis()
    handles, labels = axes[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="lower center", ncols=len(labels))
    figure.tight_layout(rect=(0.0, 0.05, 1.0, 1.0))
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    defopt.run(main)
