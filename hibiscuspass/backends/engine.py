"""Model engines: completions, load reports, cache events and orders."""

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
      request_id: Unique id; a resume refers to it.
      path: API path, `/v1/chat/completions` or `/v1/completions`.
      body: JSON body as sent by the caller, with `stream` set to true.
      priority: Larger values run first.
      output_limit: Maximum number of generated tokens.
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
      usage: Final usage, on the last event only.
      finished: Whether the engine ended the stream; later events do not exist.
      index: Position of the event in the stream, from 0; a resume with offset
        N starts at index N.
    """

    data: bytes
    tokens: int
    index: int
    usage: Usage | None = None
    finished: bool = False


@attrs.frozen
class LoadReport:
    """Load of an engine as it was at `at_s`.

    Attributes:
      engine: Name of the backend server.
      at_s: Unix time of the measurement in seconds, engine clock.
      running: Requests in the current batch.
      waiting: Requests in the engine's queue.
      queued_prompt_tokens: Prompt tokens not yet processed.
      kv_cache_used: Share of the KV cache in use, 0 to 1.
      models: Loaded models.
      adapters: Loaded adapters.
      draining: Whether the engine asks for no new work.
    """

    engine: str
    at_s: float
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
      sequence: Number of the event; a jump shows a gap.
      stored: Block hashes now in the cache.
      evicted: Block hashes no longer in the cache.
    """

    engine: str
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


@attrs.frozen
class Order:
    """Desired state of an engine; absolute, so that repeats are harmless.

    Attributes:
      fence: Fencing token of the sender.
      generation: Number of the desired state, increasing per engine.
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
    """What an engine reports about its orders."""

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
        """Continues a stream at an event index; `NOT_FOUND` if unknown."""

    @abc.abstractmethod
    async def cancel(
        self, request_id: str, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Stops a request; unknown requests are no error."""

    @abc.abstractmethod
    async def load(self, *, timeout_s: float) -> LoadReport | refusal.Refusal:
        """Reads the current load report."""

    @abc.abstractmethod
    def cache_events(self) -> AsyncIterator[CacheEvent]:
        """Yields cache events; ends when the connection is lost."""

    @abc.abstractmethod
    async def send_order(
        self, order: Order, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Sends an order; `STALE` if the engine refuses its fencing token."""

    @abc.abstractmethod
    async def state(self, *, timeout_s: float) -> EngineState | refusal.Refusal:
        """Reads what the engine has loaded."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
