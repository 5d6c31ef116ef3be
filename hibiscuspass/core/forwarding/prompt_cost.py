"""Backend selection for engines by the expected time to the first event.

Prompts differ widely in length and share parts, which an engine finds in its
prefix cache. A long prompt delays all later requests on the same engine.
Routers therefore announce prompts to each other when they send them, so that
two routers don't send long prompts to one engine while others are idle.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import random

import attrs

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector
from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib


@attrs.frozen
class PromptCostConfig:
    """Parameters of the cost of a request on an engine.

    Attributes:
      loads: Parameters of the estimated work of engines.
      prefill_weight: Weight of the delay that the prefill of a request causes
        for the requests after it, relative to its own delay.
      in_flight_cost_s: Cost of each request of this router that is in flight on
        the engine, in seconds.
      tie_tolerance_s: Difference in cost up to which engines count as equal, in
        seconds.
    """

    loads: engine_loads.EngineLoadConfig = attrs.field(
        factory=engine_loads.EngineLoadConfig
    )
    prefill_weight: float = 1.0
    in_flight_cost_s: float = 0.002
    tie_tolerance_s: float = 0.005

    def cost_s(self, quote: engine_loads.Quote, in_flight: int) -> float:
        """Returns the cost of a request in seconds.

        Args:
          quote: What the request is expected to meet at the engine.
          in_flight: Requests of this router that are in flight there.
        """
        return (
            quote.wait_s
            + (1.0 + self.prefill_weight) * quote.prefill_s
            + self.in_flight_cost_s * in_flight
        )


class PromptCostSelector(backend_selector.BackendSelector):
    """Selects the engine with the lowest cost of a request.

    The cost is the expected wait for the prompts sent before, plus the weighted
    prefill time of the request, plus a small cost per request in flight.
    """

    def __init__(
        self,
        cfg: PromptCostConfig,
        failure_domain: str,
        rng: random.Random,
        engine: route_lib.Engine,
    ) -> None:
        self._cfg = cfg
        self._failure_domain = failure_domain
        self._rng = rng
        self._loads = engine_loads.EngineLoads(cfg.loads, engine)
        self._in_flight: collections.Counter[str] = collections.Counter()

    def choose(
        self,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        now_s: float,
        quotes: Mapping[str, engine_loads.Quote] | None = None,
    ) -> backend_selector.Choice:
        """See base class."""
        known = quotes or {}
        options = [
            (
                known.get(b.instance)
                or self._loads.quote(
                    b.instance, req.prompt_parts, req.input_tokens, now_s
                ),
                b,
            )
            for b in candidates
        ]
        costs = [
            (self._cfg.cost_s(quote, self._in_flight[b.instance]), quote, b)
            for quote, b in options
        ]
        limit = min(cost for cost, _, _ in costs) + self._cfg.tie_tolerance_s
        near = [(quote, b) for cost, quote, b in costs if cost <= limit]
        local = [
            (quote, b)
            for quote, b in near
            if b.failure_domain == self._failure_domain
        ]
        quote, backend = self._rng.choice(local or near)
        return backend_selector.Choice(
            backend, quote.new_tokens, quote.expected_s
        )

    def on_sent(
        self,
        req: request_lib.ForwardRequest,
        choice: backend_selector.Choice,
        now_s: float,
    ) -> None:
        """See base class."""
        instance = choice.backend.instance
        self._in_flight[instance] += 1
        self._loads.add_work(
            instance, req.prompt_parts, choice.new_tokens, now_s
        )

    def on_first_event(
        self, choice: backend_selector.Choice, elapsed_s: float, now_s: float
    ) -> None:
        """See base class."""
        self._loads.on_first_event(
            choice.backend.instance,
            choice.new_tokens,
            choice.expected_s,
            elapsed_s,
        )

    def on_ended(self, choice: backend_selector.Choice) -> None:
        """See base class."""
        instance = choice.backend.instance
        self._in_flight[instance] -= 1
        if self._in_flight[instance] <= 0:
            del self._in_flight[instance]

    def on_peer_sent(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        """See base class."""
        self._loads.add_work(instance, parts, new_tokens, now_s)

    def retain(self, instances: Collection[str]) -> None:
        """See base class."""
        self._loads.retain(instances)
        retained = frozenset(instances)
        for gone in [n for n in self._in_flight if n not in retained]:
            del self._in_flight[gone]
