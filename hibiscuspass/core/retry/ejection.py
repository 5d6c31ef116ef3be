"""Ejection of failing backend servers and their gradual return."""

from collections.abc import Iterable
import random

import attrs


@attrs.frozen
class EjectionConfig:
    """When backend servers are ejected and how they return.

    Attributes:
      consecutive_failures: Failures in a row that eject a backend server.
      base_s: Length of the first ejection in seconds; doubles each time.
      max_s: Longest ejection in seconds.
      ramp_s: Time from the end of an ejection to full weight in seconds.
      initial_weight: Weight at the end of an ejection.
      max_ejected_share: Largest share of backend servers ejected at once. If
        more of them fail, the fault is more likely on the router's side of the
        network.
    """

    consecutive_failures: int = 3
    base_s: float = 2.0
    max_s: float = 30.0
    ramp_s: float = 5.0
    initial_weight: float = 0.1
    max_ejected_share: float = 0.5


@attrs.define
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    ever_ejected: bool = False


class EjectionTracker:
    """Tracks successes and failures per backend server."""

    def __init__(self, cfg: EjectionConfig, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._records: dict[str, _Record] = {}

    def retain(self, backends: Iterable[str]) -> None:
        """Sets the tracked backend servers and forgets all others."""
        self._records = {
            name: self._records.get(name, _Record()) for name in backends
        }

    def on_success(self, backend: str, now_s: float) -> None:
        """Records a successful request."""
        record = self._records.get(backend)
        if record is None:
            return
        record.failures = 0
        if now_s >= record.ejected_until_s + self._cfg.ramp_s:
            record.ejections = 0

    def on_failure(self, backend: str, now_s: float) -> None:
        """Records a failed request; may eject the backend server."""
        record = self._records.get(backend)
        if record is None or now_s < record.ejected_until_s:
            return
        record.failures += 1
        # While the weight ramps up, one failure is enough to eject again.
        is_ramping = self.weight(backend, now_s) < 1.0
        if is_ramping or record.failures >= self._cfg.consecutive_failures:
            self.eject(backend, now_s)

    def eject(self, backend: str, now_s: float) -> bool:
        """Ejects a backend server unless too many are ejected already.

        Returns:
          Whether the backend server was ejected by this call.
        """
        record = self._records.get(backend)
        if record is None or now_s < record.ejected_until_s:
            return False
        ejected = sum(r.ejected_until_s > now_s for r in self._records.values())
        if ejected + 1 > self._cfg.max_ejected_share * len(self._records):
            return False
        length_s = min(
            self._cfg.max_s, self._cfg.base_s * 2.0**record.ejections
        )
        # Jitter keeps the routers from using the server again all at once.
        record.ejected_until_s = now_s + length_s * self._rng.uniform(0.8, 1.2)
        record.ejections = min(record.ejections + 1, 16)
        record.failures = 0
        record.ever_ejected = True
        return True

    def weight(self, backend: str, now_s: float) -> float:
        """Returns 0 during an ejection, then a weight that rises to 1."""
        record = self._records.get(backend)
        if record is None or not record.ever_ejected:
            return 1.0
        since_s = now_s - record.ejected_until_s
        if since_s < 0:
            return 0.0
        if since_s >= self._cfg.ramp_s:
            return 1.0
        low = self._cfg.initial_weight
        return low + (1.0 - low) * since_s / self._cfg.ramp_s
