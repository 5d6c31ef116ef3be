"""Copies the answers of backend servers to the caller."""

import asyncio
from collections.abc import Callable
import time

import aiohttp
from aiohttp import web

from hibiscuspass.core.forwarding import event_scanner
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import request_reader

# Headers that aiohttp writes itself.
_LIBRARY_HEADERS = frozenset({"date", "server", "content-length"})
_SUCCESS_STATUSES = range(200, 300)


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
    ) -> None:
        self.response: web.StreamResponse | None = None
        self.status = 0
        self.first_event_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_event_s = 0.0
        self._on_first_event: Callable[[], None] | None = None
        self._http = http
        self._call = call
        self._tokens_per_event = tokens_per_event(call)
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
        self, resp: aiohttp.ClientResponse, on_first_event: Callable[[], None]
    ) -> str | None:
        """Copies one answer to the caller.

        Args:
          resp: Answer whose head was read.
          on_first_event: Called at the first complete event of this answer.

        Returns:
          Why the answer broke off; None if it is complete.

        Raises:
          ConnectionResetError: The caller closed its connection.
        """
        self._on_first_event = on_first_event
        is_complete = False
        try:
            if self._is_stream(resp):
                is_complete = await self._copy_stream(resp)
            else:
                is_complete = await self._copy_body(resp)
        except (aiohttp.ClientError, asyncio.IncompleteReadError) as exc:
            return f"{type(exc).__name__}: {exc}"
        except ConnectionResetError:
            raise
        except OSError as exc:
            return f"{type(exc).__name__}: {exc}"
        finally:
            if self._scanner.incomplete_event:
                self._partial_events += 1
            if not is_complete:
                self._scanner.discard_incomplete_event()
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

    async def _copy_body(self, resp: aiohttp.ClientResponse) -> bool:
        body = await resp.read()
        response = web.Response(status=resp.status, reason=resp.reason)
        _copy_headers(resp, response)
        response.body = body
        self.response = response
        self.status = resp.status
        return True

    async def _copy_stream(self, resp: aiohttp.ClientResponse) -> bool:
        if self.response is None:
            await self._start(resp)
        response = self.response
        assert response is not None
        while True:
            chunk = await resp.content.readany()
            if not chunk:
                break
            whole_events = self._scanner.feed(chunk)
            if whole_events:
                self._on_event(time.monotonic())
                await _write(response, whole_events)
        if self._scanner.incomplete_event:
            # The last event may lack the empty line at its end.
            await _write(response, self._scanner.incomplete_event)
        await _write(response, None)
        return True

    def _on_event(self, now_s: float) -> None:
        if self._on_first_event:
            self._on_first_event()
            self._on_first_event = None
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self._last_event_s
            )
        self._last_event_s = now_s

    async def _start(self, resp: aiohttp.ClientResponse) -> None:
        response = web.StreamResponse(status=resp.status, reason=resp.reason)
        _copy_headers(resp, response)
        if resp.content_length is not None:
            response.content_length = resp.content_length
        else:
            response.enable_chunked_encoding()
        self.response = response
        self.status = resp.status
        try:
            await response.prepare(self._http)
        except aiohttp.ClientError as exc:
            raise ConnectionResetError(str(exc)) from exc


async def _write(response: web.StreamResponse, data: bytes | None) -> None:
    """Writes to the caller; None ends the response."""
    try:
        if data is None:
            await response.write_eof()
        else:
            await response.write(data)
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
