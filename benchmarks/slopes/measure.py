"""Runs all measurements."""

from benchmarks.slopes import budgets
from benchmarks.slopes import configuration
from benchmarks.slopes import membership
from benchmarks.slopes import peers
from benchmarks.slopes import routing
from benchmarks.slopes import slope


def measure_all() -> list[slope.Slope]:
    """Returns the costs of all subsystems."""
    modules = (peers, budgets, configuration, routing, membership)
    return [s for module in modules for s in module.measure()]
