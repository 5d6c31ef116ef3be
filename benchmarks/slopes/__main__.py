"""Prints all slopes: `python -m benchmarks.slopes`."""

import json

import defopt

from benchmarks.slopes import budgets
from benchmarks.slopes import configuration
from benchmarks.slopes import membership
from benchmarks.slopes import peers
from benchmarks.slopes import routing


def main(*, as_json: bool = False) -> None:
    """Measures and prints the cost of each unit of load.

    Args:
      as_json: Print JSON instead of a table.
    """
    parts = (peers, budgets, configuration, routing, membership)
    slopes = [s for part in parts for s in part.measure()]
    if as_json:
        print(json.dumps({s.name: s.value for s in slopes}, indent=1))
        return
    for s in slopes:
        print(f"{s.name:36} {s.value:10.3f} {s.unit:4} per {s.per}")


if __name__ == "__main__":
    defopt.run(main)
