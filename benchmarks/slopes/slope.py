"""One measured slope and the ways to measure it."""

from collections.abc import Callable
import gc
import statistics
import time
import tracemalloc

import attrs


@attrs.frozen
class Slope:
    """A measured cost per unit.

    Attributes:
      name: Dotted name, for example `peer.exchange.cpu`.
      value: Cost per unit.
      unit: Unit of the value, for example `us`.
      per: What the cost is counted per, for example `message`.
    """

    name: str
    value: float
    unit: str
    per: str


# Calls of the measured step: one to warm up, then the measured ones.
_REPEATS = 5
RUNS = 1 + _REPEATS


def cpu_us(step: Callable[[], object], units: int) -> float:
    """Returns the median CPU time in microseconds per unit of `step`.

    Args:
      step: Does `units` units of work.
      units: Number of units.
    """
    step()
    times = []
    for _ in range(_REPEATS):
        start = time.process_time()
        step()
        times.append(time.process_time() - start)
    return statistics.median(times) / units * 1e6


def retained_bytes(build: Callable[[], object], units: int) -> float:
    """Returns the memory in bytes per unit that the result of `build` holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / units
