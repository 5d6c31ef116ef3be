"""Adapter to model engines with an OpenAI-style HTTP API."""

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

# On an idle event stream engines send comments at shorter intervals.
_CACHE_EVENTS_IDLE_S = 20.0
_ERROR_BODY_BYTES = 4096
_ERROR_BODY_TIMEOUT_S = 1.0
# Engines send the end of the HTTP body together with the last event.
_TERMINATOR_WAIT_S = 0.1
_INVALID_REQUEST_STATUSES = frozenset({400, 413, 422})


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
        """Continues a stream at event index `offset`.

        The `run` of a refusal is never `NO`, because it describes the request,
        which was sent to the engine earlier, and not this call.
        """
        path = f"{_request_path(request_id)}/stream?offset={offset}"
        headers = {"X-Request-Id": request_id}
        return self._stream(
            "GET", path, headers, None, request_id, offset, idle_timeout_s
        )

    async def cancel(
        self, request_id: str, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Cancels a request; it is no error if the request is unknown."""
        path = f"{_request_path(request_id)}/cancel"
        reply = await self._call("POST", path, timeout_s)
        if isinstance(reply, refusal.Refusal) or reply.status in (200, 404):
            return reply if isinstance(reply, refusal.Refusal) else None
        return self._unexpected_status(path, reply)

    async def load_report(
        self, *, timeout_s: float
    ) -> engine.LoadReport | refusal.Refusal:
        """Reads the current load report."""
        reply = await self._call("GET", "/metrics", timeout_s)
        if isinstance(reply, refusal.Refusal):
            return reply
        if reply.status != 200:
            return self._unexpected_status("/metrics", reply)
        try:
            return engine_load.parse_load(self.name, reply.body.decode())
        except ValueError as exc:
            return self._make_refusal(reason_lib.Reason.UNAVAILABLE, str(exc))

    async def cache_events(self) -> AsyncIterator[engine.CacheEvent]:
        """Yields cache events until the connection is lost."""
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
        """Sends an order.

        The refusal is `STALE` if the engine rejects the fencing token.
        """
        path = "/v1/orders"
        reply = await self._call(
            "POST", path, timeout_s, msgspec.json.encode(order)
        )
        if isinstance(reply, refusal.Refusal):
            return reply
        if reply.status == 409:
            return self._make_refusal(
                reason_lib.Reason.STALE,
                f"order {order.fence}/{order.generation}: {_excerpt(reply)}",
            )
        return (
            None
            if reply.status == 200
            else self._unexpected_status(path, reply)
        )

    async def state(
        self, *, timeout_s: float
    ) -> engine.EngineState | refusal.Refusal:
        """Reads the engine's state and the last order that it applied."""
        path = "/v1/state"
        reply = await self._call("GET", path, timeout_s)
        if isinstance(reply, refusal.Refusal):
            return reply
        if reply.status != 200:
            return self._unexpected_status(path, reply)
        try:
            return msgspec.json.decode(reply.body, type=engine.EngineState)
        except msgspec.MsgspecError as exc:
            return self._make_refusal(reason_lib.Reason.UNAVAILABLE, str(exc))

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
        # Only the call that submits the request can prove that it did not run.
        is_resume = offset is not None
        if isinstance(exchange, http_client.Failure):
            yield self._failure_refusal(exchange, is_new_request=not is_resume)
            return
        stream = byte_stream.ByteStream(exchange, idle_s)
        decoder = completion_events.CompletionDecoder(offset or 0)
        try:
            refused = await self._check_response(
                exchange, request_id, is_resume
            )
            if refused:
                yield refused
                return
            read, feed = stream.read, decoder.feed
            while not decoder.finished:
                chunk = await read()
                if not chunk or isinstance(chunk, http_client.Failure):
                    yield await self._early_end_refusal(chunk, decoder)
                    return
                for event in feed(chunk):
                    yield event
            # The connection can be reused only if the end of the body is read.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TERMINATOR_WAIT_S):
                    await read()
        except completion_events.StreamError as exc:
            detail, partial = exc.args
            for event in partial:
                yield event
            exchange.abort()
            yield self._lost_stream_refusal(detail, decoder)
        except asyncio.CancelledError:
            await self._on_cancelled()
            raise
        finally:
            await stream.close()

    async def _on_cancelled(self) -> None:
        """Stops using idle connections when a wait for the engine is cancelled.

        The caller may have cancelled the wait because the engine sent nothing
        for a time shorter than the adapter's idle timeout. The idle
        connections may have stopped responding as well.
        """
        await self._client.retire_connections()

    async def _check_response(
        self,
        exchange: http_client.Exchange,
        request_id: str,
        is_resume: bool,
    ) -> refusal.Refusal | None:
        response = exchange.response
        if response.status != 200:
            return await self._status_refusal(exchange, is_resume)
        answered_id = response.headers.get("X-Request-Id")
        if answered_id != request_id:
            exchange.abort()
            return self._make_refusal(
                reason_lib.Reason.BACKEND_LOST,
                f"answer for request {answered_id!r}: expected {request_id!r}",
                run=run_state.RunState.UNKNOWN,
            )
        return None

    async def _status_refusal(
        self, exchange: http_client.Exchange, is_resume: bool
    ) -> refusal.Refusal:
        response = exchange.response
        detail = f"status {response.status} {await _read_error_body(exchange)}"
        run = run_state.RunState.UNKNOWN
        if response.headers.get("X-Not-Run") == "1" and not is_resume:
            run = run_state.RunState.NO
        reason = reason_lib.Reason.BACKEND_REFUSED
        if is_resume and response.status == 404:
            reason = reason_lib.Reason.NOT_FOUND
        elif response.status in _INVALID_REQUEST_STATUSES:
            reason = reason_lib.Reason.INVALID_REQUEST
        elif run is not run_state.RunState.NO:
            reason = reason_lib.Reason.BACKEND_LOST
        return self._make_refusal(
            reason,
            detail,
            run=run,
            retry_after_s=http_client.retry_after_s(response.headers),
        )

    async def _early_end_refusal(
        self,
        last_read: bytes | http_client.Failure,
        decoder: completion_events.CompletionDecoder,
    ) -> refusal.Refusal:
        if isinstance(last_read, http_client.Failure) and last_read.timed_out:
            # Connections opened earlier may have stopped responding as well.
            await self._client.retire_connections()
            return self._make_refusal(
                reason_lib.Reason.BACKEND_TIMEOUT,
                last_read.detail,
                run=_run_state(decoder),
            )
        detail = "the stream ended without [DONE]"
        if isinstance(last_read, http_client.Failure):
            detail = last_read.detail
        return self._lost_stream_refusal(detail, decoder)

    def _lost_stream_refusal(
        self, detail: str, decoder: completion_events.CompletionDecoder
    ) -> refusal.Refusal:
        return self._make_refusal(
            reason_lib.Reason.BACKEND_LOST, detail, run=_run_state(decoder)
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
        return self._make_refusal(reason, f"{path}: {reply.detail}")

    def _unexpected_status(
        self, path: str, reply: http_client.Reply
    ) -> refusal.Refusal:
        return self._make_refusal(
            reason_lib.Reason.UNAVAILABLE,
            f"{path}: status {reply.status} {_excerpt(reply)}",
        )

    def _failure_refusal(
        self, failure: http_client.Failure, *, is_new_request: bool
    ) -> refusal.Refusal:
        run = run_state.RunState.UNKNOWN
        if is_new_request and not failure.sent:
            run = run_state.RunState.NO
        return self._make_refusal(
            http_client.failure_reason(failure), failure.detail, run=run
        )

    def _make_refusal(
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


def _run_state(
    decoder: completion_events.CompletionDecoder,
) -> run_state.RunState:
    # Generated tokens prove that the request ran.
    return (
        run_state.RunState.YES if decoder.tokens else run_state.RunState.UNKNOWN
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


async def _read_error_body(exchange: http_client.Exchange) -> str:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_ERROR_BODY_TIMEOUT_S):
            body = await exchange.read(_ERROR_BODY_BYTES)
            if isinstance(body, bytes):
                return body.decode(errors="replace")
    return ""


def _excerpt(reply: http_client.Reply) -> str:
    return reply.body[:200].decode(errors="replace")


def make_openai_engine(name: str, address: str) -> OpenAiEngine:
    """Creates the adapter for an engine at `host:port` or a full URL."""
    return OpenAiEngine(name, http_client.base_url(address))
