"""A cost per unit of load and functions that measure it."""

from collections.abc import Callable
import gc
import statistics
import time
import tracemalloc

import attrs


@attrs.frozen
class Slope:
    """A measured cost per unit of load.

    Attributes:
      name: Dotted name, for example `peer.message.cpu`.
      value: Cost per unit.
      unit: Unit of the value, for example `us`.
      per: Unit of load, for example `message`.
    """

    name: str
    value: float
    unit: str
    per: str


# Calls of the measured function: one to warm up, then the measured ones.
_REPEATS = 5
RUNS = 1 + _REPEATS


def cpu_us(step: Callable[[], object], units: int) -> float:
    """Returns the median CPU time of `step` in microseconds per unit.

    Args:
      step: Function that processes `units` units of load.
      units: Number of units per call.
    """
    step()
    times = []
    for _ in range(_REPEATS):
        start = time.process_time()
        step()
        times.append(time.process_time() - start)
    return statistics.median(times) / units * 1e6


def retained_bytes(build: Callable[[], object], units: int) -> float:
    """Returns the memory in bytes per unit that `build`'s result retains."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / units
