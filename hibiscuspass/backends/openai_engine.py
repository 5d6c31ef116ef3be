"""Model engines behind an OpenAI-style HTTP API."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib
from typing import Any
import urllib.parse

import msgspec

from hibiscuspass.backends import byte_stream
from hibiscuspass.backends import completion_events
from hibiscuspass.backends import engine
from hibiscuspass.backends import engine_load
from hibiscuspass.backends import http_client
from hibiscuspass.backends import sse
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

_Item = engine.TokenEvent | refusal.Refusal

# Engines send a comment more often than this on a quiet event stream.
_CACHE_EVENTS_IDLE_S = 20.0
_ERROR_BODY_BYTES = 4096
_ERROR_BODY_TIMEOUT_S = 1.0
# Engines send the terminator together with the last event.
_TERMINATOR_WAIT_S = 0.1
_INVALID_STATUSES = frozenset({400, 413, 422})


class _CacheChange(msgspec.Struct):
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class OpenAiEngine(engine.Engine):
    """Adapter to one engine at one address."""

    def __init__(
        self,
        name: str,
        base_url: str,
        *,
        cache_events_idle_s: float = _CACHE_EVENTS_IDLE_S,
    ) -> None:
        self.name = name
        self._client = http_client.HttpClient(base_url)
        self._cache_events_idle_s = cache_events_idle_s

    def complete(
        self, req: engine.EngineRequest, *, idle_timeout_s: float
    ) -> AsyncIterator[_Item]:
        """Runs a completion."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": req.request_id,
            "X-Priority": str(req.priority),
        }
        return self._stream(
            "POST",
            req.path,
            headers,
            msgspec.json.encode(_request_body(req)),
            req.request_id,
            None,
            idle_timeout_s,
        )

    def resume(
        self, request_id: str, offset: int, *, idle_timeout_s: float
    ) -> AsyncIterator[_Item]:
        """Continues a stream at an event index.

        `run` of a refusal is never `NO`: it concerns the request, which was
        dispatched before.
        """
        path = f"{_request_path(request_id)}/stream?offset={offset}"
        headers = {"X-Request-Id": request_id}
        return self._stream(
            "GET", path, headers, None, request_id, offset, idle_timeout_s
        )

    async def cancel(
        self, request_id: str, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Stops a request; unknown requests are no error."""
        path = f"{_request_path(request_id)}/cancel"
        reply = await self._call("POST", path, timeout_s)
        if isinstance(reply, refusal.Refusal) or reply.status in (200, 404):
            return reply if isinstance(reply, refusal.Refusal) else None
        return self._unexpected(path, reply)

    async def load(
        self, *, timeout_s: float
    ) -> engine.LoadReport | refusal.Refusal:
        """Reads the current load report."""
        reply = await self._call("GET", "/metrics", timeout_s)
        if isinstance(reply, refusal.Refusal):
            return reply
        if reply.status != 200:
            return self._unexpected("/metrics", reply)
        try:
            return engine_load.parse_load(self.name, reply.body.decode())
        except ValueError as exc:
            return self._refuse(reason_lib.Reason.UNAVAILABLE, str(exc))

    async def cache_events(self) -> AsyncIterator[engine.CacheEvent]:
        """Yields cache events; ends when the connection is lost."""
        exchange = await self._client.open(
            "GET", "/v1/cache/events", timeout_s=self._cache_events_idle_s
        )
        if isinstance(exchange, http_client.Failure):
            return
        stream = byte_stream.ByteStream(exchange, self._cache_events_idle_s)
        parser = sse.SseParser()
        decode = msgspec.json.Decoder(_CacheChange).decode
        try:
            while exchange.response.status == 200:
                chunk = await stream.read()
                if isinstance(chunk, http_client.Failure) or not chunk:
                    return
                for event_id, data in parser.feed(chunk):
                    change = decode(data)
                    yield engine.CacheEvent(
                        self.name, int(event_id), change.stored, change.evicted
                    )
        except (msgspec.MsgspecError, ValueError):
            return
        finally:
            await stream.close()

    async def send_order(
        self, order: engine.Order, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Sends an order; `STALE` if the engine refuses its fencing token."""
        path = "/v1/orders"
        reply = await self._call(
            "POST", path, timeout_s, msgspec.json.encode(order)
        )
        if isinstance(reply, refusal.Refusal):
            return reply
        if reply.status == 409:
            return self._refuse(
                reason_lib.Reason.STALE,
                f"order {order.fence}/{order.generation}: {_excerpt(reply)}",
            )
        return None if reply.status == 200 else self._unexpected(path, reply)

    async def state(
        self, *, timeout_s: float
    ) -> engine.EngineState | refusal.Refusal:
        """Reads what the engine has loaded."""
        path = "/v1/state"
        reply = await self._call("GET", path, timeout_s)
        if isinstance(reply, refusal.Refusal):
            return reply
        if reply.status != 200:
            return self._unexpected(path, reply)
        try:
            return msgspec.json.decode(reply.body, type=engine.EngineState)
        except msgspec.MsgspecError as exc:
            return self._refuse(reason_lib.Reason.UNAVAILABLE, str(exc))

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def _stream(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        request_id: str,
        offset: int | None,
        idle_s: float,
    ) -> AsyncIterator[_Item]:
        try:
            exchange = await self._client.open(
                method, path, headers=headers, body=body, timeout_s=idle_s
            )
        except asyncio.CancelledError:
            await self._on_cancelled()
            raise
        # The first attempt alone may conclude that the request did not run.
        dispatched = offset is not None
        if isinstance(exchange, http_client.Failure):
            yield self._failed(exchange, certain=not dispatched)
            return
        stream = byte_stream.ByteStream(exchange, idle_s)
        events = completion_events.CompletionEvents(offset or 0)
        try:
            refused = await self._check(exchange, request_id, dispatched)
            if refused:
                yield refused
                return
            read, feed = stream.read, events.feed
            while not events.finished:
                chunk = await read()
                if not chunk or isinstance(chunk, http_client.Failure):
                    yield await self._cut(chunk, events)
                    return
                for event in feed(chunk):
                    yield event
            # The body's terminator follows; reading it keeps the connection.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TERMINATOR_WAIT_S):
                    await read()
        except completion_events.StreamError as exc:
            detail, partial = exc.args
            for event in partial:
                yield event
            exchange.abort()
            yield self._lost(detail, events)
        except asyncio.CancelledError:
            await self._on_cancelled()
            raise
        finally:
            await stream.close()

    async def _on_cancelled(self) -> None:
        """Gives up idle connections when a wait for the engine is cancelled.

        The caller's silence limit may be shorter than the adapter's, so the
        cancellation may be due to silence, as in `_cut`.
        """
        await self._client.retire()

    async def _check(
        self,
        exchange: http_client.Exchange,
        request_id: str,
        dispatched: bool,
    ) -> refusal.Refusal | None:
        response = exchange.response
        if response.status != 200:
            return await self._refused(exchange, dispatched)
        answered = response.headers.get("X-Request-Id")
        if answered != request_id:
            exchange.abort()
            return self._refuse(
                reason_lib.Reason.BACKEND_LOST,
                f"answer for request {answered!r}: expected {request_id!r}",
                run=run_state.RunState.UNKNOWN,
            )
        return None

    async def _refused(
        self, exchange: http_client.Exchange, dispatched: bool
    ) -> refusal.Refusal:
        response = exchange.response
        detail = f"status {response.status} {await _error_text(exchange)}"
        run = run_state.RunState.UNKNOWN
        if response.headers.get("X-Not-Run") == "1" and not dispatched:
            run = run_state.RunState.NO
        reason = reason_lib.Reason.BACKEND_REFUSED
        if dispatched and response.status == 404:
            reason = reason_lib.Reason.NOT_FOUND
        elif response.status in _INVALID_STATUSES:
            reason = reason_lib.Reason.INVALID_REQUEST
        elif run is not run_state.RunState.NO:
            reason = reason_lib.Reason.BACKEND_LOST
        return self._refuse(
            reason,
            detail,
            run=run,
            retry_after_s=http_client.retry_after_s(response.headers),
        )

    async def _cut(
        self,
        ended: bytes | http_client.Failure,
        events: completion_events.CompletionEvents,
    ) -> refusal.Refusal:
        if isinstance(ended, http_client.Failure) and ended.timed_out:
            # Connections opened earlier may have gone silent as well.
            await self._client.retire()
            return self._refuse(
                reason_lib.Reason.BACKEND_TIMEOUT,
                ended.detail,
                run=_run(events),
            )
        detail = "the stream ended without [DONE]"
        if isinstance(ended, http_client.Failure):
            detail = ended.detail
        return self._lost(detail, events)

    def _lost(
        self, detail: str, events: completion_events.CompletionEvents
    ) -> refusal.Refusal:
        return self._refuse(
            reason_lib.Reason.BACKEND_LOST, detail, run=_run(events)
        )

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
    ) -> http_client.Reply | refusal.Refusal:
        reply = await self._client.call(
            method, path, body=body, timeout_s=timeout_s
        )
        if isinstance(reply, http_client.Reply):
            return reply
        reason = (
            reason_lib.Reason.TIMEOUT
            if reply.sent
            else reason_lib.Reason.UNAVAILABLE
        )
        return self._refuse(reason, f"{path}: {reply.detail}")

    def _unexpected(
        self, path: str, reply: http_client.Reply
    ) -> refusal.Refusal:
        return self._refuse(
            reason_lib.Reason.UNAVAILABLE,
            f"{path}: status {reply.status} {_excerpt(reply)}",
        )

    def _failed(
        self, failure: http_client.Failure, *, certain: bool
    ) -> refusal.Refusal:
        run = run_state.RunState.UNKNOWN
        if certain and not failure.sent:
            run = run_state.RunState.NO
        return self._refuse(
            http_client.failure_reason(failure), failure.detail, run=run
        )

    def _refuse(
        self,
        reason: reason_lib.Reason,
        detail: str,
        *,
        run: run_state.RunState = run_state.RunState.UNKNOWN,
        retry_after_s: float | None = None,
    ) -> refusal.Refusal:
        return refusal.Refusal(
            reason, f"engine {self.name}: {detail}", run, retry_after_s
        )


def _run(events: completion_events.CompletionEvents) -> run_state.RunState:
    # Generated tokens prove that the request ran.
    return (
        run_state.RunState.YES if events.tokens else run_state.RunState.UNKNOWN
    )


def _request_body(req: engine.EngineRequest) -> dict[str, Any]:
    body = {
        **req.body,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": req.output_limit,
    }
    if "max_completion_tokens" in body:
        body["max_completion_tokens"] = req.output_limit
    return body


def _request_path(request_id: str) -> str:
    return f"/v1/requests/{urllib.parse.quote(request_id, safe='')}"


async def _error_text(exchange: http_client.Exchange) -> str:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_ERROR_BODY_TIMEOUT_S):
            body = await exchange.read(_ERROR_BODY_BYTES)
            if isinstance(body, bytes):
                return body.decode(errors="replace")
    return ""


def _excerpt(reply: http_client.Reply) -> str:
    return reply.body[:200].decode(errors="replace")


def make_openai_engine(name: str, address: str) -> OpenAiEngine:
    """Makes the adapter for an engine at `host:port` or a full URL."""
    return OpenAiEngine(name, http_client.base_url(address))
