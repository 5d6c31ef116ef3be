"""Backend selection for plain services by the observed latency of servers.

Load pattern: dozens of routers send short calls to a few servers with few slots
and different speeds. Each router has rarely more than one call in flight, so
its own count says little of the load, and routers that all take the best server
overload it. The latency of a server contains its speed and the calls of all
routers. Each router therefore draws a server at random, the faster ones more
often. No messages are needed.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import math
import random
import statistics

import attrs

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector
from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import server_capacity

# Exponents of the latency and of the calls of this router in flight. With 1, a
# loaded server loses too few requests to catch up.
_LATENCY_EXPONENT = 2.0
_IN_FLIGHT_EXPONENT = 3.0
# Weight of a server in the failure domain of the router relative to others.
_LOCAL_WEIGHT = 4.0
# Weight of a new latency in the moving geometric mean, and the bound of ratios.
# One late answer changes the mean by a third at most, and each server gets
# enough requests to show that it has recovered.
_MEAN_WEIGHT = 0.2
_MAX_RATIO = 4.0
# Shorter latencies count as this one, in seconds. Their differences are noise.
_MIN_LATENCY_S = 0.005
# A refusal counts as an answer that took longer than usual by this factor.
_REFUSED_RATIO = 2.0
# Time without answers after which a latency begins to approach the mean of all
# servers, and the time constant of that, in seconds.
_IDLE_S = 1.0
_RELAX_S = 2.0


@attrs.define
class _Latency:
    mean_s: float
    at_s: float


class LatencyWeightsSelector(backend_selector.BackendSelector):
    """Draws servers at random by latency, own calls and failure domain."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._latencies: dict[str, _Latency] = {}

    def choose(
        self,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        now_s: float,
        quotes: Mapping[str, engine_loads.Quote] | None = None,
    ) -> backend_selector.Choice:
        """See base class."""
        mean_s = self._mean_s()
        weights = [self._weight(b, mean_s, now_s) for b in candidates]
        return backend_selector.Choice(
            self._rng.choices(candidates, weights)[0]
        )

    def on_sent(
        self,
        req: request_lib.ForwardRequest,
        choice: backend_selector.Choice,
        now_s: float,
    ) -> None:
        """See base class."""
        self._in_flight[choice.backend.instance] += 1

    def on_ended(
        self,
        choice: backend_selector.Choice,
        served: server_capacity.Served,
        now_s: float,
    ) -> None:
        """See base class.

        Failures don't count, since a server that fails at once would look fast.
        """
        instance = choice.backend.instance
        self._in_flight[instance] -= 1
        if self._in_flight[instance] <= 0:
            del self._in_flight[instance]
        old_s = self._latency_s(instance, self._mean_s(), now_s)
        if served.is_refused and self._latencies:
            latency_s = _REFUSED_RATIO * old_s
        elif served.is_complete:
            latency_s = max(_MIN_LATENCY_S, served.duration_s)
        else:
            return
        if instance in self._latencies or served.is_refused:
            latency_s = old_s * _bounded(latency_s / old_s) ** _MEAN_WEIGHT
        self._latencies[instance] = _Latency(latency_s, now_s)

    def on_peer_sent(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        """See base class."""

    def retain(self, instances: Collection[str]) -> None:
        """See base class."""
        retained = frozenset(instances)
        for state in (self._latencies, self._in_flight):
            for gone in [k for k in state if k not in retained]:
                del state[gone]

    def _weight(
        self, backend: backend_lib.Backend, mean_s: float, now_s: float
    ) -> float:
        instance = backend.instance
        is_local = backend.failure_domain == self._failure_domain
        return (
            max(1, backend.slots)
            * (_LOCAL_WEIGHT if is_local else 1.0)
            * _bounded(mean_s / self._latency_s(instance, mean_s, now_s))
            ** _LATENCY_EXPONENT
            / (1 + self._in_flight[instance]) ** _IN_FLIGHT_EXPONENT
        )

    def _mean_s(self) -> float:
        """Returns the mean latency of all servers; 1 if there is none."""
        if not self._latencies:
            return 1.0
        return statistics.geometric_mean(
            latency.mean_s for latency in self._latencies.values()
        )

    def _latency_s(self, instance: str, mean_s: float, now_s: float) -> float:
        latency = self._latencies.get(instance)
        if latency is None:
            return mean_s
        idle_s = max(0.0, now_s - latency.at_s - _IDLE_S)
        return mean_s * (latency.mean_s / mean_s) ** math.exp(
            -idle_s / _RELAX_S
        )


def _bounded(ratio: float) -> float:
    return min(_MAX_RATIO, max(1 / _MAX_RATIO, ratio))
