"""Estimated work and prefix caches of the engines of one service.

The estimate follows the prompts that were sent to each engine. It doesn't
decide anything, see `prompt_cost` and `load_quotes`.
"""

from collections.abc import Collection
from collections.abc import Sequence

import attrs

from hibiscuspass.core.forwarding import prefix_cache_model
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib

# Bounds of the measured relative to the expected time to the first event. A
# single very late event must not decide about an engine.
_MAX_RATIO = 4.0
_MIN_SLOWNESS = 0.5


@attrs.frozen
class EngineLoadConfig:
    """Parameters of the estimate.

    Attributes:
      initial_rate: Prefill rate in prompt tokens per second that is assumed
        before the first response.
      rate_weight: Weight of a new observation in the moving averages.
      cache_share: Share of the KV cache of an engine that is assumed to keep
        earlier prompts.
    """

    initial_rate: float = 20_000.0
    rate_weight: float = 0.1
    cache_share: float = 0.6


@attrs.frozen
class Quote:
    """What a request is expected to meet at an engine.

    Attributes:
      new_tokens: Prompt tokens that the prefix cache does not contain.
      wait_s: Expected time until earlier prompts are processed, in seconds.
      prefill_s: Expected time to process the prompt, in seconds.
      slowness: Measured relative to expected times of the engine.
    """

    new_tokens: int
    wait_s: float
    prefill_s: float
    slowness: float = 1.0

    @property
    def expected_s(self) -> float:
        """Expected time to the first event in seconds."""
        return self.wait_s + self.prefill_s


@attrs.define
class _EngineState:
    prefix_cache: prefix_cache_model.PrefixCacheModel
    busy_until_s: float = 0.0
    slowness: float = 1.0


class EngineLoads:
    """Estimates of all engines. All times are seconds of a monotonic clock."""

    def __init__(self, cfg: EngineLoadConfig, engine: route_lib.Engine) -> None:
        self._cfg = cfg
        self._capacity = int(cfg.cache_share * engine.kv_capacity)
        self._rate = cfg.initial_rate
        self._engines: dict[str, _EngineState] = {}

    def quote(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        input_tokens: int,
        now_s: float,
    ) -> Quote:
        """Returns what a request is expected to meet at an engine."""
        state = self._state(instance)
        cached = state.prefix_cache.cached_prefix_tokens(parts)
        new_tokens = max(0, input_tokens - cached)
        return Quote(
            new_tokens,
            max(0.0, state.busy_until_s - now_s),
            self._prefill_s(new_tokens, state),
            state.slowness,
        )

    def add_work(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        """Records that a prompt was sent to an engine."""
        state = self._state(instance)
        state.prefix_cache.on_prefill(parts)
        state.busy_until_s = max(now_s, state.busy_until_s) + self._prefill_s(
            new_tokens, state
        )

    def on_first_event(
        self,
        instance: str,
        new_tokens: int,
        expected_s: float,
        elapsed_s: float,
    ) -> None:
        """Records the time from the send of a prompt to the first event."""
        state = self._state(instance)
        weight = self._cfg.rate_weight
        if expected_s > 0:
            ratio = elapsed_s / expected_s
            state.slowness += weight * (min(_MAX_RATIO, ratio) - state.slowness)
            state.slowness = max(_MIN_SLOWNESS, state.slowness)
        if new_tokens and elapsed_s > 0:
            rate = new_tokens / elapsed_s
            # The elapsed time includes queueing, which makes prefill look slow,
            # so higher rates get more weight.
            gain = weight if rate > self._rate else weight / 8
            self._rate += gain * (rate - self._rate)

    def retain(self, instances: Collection[str]) -> None:
        """Drops the state of all engines except the given instances."""
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

    def _prefill_s(self, tokens: int, state: _EngineState) -> float:
        return state.slowness * tokens / self._rate
