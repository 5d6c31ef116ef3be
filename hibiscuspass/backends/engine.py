"""Interface of model engines and the types of its requests and replies."""

import abc
from collections.abc import AsyncIterator
from collections.abc import Mapping
from typing import Any

import attrs

from hibiscuspass.core import refusal


@attrs.frozen
class EngineRequest:
    """One completion to run on an engine.

    Attributes:
      request_id: Unique id, by which the stream can be resumed.
      path: API path, `/v1/chat/completions` or `/v1/completions`.
      body: JSON body as sent by the caller, with `stream` set to true.
      priority: Larger values run first.
      output_limit: Maximum number of tokens to generate.
    """

    request_id: str
    path: str
    body: Mapping[str, Any]
    priority: int
    output_limit: int


@attrs.frozen
class Usage:
    """Token counts of a request as reported by the engine."""

    prompt_tokens: int
    output_tokens: int
    cached_tokens: int = 0


@attrs.frozen
class TokenEvent:
    """One server-sent event of a completion stream.

    Attributes:
      data: Raw JSON payload of the event, without the `data: ` prefix.
      tokens: Generated tokens in this event.
      usage: Token counts of the whole request; set on the last event only.
      finished: Whether this is the last event of a complete stream.
      index: Index of the event in the stream, from 0; a resume with offset N
        starts at index N.
    """

    data: bytes
    tokens: int
    index: int
    usage: Usage | None = None
    finished: bool = False


@attrs.frozen
class LoadReport:
    """Load of an engine as it was at `measured_at_s`.

    Attributes:
      engine: Name of the backend server.
      measured_at_s: Unix time of the measurement in seconds, engine clock.
      running: Requests in the current batch.
      waiting: Requests in the engine's queue.
      queued_prompt_tokens: Prompt tokens not yet processed.
      kv_cache_used: Fraction of the KV cache in use, 0 to 1.
      models: Loaded models.
      adapters: Loaded adapters.
      draining: Whether the engine asks not to receive new requests.
    """

    engine: str
    measured_at_s: float
    running: int
    waiting: int
    queued_prompt_tokens: int
    kv_cache_used: float
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    draining: bool = False


@attrs.frozen
class CacheEvent:
    """A change of an engine's prefix cache.

    Attributes:
      engine: Name of the backend server.
      sequence: Number of the event; a skipped number means a lost event.
      stored: Hashes of the blocks that were added to the cache.
      evicted: Hashes of the blocks that were removed from the cache.
    """

    engine: str
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


@attrs.frozen
class Order:
    """Desired state of an engine.

    An order contains the whole state rather than a change to it, so that it
    can be sent more than once.

    Attributes:
      fence: Fencing token of the sender.
      generation: Number of the desired state; it increases per engine.
      models: Model names and versions to have loaded.
      adapters: Adapters to have loaded.
      role: `serve`, `prefill`, `decode` or `drain`.
    """

    fence: int
    generation: int
    models: Mapping[str, str]
    adapters: tuple[str, ...]
    role: str


@attrs.frozen
class EngineState:
    """State that an engine reports, with the last order that it applied."""

    fence: int
    generation: int
    models: Mapping[str, str]
    adapters: tuple[str, ...]
    role: str


class Engine(abc.ABC):
    """One model engine.

    The streams yield `TokenEvent`s and, if the stream ends before its final
    event, one `Refusal` as the last item. Its `run` is `NO` only if no byte
    reached the engine or the engine answered that it refuses the request.
    """

    name: str

    @abc.abstractmethod
    def complete(
        self, req: EngineRequest, *, idle_timeout_s: float
    ) -> AsyncIterator[TokenEvent | refusal.Refusal]:
        """Runs a completion."""

    @abc.abstractmethod
    def resume(
        self, request_id: str, offset: int, *, idle_timeout_s: float
    ) -> AsyncIterator[TokenEvent | refusal.Refusal]:
        """Continues a stream at event index `offset`.

        The refusal is `NOT_FOUND` if the engine does not know the request.
        """

    @abc.abstractmethod
    async def cancel(
        self, request_id: str, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Cancels a request; it is no error if the request is unknown."""

    @abc.abstractmethod
    async def load_report(
        self, *, timeout_s: float
    ) -> LoadReport | refusal.Refusal:
        """Reads the current load report."""

    @abc.abstractmethod
    def cache_events(self) -> AsyncIterator[CacheEvent]:
        """Yields cache events until the connection is lost."""

    @abc.abstractmethod
    async def send_order(
        self, order: Order, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Sends an order.

        The refusal is `STALE` if the engine rejects the fencing token.
        """

    @abc.abstractmethod
    async def state(self, *, timeout_s: float) -> EngineState | refusal.Refusal:
        """Reads the engine's state and the last order that it applied."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
