"""Selection of engines in large fleets, where no router sees all requests.

Load pattern: hundreds of routers send prompts that share parts to dozens of
engines, and each router sees a request per engine every few seconds. What a
router learns by itself is too little, and messages to all routers would grow
with the fleet. Therefore each engine has a monitor, the one router that is told
of the requests to it. Rendezvous hashing of the shared prompt part yields the
same few candidates at all routers, so that the part is cached there. The router
asks the monitor of the first candidate, and those of the others only if the
first engine is busy or slow. The number of messages per request is bounded.
"""

from collections.abc import Sequence

import xxhash

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import request as request_lib

# In a fleet of up to this size, routers announce their prompts to each other,
# and engines need no monitors.
MAX_ANNOUNCING_ROUTERS = 10
# Estimates of a monitor. It sees the answers to all routers, so it can follow a
# change of an engine faster than a router that sees few.
MONITOR_LOADS = engine_loads.EngineLoadConfig(rate_weight=0.2)
# Engines that may serve the requests with the same shared prompt part. With
# two, a part with much of the traffic overloads both.
CANDIDATES = 4
# Engines per router that monitors engines.
_ENGINES_PER_MONITOR = 2
# Wait up to which the first candidate is taken without asking for others.
_SHORT_WAIT_S = 0.1
# Slowness up to which the first candidate is taken without asking for others.
_NORMAL_SLOWNESS = 1.5
# Ratios of measured to expected times that monitors are not told.
_EXPECTED_RATIOS = (0.7, 1.4)
# Differences from expected times that monitors are not told, in seconds.
_NEGLIGIBLE_S = 0.03


def candidates(
    req: request_lib.ForwardRequest, backends: Sequence[backend_lib.Backend]
) -> list[backend_lib.Backend]:
    """Returns the engines that a request may be sent to, the first one first.

    Args:
      req: Request to send.
      backends: Engines that accept requests.
    """
    key = req.affinity_key or req.attempt_id
    ranked = sorted(backends, key=lambda b: _hash(f"{key}/{b.instance}"))
    return ranked[:CANDIDATES]


class Monitors:
    """Routers that monitor the engines of all services."""

    def __init__(self) -> None:
        self._routers: frozenset[str] = frozenset()
        self._ranked: list[str] = []

    def set_routers(self, routers: frozenset[str]) -> None:
        """Sets the names of the routers that are alive."""
        if routers != self._routers:
            self._routers = routers
            self._ranked = sorted(routers, key=lambda n: _hash(f"monitor/{n}"))

    def of(self, instance: str, engines: int) -> str:
        """Returns the name of the router that monitors an engine.

        Args:
          instance: Instance of the engine.
          engines: Number of engines of the service.
        """
        count = max(1, engines // _ENGINES_PER_MONITOR)
        return min(self._ranked[:count], key=lambda n: _hash(f"{instance}/{n}"))


def is_acceptable(quote: engine_loads.Quote) -> bool:
    """Returns whether no other candidates need to be asked."""
    return quote.wait_s <= _SHORT_WAIT_S and quote.slowness <= _NORMAL_SLOWNESS


def is_notable(expected_s: float, elapsed_s: float) -> bool:
    """Returns whether a monitor learns from the time to a first event.

    Args:
      expected_s: Expected time in seconds.
      elapsed_s: Measured time in seconds.
    """
    if expected_s <= 0:
        return False
    low, high = _EXPECTED_RATIOS
    is_expected = low <= elapsed_s / expected_s <= high
    return not is_expected and abs(elapsed_s - expected_s) > _NEGLIGIBLE_S


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
