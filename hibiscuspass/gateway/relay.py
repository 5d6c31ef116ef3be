"""Copies an answer of a backend server to the caller."""

import asyncio
from collections.abc import Callable
import time

import aiohttp
from aiohttp import web

from hibiscuspass.core.forwarding import event_scanner
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import intake

# Headers that the library writes itself.
_OWN_HEADERS = frozenset({"date", "server", "content-length"})
_SUCCESS = range(200, 300)


class Relay:
    """Relays the answers of one request, at most one of them complete.

    Attributes:
      response: Answer to the caller; None before it starts.
      status: Status of the answer; 0 before it starts.
      first_event_s: Time of the first whole event on the monotonic clock.
      longest_pause_s: Longest time between events.
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
        self._cut_events = 0

    @property
    def is_started(self) -> bool:
        """Whether the caller may have got a part of an answer."""
        return self.response is not None

    @property
    def events(self) -> int:
        """Whole events received."""
        return self._scanner.events

    @property
    def last_event_id(self) -> str | None:
        """Id of the last whole event that was relayed."""
        return self._scanner.last_id

    @property
    def can_go_on(self) -> bool:
        """Whether another answer may continue or replace this one."""
        return not self.is_started or self._scanner.last_id is not None

    @property
    def tokens_used(self) -> int:
        """Tokens of the prompt and of the events received, at most."""
        req = self._call.req
        events = self._scanner.events + self._cut_events
        output = min(req.max_output_tokens, events * self._tokens_per_event)
        return req.input_tokens + output

    async def copy(
        self, resp: aiohttp.ClientResponse, on_first_event: Callable[[], None]
    ) -> str | None:
        """Copies one answer; returns why it broke off, if it did.

        Args:
          resp: Answer whose head was read.
          on_first_event: Called at the first whole event of this answer.
        """
        self._on_first_event = on_first_event
        whole = False
        try:
            if self._is_stream(resp):
                whole = await self._copy_stream(resp)
            else:
                whole = await self._copy_body(resp)
        except (aiohttp.ClientError, asyncio.IncompleteReadError) as exc:
            return f"{type(exc).__name__}: {exc}"
        except ConnectionResetError:
            raise
        except OSError as exc:
            return f"{type(exc).__name__}: {exc}"
        finally:
            if self._scanner.incomplete_event:
                self._cut_events += 1
            if not whole:
                self._scanner.discard_incomplete_event()
                resp.close()
        return None

    def cut(self) -> None:
        """Ends the answer so that the caller can't take it as complete."""
        if self._http.transport is not None:
            self._http.transport.close()

    def _is_stream(self, resp: aiohttp.ClientResponse) -> bool:
        return (
            self._call.route.kind is route_lib.RequestKind.STREAMING
            and resp.status in _SUCCESS
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
            # The body may end without an empty line.
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
    """Writes to the caller; None ends the answer."""
    try:
        if data is None:
            await response.write_eof()
        else:
            await response.write(data)
    except aiohttp.ClientError as exc:
        # Keeps the caller's failures apart from those of the backend server.
        raise ConnectionResetError(str(exc)) from exc


def _copy_headers(
    resp: aiohttp.ClientResponse, response: web.StreamResponse
) -> None:
    dropped = intake.hop_by_hop(resp.headers) | _OWN_HEADERS
    for name, value in resp.headers.items():
        if name.lower() not in dropped:
            response.headers.add(name, value)
