"""Prints the cost per unit of load: `python -m benchmarks.slopes`."""

import json

import defopt

from benchmarks.slopes import measure


def main(*, as_json: bool = False) -> None:
    """Measures and prints the cost of each unit of load.

    Args:
      as_json: Print JSON instead of a table.
    """
    slopes = measure.measure_all()
    if as_json:
        print(json.dumps({s.name: s.value for s in slopes}, indent=1))
        return
    for s in slopes:
        print(f"{s.name:36} {s.value:10.3f} {s.unit:4} per {s.per}")


if __name__ == "__main__":
    defopt.run(main)
