"""Permits to send to backend servers that accept few requests.

Load pattern: a server in need names how many requests per second it accepts
from all routers together, at times less than one for each of hundreds of
routers. A fixed share for each router is useless to all of them, and one
request for each router is too much. Therefore each limited server has a
keeper, the one router that gives permits, each for one send. Without a keeper
that answers there is no permit.

Routers may disagree on which of them is the keeper while some of them start,
end or are cut off. Two keepers together don't give more than one and a half
times the limit.
"""

import random

import attrs
import xxhash

# Share of the limit for which a keeper gives permits.
LIMIT_SHARE = 0.75
# A server that accepts no requests is asked at this rate, since it can only say
# in an answer that it accepts some again.
_MIN_PER_S = 1 / 30
# Time after the start of a router until it has read the list of routers.
_SETTLE_S = 3.5
# Random addition to the time after which a router may ask again, as a share of
# the time between two permits, for each request without a permit since the last
# one. The number of messages per permit grows with the square root of the
# number of routers that ask.
_SPREAD_SHARE = 0.5
# Largest addition that is due to their number. The end of a limit is noticed
# after it.
_MAX_SPREAD_S = 5.0
_MIN_RETRY_S = 0.05
# Time without a request for a permit after which a server is forgotten.
_FORGET_AFTER_S = 120.0


@attrs.frozen
class Decision:
    """Whether one request may be sent.

    Attributes:
      is_granted: Whether it may.
      retry_s: If not, time after which a permit may be asked for again, in
        seconds.
    """

    is_granted: bool
    retry_s: float = 0.0


@attrs.define
class _Bucket:
    """Permits that have accrued for one server."""

    per_s: float
    updated_s: float
    permits: float = 0.0
    # Requests without a permit since the last permit.
    denied: int = 0

    def update(self, per_s: float, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.permits = min(1.0, self.permits + elapsed_s * self.per_s)
        self.per_s = per_s
        self.updated_s = now_s

    def take(self) -> bool:
        """Takes one permit; returns whether there was one."""
        if self.permits < 1.0:
            self.denied += 1
            return False
        self.permits -= 1.0
        self.denied = 0
        return True

    @property
    def max_spread_s(self) -> float:
        """Largest random addition to the time until the next permit."""
        least_s = _SPREAD_SHARE / self.per_s
        return max(least_s, min(_MAX_SPREAD_S, self.denied * least_s))


class PermitKeeper:
    """Gives permits for the servers that this router is the keeper of.

    All times are seconds of a monotonic clock.
    """

    def __init__(self, rng: random.Random, started_s: float) -> None:
        self._rng = rng
        self._settled_s = started_s + _SETTLE_S
        self._buckets: dict[str, _Bucket] = {}
        self._forget_s = started_s

    def decide(
        self, instance: str, limit_per_s: float, now_s: float
    ) -> Decision:
        """Decides about one request to a server.

        Args:
          instance: Instance of the server.
          limit_per_s: Newest limit of the server.
          now_s: Current time.
        """
        self._forget_idle(now_s)
        if now_s < self._settled_s:
            return Decision(False, self._settled_s - now_s)
        per_s = max(_MIN_PER_S, LIMIT_SHARE * limit_per_s)
        bucket = self._buckets.get(instance)
        if bucket is None:
            bucket = self._buckets[instance] = _Bucket(per_s, now_s)
        bucket.update(per_s, now_s)
        if bucket.take():
            return Decision(True)
        retry_s = (1.0 - bucket.permits) / per_s
        spread_s = self._rng.uniform(0.0, bucket.max_spread_s)
        return Decision(False, max(_MIN_RETRY_S, retry_s + spread_s))

    def _forget_idle(self, now_s: float) -> None:
        if now_s < self._forget_s:
            return
        self._forget_s = now_s + _FORGET_AFTER_S
        self._buckets = {
            instance: bucket
            for instance, bucket in self._buckets.items()
            if now_s - bucket.updated_s < _FORGET_AFTER_S
        }


def is_majority(live: int, known: int) -> bool:
    """Returns whether a router sees enough others to be a keeper.

    Args:
      live: Number of routers that answer, the router itself included.
      known: Number of known routers, the router itself included.
    """
    return 2 * live >= known


def keeper_of(instance: str, routers: frozenset[str]) -> str:
    """Returns the name of the router that gives the permits for a server.

    Args:
      instance: Instance of the server.
      routers: Names of the routers that are alive, at least one.
    """
    return min(
        routers,
        key=lambda name: (
            xxhash.xxh64_intdigest(f"limit/{instance}/{name}".encode()),
            name,
        ),
    )
