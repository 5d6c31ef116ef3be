"""Backend selection for engines by the expected time to the first event.

Prompts differ widely in length and share parts, which an engine finds in its
prefix cache. A long prompt delays all later requests on the same engine.
Routers therefore announce prompts to each other when they send them, so that
two routers don't send long prompts to one engine while others are idle.
"""

from collections.abc import Collection
from collections.abc import Sequence
import random

import attrs

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector
from hibiscuspass.core.forwarding import prefix_cache_model
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib


@attrs.frozen
class PromptCostConfig:
    """Parameters of the cost of a request on an engine.

    Attributes:
      initial_rate: Prefill rate in prompt tokens per second that is assumed
        before the first response.
      rate_weight: Weight of a new observation in the moving averages.
      cache_share: Share of the KV cache of an engine that is assumed to keep
        earlier prompts.
      prefill_weight: Weight of the delay that the prefill of a request causes
        for the requests after it, relative to its own delay.
      in_flight_cost_s: Cost of each request of this router that is in flight on
        the engine, in seconds.
      tie_tolerance_s: Difference in cost up to which engines count as equal, in
        seconds.
    """

    initial_rate: float = 20_000.0
    rate_weight: float = 0.1
    cache_share: float = 0.6
    prefill_weight: float = 1.0
    in_flight_cost_s: float = 0.002
    tie_tolerance_s: float = 0.005


@attrs.define
class _EngineState:
    prefix_cache: prefix_cache_model.PrefixCacheModel
    busy_until_s: float = 0.0
    slowness: float = 1.0
    in_flight: int = 0


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
        self._capacity = int(cfg.cache_share * engine.kv_capacity)
        self._rate = cfg.initial_rate
        self._engines: dict[str, _EngineState] = {}

    def choose(
        self,
        req: request_lib.ForwardRequest,
        candidates: Sequence[backend_lib.Backend],
        now_s: float,
    ) -> backend_selector.Choice:
        """See base class."""
        costs = [(self._cost(req, b, now_s), b) for b in candidates]
        least = min(cost for cost, _ in costs)
        near = [
            b for cost, b in costs if cost <= least + self._cfg.tie_tolerance_s
        ]
        local = [b for b in near if b.failure_domain == self._failure_domain]
        backend = self._rng.choice(local or near)
        state = self._state(backend.instance)
        new_tokens = self._new_tokens(req, state)
        expected_s = self._wait_s(state, now_s) + self._prefill_s(
            new_tokens, state
        )
        return backend_selector.Choice(backend, new_tokens, expected_s)

    def on_sent(
        self,
        req: request_lib.ForwardRequest,
        choice: backend_selector.Choice,
        now_s: float,
    ) -> None:
        """See base class."""
        state = self._state(choice.backend.instance)
        state.in_flight += 1
        self._add_work(state, req.prompt_parts, choice.new_tokens, now_s)

    def on_first_event(
        self, choice: backend_selector.Choice, elapsed_s: float, now_s: float
    ) -> None:
        """See base class."""
        state = self._state(choice.backend.instance)
        weight = self._cfg.rate_weight
        if choice.expected_s > 0:
            ratio = elapsed_s / choice.expected_s
            state.slowness += weight * (min(4.0, ratio) - state.slowness)
            state.slowness = max(0.5, state.slowness)
        if choice.new_tokens and elapsed_s > 0:
            rate = choice.new_tokens / elapsed_s
            # The elapsed time includes queueing, which makes prefill look slow,
            # so higher rates get more weight.
            gain = weight if rate > self._rate else weight / 8
            self._rate += gain * (rate - self._rate)

    def on_ended(self, choice: backend_selector.Choice) -> None:
        """See base class."""
        state = self._engines.get(choice.backend.instance)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)

    def on_peer_sent(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        """See base class."""
        self._add_work(self._state(instance), parts, new_tokens, now_s)

    def retain(self, instances: Collection[str]) -> None:
        """See base class."""
        retained = frozenset(instances)
        self._engines = {
            name: state
            for name, state in self._engines.items()
            if name in retained
        }

    def _state(self, instance: str) -> _EngineState:
        state = self._engines.get(instance)
        if state is None:
            state = _EngineState(
                prefix_cache_model.PrefixCacheModel(self._capacity)
            )
            self._engines[instance] = state
        return state

    def _cost(
        self,
        req: request_lib.ForwardRequest,
        backend: backend_lib.Backend,
        now_s: float,
    ) -> float:
        state = self._state(backend.instance)
        prefill_s = self._prefill_s(self._new_tokens(req, state), state)
        return (
            self._wait_s(state, now_s)
            + (1.0 + self._cfg.prefill_weight) * prefill_s
            + self._cfg.in_flight_cost_s * state.in_flight
        )

    def _add_work(
        self,
        state: _EngineState,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        state.prefix_cache.on_prefill(parts)
        state.busy_until_s = max(now_s, state.busy_until_s) + self._prefill_s(
            new_tokens, state
        )

    def _new_tokens(
        self, req: request_lib.ForwardRequest, state: _EngineState
    ) -> int:
        cached = state.prefix_cache.cached_prefix_tokens(req.prompt_parts)
        return max(0, req.input_tokens - cached)

    def _prefill_s(self, tokens: int, state: _EngineState) -> float:
        return state.slowness * tokens / self._rate

    def _wait_s(self, state: _EngineState, now_s: float) -> float:
        return max(0.0, state.busy_until_s - now_s)
