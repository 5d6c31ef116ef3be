"""Fakes of engines, plain services and the key-value service."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from hibiscuspass.backends import engine
from hibiscuspass.backends import kv_store
from hibiscuspass.backends import service
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state


def token_event(
    index: int, text: str, *, chat: bool = True
) -> engine.TokenEvent:
    """Returns a token event with one token of text."""
    content = {"delta": {"content": text}} if chat else {"text": text}
    data = msgspec.json.encode({"choices": [{"index": 0, **content}]})
    return engine.TokenEvent(data=data, tokens=1, index=index)


def final_event(
    index: int, prompt_tokens: int, output_tokens: int
) -> engine.TokenEvent:
    """Returns the final event of a stream, with its token counts."""
    data = msgspec.json.encode(
        {"choices": [], "usage": {"completion_tokens": output_tokens}}
    )
    return engine.TokenEvent(
        data=data,
        tokens=0,
        index=index,
        usage=engine.Usage(prompt_tokens, output_tokens),
        finished=True,
    )


def complete_stream(*texts: str) -> list[engine.TokenEvent | refusal.Refusal]:
    """Returns the events of a complete stream, one token event per text."""
    events = [token_event(i, text) for i, text in enumerate(texts)]
    return [*events, final_event(len(texts), 3, len(texts))]


# As a step of a script, makes the stream wait forever.
HANG = "hang"
Step = engine.TokenEvent | refusal.Refusal | str


class FakeEngine(engine.Engine):
    """Engine that yields scripted streams, one per call.

    Attributes:
      completions: Scripts of the next calls of `complete`.
      resumes: Scripts of the next calls of `resume`.
      calls: Names of the calls so far, with the request or the offset.
      cancelled: Ids of the cancelled requests.
      hanging: Set when a stream reaches the step `HANG`.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.completions: list[list[Step]] = []
        self.resumes: list[list[Step]] = []
        self.calls: list[tuple[str, object]] = []
        self.cancelled: list[str] = []
        self.hanging = asyncio.Event()

    async def complete(
        self, req: engine.EngineRequest, *, idle_timeout_s: float
    ) -> AsyncIterator[engine.TokenEvent | refusal.Refusal]:
        self.calls.append(("complete", req))
        async for item in self._play(self.completions.pop(0)):
            yield item

    async def resume(
        self, request_id: str, offset: int, *, idle_timeout_s: float
    ) -> AsyncIterator[engine.TokenEvent | refusal.Refusal]:
        self.calls.append(("resume", offset))
        async for item in self._play(self.resumes.pop(0)):
            yield item

    async def _play(self, steps: list[Step]):
        for step in steps:
            if isinstance(step, str):
                self.hanging.set()
                await asyncio.Event().wait()
            else:
                await asyncio.sleep(0)
                yield step

    async def cancel(self, request_id, *, timeout_s):
        self.cancelled.append(request_id)

    async def load_report(self, *, timeout_s):
        raise NotImplementedError

    def cache_events(self):
        raise NotImplementedError

    async def send_order(self, order, *, timeout_s):
        raise NotImplementedError

    async def state(self, *, timeout_s):
        raise NotImplementedError

    async def close(self) -> None:
        pass


class FakeService(service.Service):
    """Service that returns scripted outcomes.

    Without a script it echoes path and body with status 201.

    Attributes:
      calls: Requests received so far.
      outcomes: Outcomes of the next calls.
      gate: If set, calls wait for this event before they return.
      started: Set when a call arrives.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.calls: list[service.ServiceRequest] = []
        self.outcomes: list[service.ServiceResponse | refusal.Refusal] = []
        self.gate: asyncio.Event | None = None
        self.started = asyncio.Event()

    async def call(self, req, *, timeout_s):
        self.calls.append(req)
        self.started.set()
        if self.gate is not None:
            await self.gate.wait()
        if self.outcomes:
            return self.outcomes.pop(0)
        return service.ServiceResponse(201, {"X-Echo": req.path}, req.body)

    async def close(self) -> None:
        pass


class FakeKv(kv_store.KvStore):
    """Key-value store in memory, with compare-and-swap and reads of one key.

    Attributes:
      entries: Stored values by key.
      revision: Current revision of the store.
      failures: Outcomes of the next writes: whether the write takes effect,
        and the refusal that is returned. Later writes succeed.
    """

    def __init__(self) -> None:
        self.entries: dict[str, kv_store.KeyValue] = {}
        self.revision = 0
        self.failures: list[tuple[bool, refusal.Refusal]] = []

    async def get(self, key, *, timeout_s):
        await asyncio.sleep(0)
        found = self.entries.get(key)
        return kv_store.ReadResult(
            (found,) if found is not None else (), self.revision
        )

    async def get_prefix(self, prefix, *, timeout_s):
        raise NotImplementedError

    async def compare_and_swap(
        self, key, expected_revision, value, *, lease_id=0, timeout_s
    ):
        await asyncio.sleep(0)
        if self.failures:
            effective, refused = self.failures.pop(0)
            if effective:
                self._swap(key, expected_revision, value)
            return refused
        return self._swap(key, expected_revision, value)

    def _swap(self, key, expected_revision, value):
        current = self.entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            return kv_store.CasResult(False, 0, current)
        self.revision += 1
        if value is None:
            # As in the service, an absent key can be deleted.
            self.entries.pop(key, None)
        else:
            self.entries[key] = kv_store.KeyValue(key, value, self.revision)
        return kv_store.CasResult(True, self.revision)

    async def grant_lease(self, ttl_s, *, timeout_s):
        raise NotImplementedError

    async def keep_alive(self, lease_id, *, timeout_s):
        raise NotImplementedError

    async def revoke_lease(self, lease_id, *, timeout_s):
        raise NotImplementedError

    def watch(self, prefix, from_revision):
        raise NotImplementedError


def unreachable_refusal(detail: str = "refused") -> refusal.Refusal:
    """Returns the refusal for a connection on which no byte was sent."""
    return refusal.Refusal(reason.Reason.BACKEND_UNREACHABLE, detail)


def connection_lost_refusal(detail: str = "cut") -> refusal.Refusal:
    """Returns the refusal for a connection lost after the request was sent."""
    return refusal.Refusal(
        reason.Reason.BACKEND_LOST, detail, run_state.RunState.UNKNOWN
    )
