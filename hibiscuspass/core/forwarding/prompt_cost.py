"""Backend selection for engines by the expected time to the first event.

Prompts differ widely in length and share parts, which an engine finds in its
prefix cache. A long prompt delays all later requests on the same engine.
Routers therefore announce prompts to each other when they send them, so that
two routers don't send long prompts to one engine while others are idle.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import random
import statistics

import attrs

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector
from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import server_capacity


@attrs.frozen
class PromptCostConfig:
    """Parameters of the cost of a request on an engine.

    Attributes:
      loads: Parameters of the estimated work of engines.
      prefill_weight: Weight of the delay that the prefill of a request causes
        for the requests after it, relative to its own delay.
      full_cost_s: Cost of a request on an engine with as many requests as it
        takes well, in seconds.
      pause_weight: Weight of the time between the events of the answer.
      remote_cost_s: Cost of an engine in another failure domain, in seconds.
      tie_tolerance_s: Difference in cost up to which engines count as equal, in
        seconds.
    """

    loads: engine_loads.EngineLoadConfig = attrs.field(
        factory=engine_loads.EngineLoadConfig
    )
    prefill_weight: float = 1.0
    full_cost_s: float = 0.3
    pause_weight: float = 0.2
    remote_cost_s: float = 0.005
    tie_tolerance_s: float = 0.002

    def cost_s(self, quote: engine_loads.Quote, events: int) -> float:
        """Returns the cost of a request in seconds.

        Args:
          quote: What the request is expected to meet at the engine.
          events: Expected number of events of the answer.
        """
        return (
            quote.wait_s
            + (1.0 + self.prefill_weight) * quote.prefill_s
            + self.load_cost_s(quote, events)
        )

    def load_cost_s(self, quote: engine_loads.Quote, events: int) -> float:
        """Returns the part of the cost that doesn't depend on the prompt."""
        return (
            self.full_cost_s * quote.load
            + self.pause_weight * events * quote.pause_s
        )


class PromptCostSelector(backend_selector.BackendSelector):
    """Selects the engine with the lowest cost of a request.

    The cost is the expected wait for the prompts sent before, the weighted
    prefill time of the request, the load relative to the learned capacity, the
    pauses between the events, and a small cost of another failure domain.
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
            (known[b.instance], b) for b in candidates if b.instance in known
        ]
        if len(options) < len(candidates):
            options = self._with_own_quotes(req, candidates, known, now_s)
        events = self._loads.expected_events(req.max_output_tokens)
        costs = [
            (self._cost_s(quote, b, events), quote, b) for quote, b in options
        ]
        limit = min(cost for cost, _, _ in costs) + self._cfg.tie_tolerance_s
        quote, backend = self._rng.choice(
            [(quote, b) for cost, quote, b in costs if cost <= limit]
        )
        return backend_selector.Choice(
            backend, quote.new_tokens, quote.expected_s
        )

    def _with_own_quotes(
        self,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        known: Mapping[str, engine_loads.Quote],
        now_s: float,
    ) -> list[tuple[engine_loads.Quote, backend_lib.Backend]]:
        """Adds estimates from what this router knows.

        Their loads are at least the mean of the known ones, since a router that
        sees few requests would take engines for idle whose monitors don't
        answer.
        """
        typical = self._loads.typical(now_s)
        least = statistics.fmean(q.load for q in known.values()) if known else 0
        options = []
        for b in candidates:
            quote = known.get(b.instance)
            if quote is None:
                own = self._loads.quote(
                    b.instance,
                    req.prompt_parts,
                    req.input_tokens,
                    now_s,
                    typical,
                )
                quote = attrs.evolve(own, load=max(least, own.load))
            options.append((quote, b))
        return options

    def _cost_s(
        self,
        quote: engine_loads.Quote,
        backend: backend_lib.Backend,
        events: int,
    ) -> float:
        cost_s = self._cfg.cost_s(quote, events)
        if backend.failure_domain != self._failure_domain:
            cost_s += self._cfg.remote_cost_s
        return cost_s

    def on_sent(
        self,
        req: request_lib.ForwardRequest,
        choice: backend_selector.Choice,
        now_s: float,
    ) -> None:
        """See base class."""
        self._loads.on_sent(
            choice.backend.instance, req.prompt_parts, choice.new_tokens, now_s
        )

    def on_ended(
        self,
        choice: backend_selector.Choice,
        served: server_capacity.Served,
        now_s: float,
    ) -> None:
        """See base class."""
        self._loads.on_ended(
            choice.backend.instance, served, choice.expected_s, now_s
        )

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
