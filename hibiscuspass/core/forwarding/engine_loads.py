"""Estimated work, speed and prefix caches of the engines of one service.

The estimate follows the prompts that were sent to each engine and the ends of
their answers, see `server_capacity`. It doesn't decide anything, see
`prompt_cost` and `load_quotes`.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import statistics

import attrs

from hibiscuspass.core.forwarding import prefix_cache_model
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import server_capacity

# An answer of more events counts as one of this many, since callers state the
# largest number of tokens and not the expected one.
_MAX_EVENTS = 16


@attrs.frozen
class EngineLoadConfig:
    """Parameters of the estimate.

    Attributes:
      capacity: Parameters of the estimated speed and capacity.
      cache_share: Share of the KV cache of an engine that is assumed to keep
        earlier prompts.
    """

    capacity: server_capacity.CapacityConfig = attrs.field(
        factory=server_capacity.CapacityConfig
    )
    cache_share: float = 0.6


@attrs.frozen
class Quote:
    """What a request is expected to meet at an engine.

    Attributes:
      new_tokens: Prompt tokens that the prefix cache does not contain.
      wait_s: Expected time until earlier prompts are processed and a slot is
        free, in seconds.
      prefill_s: Expected time to process the prompt, in seconds.
      load: Requests in flight with this one relative to the capacity.
      token_s: Time to read a prompt token in seconds.
      pause_s: Time between two events in seconds; 0 if unknown.
    """

    new_tokens: int
    wait_s: float
    prefill_s: float
    load: float = 0.0
    token_s: float = 0.0
    pause_s: float = 0.0

    @property
    def expected_s(self) -> float:
        """Expected time to the first event in seconds."""
        return self.wait_s + self.prefill_s + self.pause_s


@attrs.define
class _EngineState:
    prefix_cache: prefix_cache_model.PrefixCacheModel
    capacity: server_capacity.ServerCapacity
    busy_until_s: float = 0.0


class EngineLoads:
    """Estimates of all engines. All times are seconds of a monotonic clock."""

    def __init__(self, cfg: EngineLoadConfig, engine: route_lib.Engine) -> None:
        self._cfg = cfg
        self._engine = engine
        self._cache_tokens = int(cfg.cache_share * engine.kv_capacity)
        self._engines: dict[str, _EngineState] = {}

    def quote(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        input_tokens: int,
        now_s: float,
        typical: server_capacity.Typical | None = None,
    ) -> Quote:
        """Returns what a request is expected to meet at an engine.

        Args:
          instance: Instance of the engine.
          parts: Parts of the prompt.
          input_tokens: Number of tokens of the prompt.
          now_s: Current time.
          typical: Means of the engines of the service, if they are known.
        """
        state = self._state(instance, now_s)
        if typical is not None:
            state.capacity.set_typical(typical)
        cached = state.prefix_cache.cached_prefix_tokens(parts)
        new_tokens = max(0, input_tokens - cached)
        token_s = state.capacity.token_s(now_s)
        return Quote(
            new_tokens,
            max(0.0, state.busy_until_s - now_s) + state.capacity.slot_wait_s(),
            token_s * new_tokens,
            state.capacity.load(now_s),
            token_s,
            state.capacity.pause_s(now_s),
        )

    def add_work(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        """Records that an engine has to process a prompt."""
        state = self._state(instance, now_s)
        state.prefix_cache.on_prefill(parts)
        state.busy_until_s = (
            max(now_s, state.busy_until_s)
            + state.capacity.token_s(now_s) * new_tokens
        )

    def on_sent(
        self,
        instance: str,
        parts: Sequence[request_lib.PromptPart],
        new_tokens: int,
        now_s: float,
    ) -> None:
        """Records that a request was sent whose end will be recorded too."""
        self.add_work(instance, parts, new_tokens, now_s)
        self._state(instance, now_s).capacity.on_sent(now_s)

    def on_not_sent(self, instance: str, now_s: float) -> None:
        """Records that the last recorded request was not sent after all."""
        self._state(instance, now_s).capacity.on_not_sent(now_s)

    def on_ended(
        self,
        instance: str,
        served: server_capacity.Served,
        expected_s: float,
        now_s: float,
    ) -> server_capacity.ServerCapacity:
        """Records the end of a request; returns the estimate of the engine.

        Args:
          instance: Instance of the engine.
          served: What was observed of the request.
          expected_s: Expected time to the first event; 0 if unknown.
          now_s: Current time.
        """
        state = self._state(instance, now_s)
        state.capacity.on_ended(served, expected_s, now_s)
        return state.capacity

    def expected_events(self, max_output_tokens: int) -> int:
        """Returns the number of events of an answer that its cost counts."""
        per_event = max(1, self._engine.tokens_per_event)
        return min(_MAX_EVENTS, -(-max_output_tokens // per_event))

    def typical(self, now_s: float) -> server_capacity.Typical:
        """Returns the means of all engines."""
        if not self._engines:
            return server_capacity.Typical()
        estimates = [s.capacity for s in self._engines.values()]
        pauses_s = [p for e in estimates if (p := e.pause_s(now_s))]
        return server_capacity.Typical(
            statistics.fmean(e.load(now_s) for e in estimates),
            statistics.fmean(e.token_s(now_s) for e in estimates),
            statistics.fmean(pauses_s) if pauses_s else 0.0,
        )

    def estimates(
        self,
    ) -> Iterator[tuple[str, server_capacity.ServerCapacity]]:
        """Yields the instance of each engine with its estimate."""
        for instance, state in self._engines.items():
            yield instance, state.capacity

    def retain(self, instances: Collection[str]) -> None:
        """Drops the state of all engines except the given instances."""
        retained = frozenset(instances)
        self._engines = {
            name: state
            for name, state in self._engines.items()
            if name in retained
        }

    def _state(self, instance: str, now_s: float) -> _EngineState:
        state = self._engines.get(instance)
        if state is None:
            state = _EngineState(
                prefix_cache_model.PrefixCacheModel(self._cache_tokens),
                server_capacity.ServerCapacity(
                    self._cfg.capacity, self._engine.slots, now_s
                ),
            )
            self._engines[instance] = state
        return state
