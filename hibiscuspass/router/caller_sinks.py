"""Sinks that write a completion to the caller's HTTP response."""

from aiohttp import web

from hibiscuspass.backends import engine
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.dispatch import completion
from hibiscuspass.router import call_context
from hibiscuspass.router import completion_json
from hibiscuspass.router import http_response
from hibiscuspass.router import sink

_DONE = b"[DONE]"
_STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-store",
    # Asks reverse proxies not to buffer events.
    "X-Accel-Buffering": "no",
}


class StreamSink(sink.Sink):
    """Writes server-sent events as they arrive.

    The response starts with the first event, so that a refusal before it can
    still set the HTTP status.
    """

    is_streaming = True

    def __init__(
        self,
        req: web.Request,
        ctx: call_context.CallContext,
        call: completion.CompletionCall,
    ) -> None:
        self._req = req
        self._ctx = ctx
        self._call = call
        self._usage_sent = False
        self.response: web.StreamResponse | None = None

    async def deliver(self, event: engine.TokenEvent) -> bool:
        """Writes an event; returns whether the caller is connected."""
        data = event.data
        if not data or data == _DONE:
            return True
        if event.usage is not None:
            self._usage_sent = True
        try:
            resp = self.response or await self._begin()
            await resp.write(b"data: " + data + b"\n\n")
        except ConnectionError:
            return False
        return True

    def restart(self) -> None:
        """Fails, because the caller has already received events.

        Raises:
          AssertionError: Always.
        """
        raise AssertionError("events were already sent to the caller")

    async def finish(self, usage: engine.Usage, *, limited: bool) -> None:
        """Writes the usage, if the engine sent none, and `[DONE]`."""
        last = b"data: [DONE]\n\n"
        if limited or not self._usage_sent:
            chunk = completion_json.final_chunk(
                self._call, self._ctx.request_id, usage, limited=limited
            )
            last = b"data: " + chunk + b"\n\n" + last
        await self._end(last)

    async def fail(self, refused: refusal.Refusal) -> bool:
        """Ends a response that has begun with an error event."""
        if self.response is None:
            return False
        body = http_response.error_body(refused, self._ctx.request_id)
        await self._end(b"event: error\ndata: " + body + b"\n\n")
        return True

    async def _begin(self) -> web.StreamResponse:
        headers = http_response.identity_headers(
            self._ctx.request_id, run_state.RunState.YES
        )
        resp = web.StreamResponse(headers={**_STREAM_HEADERS, **headers})
        await resp.prepare(self._req)
        self.response = resp
        return resp

    async def _end(self, data: bytes) -> None:
        try:
            resp = self.response or await self._begin()
            await resp.write(data)
            await resp.write_eof()
        except ConnectionError:
            pass


class BufferingSink(sink.Sink):
    """Collects all events and sends them as one JSON response."""

    is_streaming = False

    def __init__(
        self,
        ctx: call_context.CallContext,
        call: completion.CompletionCall,
    ) -> None:
        self._ctx = ctx
        self._chunks = completion_json.ChunkAggregator(call)
        self.response: web.StreamResponse | None = None

    async def deliver(self, event: engine.TokenEvent) -> bool:
        """Collects an event; the connection is not checked."""
        if event.data and event.data != _DONE:
            self._chunks.add(event.data)
        return True

    def restart(self) -> None:
        """Discards all events."""
        self._chunks.clear()

    async def finish(self, usage: engine.Usage, *, limited: bool) -> None:
        """Sets `response` to the complete answer."""
        self.response = web.Response(
            body=self._chunks.response_body(
                self._ctx.request_id, usage, limited=limited
            ),
            content_type="application/json",
            headers=http_response.identity_headers(
                self._ctx.request_id, run_state.RunState.YES
            ),
        )

    async def fail(self, refused: refusal.Refusal) -> bool:
        """Returns False: the endpoint sends the error."""
        return False


CallerSink = StreamSink | BufferingSink


def make_sink(
    req: web.Request,
    ctx: call_context.CallContext,
    call: completion.CompletionCall,
) -> CallerSink:
    """Returns the sink for a call."""
    if call.stream:
        return StreamSink(req, ctx, call)
    return BufferingSink(ctx, call)
