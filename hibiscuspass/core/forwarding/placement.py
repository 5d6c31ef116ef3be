"""Chooses the backend server of a request.

Load pattern: many routers see only their own requests; prompts that share
parts are cheap on the server that read them before; servers differ in speed,
turn slow, or fail.
"""

import abc
from collections.abc import Collection
from collections.abc import Sequence
import random

import attrs
import xxhash

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.retry import ejection as ejection_lib


@attrs.frozen
class PlacementConfig:
    """How servers are chosen.

    Attributes:
      failure_domain: Failure domain of this router.
      home_load: Multiple of the mean load up to which a prompt stays on the
        server that has its shared parts.
      home_slack: Requests beyond that multiple that make no difference.
      ejection: When failing servers are left out.
    """

    failure_domain: str = ""
    home_load: float = 1.5
    home_slack: float = 3.0
    ejection: ejection_lib.EjectionConfig = ejection_lib.EjectionConfig(
        consecutive_failures=3, base_s=1.0, max_s=8.0, ramp_s=2.0
    )


class Placement(abc.ABC):
    """Chooses servers from the router's own observations; free of I/O."""

    @abc.abstractmethod
    def choose(
        self,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        excluded: Collection[str],
        now_s: float,
    ) -> backend_lib.Backend | None:
        """Returns the server to send to; None if there is none."""

    @abc.abstractmethod
    def on_sent(self, backend_id: str) -> None:
        """Records that a request was sent."""

    @abc.abstractmethod
    def on_ended(self, backend_id: str, succeeded: bool, now_s: float) -> None:
        """Records the end of a request."""


class AffinityPlacement(Placement):
    """Keeps prompts with shared parts together unless their server is busy.

    All routers derive the same home server from a hash, without messages.
    Requests without a prompt go to the server with the fewest own requests.
    """

    def __init__(self, cfg: PlacementConfig, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._ejection = ejection_lib.EjectionTracker(cfg.ejection, rng)
        self._tracked: frozenset[str] = frozenset()

    def retain(self, backend_ids: Collection[str]) -> None:
        """Sets the known servers and forgets the failures of others."""
        ids = frozenset(backend_ids)
        if ids != self._tracked:
            self._tracked = ids
            self._ejection.retain(ids)

    def choose(
        self,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        excluded: Collection[str],
        now_s: float,
    ) -> backend_lib.Backend | None:
        """See base class."""
        usable = [b for b in candidates if b.backend_id not in excluded]
        sound = [
            b
            for b in usable
            if self._rng.random() < self._ejection.weight(b.backend_id, now_s)
        ]
        pool = sound or usable
        if not pool:
            return None
        if req.affinity_key:
            home = max(pool, key=lambda b: _rank(req.affinity_key, b))
            mean = sum(self._load(b) for b in pool) / len(pool)
            bound = self._cfg.home_load * mean + self._cfg.home_slack
            if self._load(home) <= bound:
                return home
        return min(pool, key=self._preference)

    def on_sent(self, backend_id: str) -> None:
        """See base class."""
        self._in_flight[backend_id] = self._in_flight.get(backend_id, 0) + 1

    def on_ended(self, backend_id: str, succeeded: bool, now_s: float) -> None:
        """See base class."""
        left = self._in_flight.get(backend_id, 0) - 1
        if left > 0:
            self._in_flight[backend_id] = left
        else:
            self._in_flight.pop(backend_id, None)
        if succeeded:
            self._ejection.on_success(backend_id, now_s)
        else:
            self._ejection.on_failure(backend_id, now_s)

    def _load(self, backend: backend_lib.Backend) -> int:
        return self._in_flight.get(backend.backend_id, 0)

    def _preference(
        self, backend: backend_lib.Backend
    ) -> tuple[float, bool, float]:
        per_slot = self._load(backend) / max(1, backend.slots)
        remote = backend.failure_domain != self._cfg.failure_domain
        return per_slot, remote, self._rng.random()


def _rank(key: str, backend: backend_lib.Backend) -> int:
    return xxhash.xxh64_intdigest(f"{key} {backend.backend_id}".encode())


def make_placement(cfg: PlacementConfig, seed: int) -> AffinityPlacement:
    """Makes the placement of one router.

    Args:
      cfg: How servers are chosen.
      seed: Seed of the random choices; differs between routers.
    """
    return AffinityPlacement(cfg, random.Random(seed))
