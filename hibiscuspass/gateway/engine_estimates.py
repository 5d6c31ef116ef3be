"""Log lines and measures of the engines that this router monitors."""

from collections.abc import Collection
from collections.abc import Mapping

import attrs
import structlog

from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import server_capacity

_log = structlog.get_logger(__name__)

# Change of the speed or the capacity that gets a log line, as a factor, and the
# shortest time between two lines about one engine in seconds.
_LARGE_CHANGE = 2.0
_LOG_INTERVAL_S = 2.0
# Engines that are measured, and the time after their last observation. A router
# monitors two engines or so, and others while the fleet changes.
_MAX_MEASURED = 16
_MEASURED_S = 60.0


@attrs.frozen
class Measured:
    """Estimate of one engine.

    Attributes:
      engine: Id of the engine.
      speed: Speed relative to the mean of the service.
      capacity: Number of requests that the engine takes well.
      in_flight: Number of requests whose end is not known.
    """

    engine: str
    speed: float
    capacity: float
    in_flight: int


def measure(
    loads: Mapping[str, engine_loads.EngineLoads], now_s: float
) -> list[Measured]:
    """Returns the estimates of the engines with recent observations.

    Args:
      loads: Estimates by service.
      now_s: Current time on a monotonic clock.
    """
    recent = [
        _measure(instance, estimate, now_s)
        for service in loads.values()
        for instance, estimate in service.estimates()
        if now_s - estimate.sampled_s < _MEASURED_S
    ]
    return recent[:_MAX_MEASURED]


class EstimatesLog:
    """Logs large changes of the estimates."""

    def __init__(self) -> None:
        self._logged: dict[str, tuple[Measured, float]] = {}

    def on_sample(
        self,
        service: str,
        instance: str,
        estimate: server_capacity.ServerCapacity,
        now_s: float,
    ) -> None:
        """Logs the estimate if it differs much from the last line.

        Args:
          service: Service of the engine.
          instance: Instance of the engine.
          estimate: Estimate after an observation.
          now_s: Current time on a monotonic clock.
        """
        new = _measure(instance, estimate, now_s)
        old, logged_s = self._logged.setdefault(instance, (new, now_s))
        if now_s - logged_s < _LOG_INTERVAL_S or not (
            _is_large(old.speed, new.speed)
            or _is_large(old.capacity, new.capacity)
        ):
            return
        self._logged[instance] = (new, now_s)
        _log.info(
            "estimate of an engine changed",
            engine=new.engine,
            service=service,
            speed=round(new.speed, 2),
            speed_before=round(old.speed, 2),
            capacity=round(new.capacity, 1),
            capacity_before=round(old.capacity, 1),
            in_flight=new.in_flight,
        )

    def retain(self, instances: Collection[str]) -> None:
        """Drops the state of all engines except the given instances."""
        retained = frozenset(instances)
        self._logged = {k: v for k, v in self._logged.items() if k in retained}


def _measure(
    instance: str, estimate: server_capacity.ServerCapacity, now_s: float
) -> Measured:
    return Measured(
        instance,
        estimate.speed(now_s),
        estimate.capacity(now_s),
        estimate.in_flight,
    )


def _is_large(old: float, new: float) -> bool:
    return max(old, new) >= _LARGE_CHANGE * min(old, new)
