"""One request on the engine test server, with its events."""

import asyncio
from typing import Any

import attrs
import msgspec


@attrs.define(eq=False)
class Run:
    """A request with the events generated so far.

    Attributes:
      request_id: Id of the request.
      chat: Whether it is a chat completion.
      model: Model name.
      priority: Requests with larger values run first.
      prompt_tokens: Length of the prompt.
      cached_tokens: Prompt tokens found in the prefix cache.
      prefill_remaining: Prompt tokens still to be processed.
      output_limit: Tokens after which generation ends.
      state: `queued`, `running`, `finished`, `cancelled` or `lost`.
      generated: Tokens generated.
      events: Server-sent events, ready to be written.
      finished_s: Time at which it ended; the retention period starts then.
    """

    request_id: str
    chat: bool
    model: str
    priority: int
    prompt_tokens: int
    cached_tokens: int
    prefill_remaining: int
    output_limit: int
    state: str = "queued"
    generated: int = 0
    events: list[bytes] = attrs.field(factory=list)
    finished_s: float = 0.0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def ended(self) -> bool:
        """Whether no further event follows."""
        return self.state not in ("queued", "running")

    def start(self) -> None:
        """Starts the output; a chat begins with an event without tokens."""
        self.state = "running"
        if self.chat:
            self._emit([self._choice({"role": "assistant", "content": ""})])

    def generate(self, tokens: int = 1) -> None:
        """Appends one event with `tokens` tokens."""
        first = self.generated
        self.generated += tokens
        # Tests see from the id in the text to which request a token belongs.
        text = "".join(
            f" {self.request_id[-8:]}.{i}" for i in range(first, self.generated)
        )
        ids = list(range(first, self.generated))
        delta = {"content": text} if self.chat else text
        self._emit([self._choice(delta, ids)])

    def end(self, state: str, reason: str, now_s: float) -> None:
        """Appends the finish reason, the usage and the `[DONE]` event."""
        delta: Any = {} if self.chat else ""
        choice = self._choice(delta)
        choice["finish_reason"] = reason
        self._emit([choice])
        self._emit([], usage=self.usage())
        self._append(b"[DONE]")
        self.finished_s = now_s
        self.state = state
        self._notify()

    def mark_lost(self) -> None:
        """Ends the run without a final event, as a crash does."""
        self.state = "lost"
        self._notify()

    def usage(self) -> dict[str, Any]:
        """Returns the usage object."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt_tokens + self.generated,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    async def wait(self, index: int) -> None:
        """Waits until an event at `index` exists or the run has ended."""
        while index >= len(self.events) and not self.ended:
            await self._changed.wait()

    def _choice(
        self, delta: Any, token_ids: list[int] | None = None
    ) -> dict[str, Any]:
        content = {"delta": delta} if self.chat else {"text": delta}
        choice = {"index": 0, **content, "finish_reason": None}
        # The list is only needed to count the tokens of an event with several.
        if token_ids and len(token_ids) > 1:
            choice["token_ids"] = token_ids
        return choice

    def _emit(
        self, choices: list[dict[str, Any]], usage: dict[str, Any] | None = None
    ) -> None:
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        chunk: dict[str, Any] = {
            "id": self.request_id,
            "object": kind,
            "model": self.model,
            "choices": choices,
        }
        if usage:
            chunk["usage"] = usage
        self._append(msgspec.json.encode(chunk))

    def _append(self, data: bytes) -> None:
        self.events.append(b"id: %d\ndata: %b\n\n" % (len(self.events), data))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
