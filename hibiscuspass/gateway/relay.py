"""Copies the answers of backend servers to the caller."""

import asyncio
from collections.abc import Callable
import math
import time

import aiohttp
from aiohttp import web

from hibiscuspass.core.admission import byte_budget
from hibiscuspass.core.forwarding import event_scanner
from hibiscuspass.core.forwarding import progress
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import request_reader
from hibiscuspass.gateway import upstream
from hibiscuspass.gateway import upstream_protocol
from hibiscuspass.gateway import watched_send

# Headers that aiohttp writes itself.
_LIBRARY_HEADERS = frozenset({"date", "server", "content-length"})
_SUCCESS_STATUSES = range(200, 300)
# A longer answer of a plain service is relayed as it arrives, so that it isn't
# kept in memory as a whole.
_MAX_BUFFERED_BYTES = 1 << 20
# Bytes that are written to a caller before it has taken those before them.
_PIECE_BYTES = 64 * 1024
# A longer event is taken for bytes that are no answer.
_MAX_EVENT_BYTES = 1 << 20


class NoProgressError(Exception):
    """An answer made no progress for too long."""


class Relay:
    """Relays the answers to one request as a single response.

    There are several answers if a stream broke off and was resumed.

    Attributes:
      response: Response to the caller; None before it starts.
      status: Status of the response; 0 before it starts.
      first_event_s: Time of the first complete event on the monotonic clock;
        None before it.
      longest_pause_s: Longest time between two events in seconds.
    """

    def __init__(
        self,
        http: web.BaseRequest,
        call: call_lib.Call,
        tokens_per_event: Callable[[call_lib.Call], int],
        on_start: Callable[[web.StreamResponse], None],
    ) -> None:
        """Creates a relay without an answer.

        Args:
          http: Request of the caller.
          call: The same request with all that is needed to forward it.
          tokens_per_event: Returns the largest number of tokens in an event.
          on_start: Called with a response before its head is sent.
        """
        self.response: web.StreamResponse | None = None
        self.status = 0
        self.first_event_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_event_s = 0.0
        self._report_event: Callable[[float], None] | None = None
        self._http = http
        self._call = call
        self._tokens_per_event = tokens_per_event(call)
        self._on_start = on_start
        self._scanner = event_scanner.EventScanner()
        self._partial_events = 0

    @property
    def is_started(self) -> bool:
        """Whether the caller may have received a part of the response."""
        return self.response is not None

    @property
    def events(self) -> int:
        """Number of complete events received."""
        return self._scanner.events

    @property
    def last_event_id(self) -> str | None:
        """Id of the last complete event that was relayed; None without ids."""
        return self._scanner.last_id

    @property
    def can_continue(self) -> bool:
        """Whether another answer can resume or replace the broken one.

        It can if the response has not started, or if the last event has an id
        after which a server can resume the stream.
        """
        return not self.is_started or self._scanner.last_id is not None

    @property
    def tokens_used(self) -> int:
        """Upper bound of the tokens of the prompt and of all events received.

        An event that broke off counts, since the engine has generated it.
        """
        req = self._call.req
        events = self._scanner.events + self._partial_events
        output = min(req.max_output_tokens, events * self._tokens_per_event)
        return req.input_tokens + output

    async def copy(
        self,
        resp: aiohttp.ClientResponse,
        on_event: Callable[[float], None],
        watch: progress.ProgressWatch,
        hand_over: watched_send.HandOver,
    ) -> str | None:
        """Copies one answer to the caller.

        Args:
          resp: Answer whose head was read.
          on_event: Called with the current monotonic time when complete events
            of this answer have arrived.
          watch: Follows the progress of this answer.
          hand_over: Sends the request to another server; returns whether that
            one has it.

        Returns:
          Why the answer broke off; None if it is complete.

        Raises:
          ConnectionResetError: The caller closed its connection.
        """
        if self.is_started and not self._is_stream(resp):
            # Its head or body would be in the middle of the caller's stream.
            resp.close()
            return f"status {resp.status} after the start of a stream"
        self._report_event = on_event
        scanner = self._scanner if self._is_stream(resp) else None
        reader = _Reader(resp, watch, hand_over, scanner)
        is_complete = False
        try:
            if self._is_stream(resp):
                is_complete = await self._copy_stream(resp, reader, watch)
            else:
                is_complete = await self._copy_body(resp, reader)
        except (
            aiohttp.ClientError,
            asyncio.IncompleteReadError,
            NoProgressError,
        ) as exc:
            return upstream.describe(exc)
        except ConnectionResetError:
            raise
        except OSError as exc:
            return upstream.describe(exc)
        finally:
            if not is_complete:
                self._partial_events += self._scanner.is_inside_event
                self._scanner.take_rest()
                resp.close()
        return None

    def abort(self) -> None:
        """Closes the caller's connection, so the response ends incomplete."""
        if self._http.transport is not None:
            self._http.transport.close()

    def _is_stream(self, resp: aiohttp.ClientResponse) -> bool:
        return (
            self._call.route.kind is route_lib.RequestKind.STREAMING
            and resp.status in _SUCCESS_STATUSES
        )

    async def _copy_body(
        self, resp: aiohttp.ClientResponse, reader: "_Reader"
    ) -> bool:
        body = bytearray()
        while chunk := await reader.read():
            body += chunk
            outcome = self._call.holding.add(len(chunk), time.monotonic())
            if (
                len(body) > _MAX_BUFFERED_BYTES
                or outcome is not byte_budget.Outcome.GRANTED
            ):
                await self._start(resp)
                await self._write_long_body(reader, body)
                return True
        if len(body) > _PIECE_BYTES:
            # The library would write it at once, and the event loop would copy
            # what the caller doesn't take.
            await self._start(resp, len(body))
            await self._write_long_body(reader, body)
            return True
        response = web.Response(status=resp.status, reason=resp.reason)
        _copy_headers(resp, response)
        response.body = bytes(body)
        self.response = response
        self.status = resp.status
        return True

    async def _write_long_body(
        self, reader: "_Reader", start: bytearray
    ) -> None:
        """Writes the start of a body and what is still to be read of it."""
        response = self.response
        assert response is not None
        await _write(response, start)
        start.clear()
        while chunk := await reader.read():
            await _write(response, chunk)
        await _write(response, None)

    async def _copy_stream(
        self,
        resp: aiohttp.ClientResponse,
        reader: "_Reader",
        watch: progress.ProgressWatch,
    ) -> bool:
        is_resumed = self.is_started
        events_at_start = self._scanner.events
        while chunk := await reader.read():
            events_before = self._scanner.events
            whole_events = self._scanner.feed(chunk)
            if self._scanner.incomplete_bytes > _MAX_EVENT_BYTES:
                raise upstream_protocol.MalformedAnswerError("event too long")
            if self._scanner.events > events_before:
                now_s = time.monotonic()
                watch.on_event(now_s)
                self._on_event(now_s)
            if whole_events:
                began_s = time.monotonic()
                await self._write_events(resp, whole_events)
                watch.on_caller_waited_for(time.monotonic() - began_s)
        if self._scanner.is_inside_event:
            if is_resumed or not upstream_protocol.is_document(resp):
                # A server that fails in an event may end its body as usual, so
                # a length or a last chunk doesn't show that it is complete.
                raise upstream_protocol.MalformedAnswerError(
                    "the stream ends inside an event"
                )
            self._partial_events += 1
        if (
            self._scanner.events == events_at_start
            and not upstream_protocol.has_framing(resp)
        ):
            # The server may have stopped after the head.
            raise upstream_protocol.MalformedAnswerError(
                "the stream ends before its first event"
            )
        if rest := self._scanner.take_rest():
            await self._write_events(resp, rest)
        await self._write_events(resp, None)
        return True

    async def _write_events(
        self, resp: aiohttp.ClientResponse, data: bytes | None
    ) -> None:
        """Writes whole events to the caller; None ends the response.

        Until the first of them the response has not started, so that another
        server can still answer.
        """
        if self.response is None:
            await self._start(resp)
        assert self.response is not None
        await _write(self.response, data)

    def _on_event(self, now_s: float) -> None:
        if self._report_event:
            self._report_event(now_s)
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self._last_event_s
            )
        self._last_event_s = now_s

    async def _start(
        self, resp: aiohttp.ClientResponse, length: int | None = None
    ) -> None:
        """Starts the response; `length` is that of its body if it is known."""
        response = web.StreamResponse(status=resp.status, reason=resp.reason)
        _copy_headers(resp, response)
        # A resumed stream may have another length than its first answer said.
        if length is None and not self._is_stream(resp):
            length = resp.content_length
        if length is not None:
            response.content_length = length
        elif self._http.version >= aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        self.response = response
        self.status = resp.status
        self._on_start(response)
        try:
            await response.prepare(self._http)
        except aiohttp.ClientError as exc:
            raise ConnectionResetError(str(exc)) from exc


class _Reader:
    """Reads the body of an answer while it makes progress."""

    def __init__(
        self,
        resp: aiohttp.ClientResponse,
        watch: progress.ProgressWatch,
        hand_over: watched_send.HandOver,
        scanner: event_scanner.EventScanner | None,
    ) -> None:
        self._resp = resp
        self._watch = watch
        self._hand_over = hand_over
        self._scanner = scanner
        self._received = b""
        self._failure: aiohttp.ClientError | None = None

    async def read(self) -> bytes:
        """Returns the next bytes; empty at the end of the body.

        Raises:
          NoProgressError: There was no progress for too long.
          aiohttp.ClientError: The answer broke off.
        """
        if self._failure:
            raise self._failure
        loop = asyncio.get_running_loop()
        while True:
            if self._received:
                received, self._received = self._received, b""
                return received
            remaining_s = self._watch.deadline_s - time.monotonic()
            try:
                async with asyncio.timeout_at(
                    None
                    if math.isinf(remaining_s)
                    else loop.time() + remaining_s
                ):
                    return await self._resp.content.readany()
            except aiohttp.ClientError as exc:
                # The library raises the error before it returns the bytes that
                # arrived earlier.
                received = self._resp.content._read_nowait(-1)
                if not received:
                    raise
                self._failure = exc
                return received
            except TimeoutError:
                # Bytes may have arrived together with the timeout.
                received = self._resp.content._read_nowait(-1)
                if received or self._resp.content.at_eof():
                    return received
                if not self._watch.has_stopped(time.monotonic()):
                    continue
                if await self._hand_over(self._has_progressed):
                    raise NoProgressError from None
                self._watch.extend(time.monotonic())

    def _has_progressed(self) -> bool:
        """Returns whether the answer has ended or completes an event."""
        self._received += self._resp.content._read_nowait(-1)
        return self._resp.content.is_eof() or (
            self._scanner is not None
            and self._scanner.completes_event(self._received)
        )


async def _write(
    response: web.StreamResponse, data: bytes | bytearray | None
) -> None:
    """Writes to the caller in pieces; None ends the response."""
    try:
        if data is None:
            await response.write_eof()
        else:
            for start in range(0, len(data), _PIECE_BYTES):
                await response.write(data[start : start + _PIECE_BYTES])
    except aiohttp.ClientError as exc:
        # `Relay.copy` treats `ClientError` as a failure of the backend server.
        raise ConnectionResetError(str(exc)) from exc


def _copy_headers(
    resp: aiohttp.ClientResponse, response: web.StreamResponse
) -> None:
    dropped = request_reader.hop_by_hop_names(resp.headers) | _LIBRARY_HEADERS
    for name, value in resp.headers.items():
        if name.lower() not in dropped:
            response.headers.add(name, value)
