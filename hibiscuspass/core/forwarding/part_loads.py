"""Number of engines that the load of one shared prompt part needs.

Load pattern: most shared prompt parts belong to a session and are rare, and one
of them has much of the traffic, so that the few engines where all routers send
it are overloaded. A router can't tell such a part from one whose session uses
this router only. The monitor of an engine sees the requests of all routers for
which its engine is the first candidate. It derives the load of the part from
them, and tells the routers over how many engines to spread it.
"""

from collections.abc import Collection
import math

import attrs

# The requests of one part are spread until they are about a quarter of those of
# each of its engines. Other requests go elsewhere meanwhile.
_ROOM = 4.0
# Requests per second at which an engine counts as used, so that the first
# requests with a part aren't taken for much of the traffic.
_MIN_PER_S = 1.0
_MAX_SPREAD = 64
# Time constant of the rates in seconds, and the time for which a router keeps
# the number of engines.
_RATE_S = 4.0
_KEEP_S = 4.0
# Parts of which a monitor and a router keep the state. Rare parts are dropped
# first.
_MAX_PARTS = 512


@attrs.define
class _Rate:
    per_s: float
    at_s: float

    def value(self, now_s: float) -> float:
        return self.per_s * math.exp(-(now_s - self.at_s) / _RATE_S)

    def add(self, count: int, now_s: float) -> None:
        self.per_s = self.value(now_s) + count / _RATE_S
        self.at_s = now_s


class PartLoads:
    """Rates of the requests with each prompt part, at a monitor of engines."""

    def __init__(self) -> None:
        self._parts: dict[str, _Rate] = {}
        self._engines: dict[str, _Rate] = {}

    def on_sent(self, instance: str, now_s: float) -> None:
        """Records that any request was sent to an engine."""
        rate = self._engines.setdefault(instance, _Rate(0.0, now_s))
        rate.add(1, now_s)

    def spread(
        self, part_id: str, used: int, instance: str, now_s: float
    ) -> int:
        """Records a request for which an engine is the first candidate.

        Args:
          part_id: Shared prompt part.
          used: Number of engines from which the router took the first one at
            random, so that the request stands for as many.
          instance: Instance of the engine.
          now_s: Current time on a monotonic clock.

        Returns:
          Number of engines for the part.
        """
        if part_id not in self._parts and len(self._parts) >= _MAX_PARTS:
            self._drop_rare(now_s)
        rate = self._parts.setdefault(part_id, _Rate(0.0, now_s))
        rate.add(max(1, used), now_s)
        engine = self._engines.get(instance)
        usual_per_s = max(_MIN_PER_S, engine.value(now_s) if engine else 0.0)
        needed = math.ceil(_ROOM * rate.per_s / usual_per_s)
        return max(1, min(_MAX_SPREAD, needed))

    def retain(self, instances: Collection[str]) -> None:
        """Drops the state of all engines except the given instances."""
        retained = frozenset(instances)
        self._engines = {
            k: v for k, v in self._engines.items() if k in retained
        }

    def _drop_rare(self, now_s: float) -> None:
        ranked = sorted(
            self._parts, key=lambda part_id: self._parts[part_id].value(now_s)
        )
        for part_id in ranked[: _MAX_PARTS // 2]:
            del self._parts[part_id]


class Spreads:
    """Numbers of engines by prompt part, as monitors told a router."""

    def __init__(self) -> None:
        self._spreads: dict[str, tuple[int, float]] = {}

    def set(self, part_id: str, spread: int, now_s: float) -> None:
        """Records what a monitor said."""
        self._spreads.pop(part_id, None)
        if spread <= 1:
            return
        if len(self._spreads) >= _MAX_PARTS:
            del self._spreads[next(iter(self._spreads))]
        self._spreads[part_id] = (spread, now_s)

    def get(self, part_id: str, now_s: float) -> int:
        """Returns the number of engines of a part; 1 if none is known."""
        spread, at_s = self._spreads.get(part_id, (1, now_s))
        return spread if now_s - at_s < _KEEP_S else 1
