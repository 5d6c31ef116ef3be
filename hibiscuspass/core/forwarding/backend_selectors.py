"""Backend selection for all services, with ejection of failing servers."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import random

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector
from hibiscuspass.core.forwarding import latency_weights
from hibiscuspass.core.forwarding import prompt_cost
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.retry import ejection as ejection_lib

# Creates the selector of a service; None stands for a plain service.
Factory = Callable[[route_lib.Engine | None], backend_selector.BackendSelector]

# Returns the service with a given name, if the configuration has one.
ServiceLookup = Callable[[str], route_lib.Service | None]


class BackendSelectors:
    """One selector per service, which passes servers that have failed."""

    def __init__(
        self,
        make: Factory,
        rng: random.Random,
        ejection: ejection_lib.EjectionTracker,
    ) -> None:
        self._make = make
        self._rng = rng
        self._ejection = ejection
        self._selectors: dict[str, backend_selector.BackendSelector] = {}

    def of(
        self, service: route_lib.Service
    ) -> backend_selector.BackendSelector:
        """Returns the selector of a service."""
        selector = self._selectors.get(service.name)
        if selector is None:
            selector = self._make(service.engine)
            self._selectors[service.name] = selector
        return selector

    def retain(self, backends: Sequence[backend_lib.Backend]) -> None:
        """Drops the state of all servers except the given ones."""
        ids = [b.instance for b in backends]
        self._ejection.retain(ids)
        for selector in self._selectors.values():
            selector.retain(ids)

    def choose(
        self,
        service: route_lib.Service,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        excluded: Collection[str],
        now_s: float,
    ) -> backend_selector.Choice | None:
        """Returns the server to send to; None if all candidates are excluded.

        Ejected servers are used only if there are no others.
        """
        usable = self.usable(candidates, excluded, now_s)
        if not usable:
            return None
        return self.of(service).choose(req, usable, now_s)

    def usable(
        self,
        candidates: Sequence[backend_lib.Backend],
        excluded: Collection[str],
        now_s: float,
    ) -> list[backend_lib.Backend]:
        """Returns the servers that a request may be sent to.

        Ejected servers are among them only if there are no others.
        """
        remaining = [b for b in candidates if b.backend_id not in excluded]
        healthy = [
            b
            for b in remaining
            if self._rng.random() < self._ejection.weight(b.instance, now_s)
        ]
        return healthy or remaining

    def on_unreachable(self, instance: str, now_s: float) -> None:
        """Ejects a server that accepted no connection.

        The server is not ejected if too many others are.
        """
        self._ejection.eject(instance, now_s)

    def on_result(
        self, instance: str, *, succeeded: bool, now_s: float
    ) -> None:
        """Records whether a server processed a request successfully."""
        if succeeded:
            self._ejection.on_success(instance, now_s)
        else:
            self._ejection.on_failure(instance, now_s)


def make_selectors(
    failure_domain: str, seed: int, ejection: ejection_lib.EjectionTracker
) -> BackendSelectors:
    """Creates the selectors of one router.

    Args:
      failure_domain: Failure domain of the router.
      seed: Random seed, which has to differ between routers so that they don't
        all choose the same servers.
      ejection: Failures of all servers.
    """
    rng = random.Random(seed)

    def make(
        engine: route_lib.Engine | None,
    ) -> backend_selector.BackendSelector:
        if engine is None:
            return latency_weights.LatencyWeightsSelector(failure_domain, rng)
        return prompt_cost.PromptCostSelector(
            prompt_cost.PromptCostConfig(), failure_domain, rng, engine
        )

    return BackendSelectors(make, rng, ejection)
