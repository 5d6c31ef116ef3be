"""aiohttp client protocol that reports a connection reset as an error."""

import asyncio
import http
import itertools
import re
from typing import Any

import aiohttp
from aiohttp import client_proto

from hibiscuspass.backends import sockets
from hibiscuspass.platform import headers as names

# Bytes beside the body that one answer may have: heads, chunk headers and
# trailers. The library bounds single lines and their number, but neither
# informational heads nor chunk extensions.
_MAX_OVERHEAD_BYTES = 64 * 1024
# Bytes that are read at once, and half of those that are kept of an answer
# that isn't read on. The event loop reads up to 256 KiB by default.
READ_BYTES = 64 * 1024
# Bytes of framing per byte of the body. Chunks of one byte take six bytes.
_MAX_FRAMING_PER_BYTE = 16
# Informational heads before one answer. The library makes an object of each.
_MAX_INFORMATIONAL_HEADS = 100
# Bytes that are parsed at once until the head of an answer is complete; the
# number of informational heads is checked between them.
_HEAD_STEP_BYTES = 2048
# The library reads them in a head, but doesn't write them to a caller.
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_EVENTS_TYPE = "text/event-stream"


class MalformedAnswerError(aiohttp.ClientPayloadError):
    """Bytes of a server are no proper answer."""


class UpstreamProtocol(client_proto.ResponseHandler):
    """Ends connections whose bytes are not a proper answer.

    By default, aiohttp treats a body without a length as complete however the
    connection ends, and reads heads and framing without end.

    Attributes:
      is_uploading: Whether the body of a request is still being written.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._received_bytes = 0
        self._informational_heads = 0
        self._has_head = False
        self.is_uploading = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)

    def set_response_params(self, **options: Any) -> None:
        """See base class; called at the start of each answer."""
        self._received_bytes = 0
        self._informational_heads = 0
        self._has_head = False
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """See base class; called with each head."""
        message, _ = data
        # 101 is a final answer: it ends the use of HTTP on the connection.
        if (
            100 <= message.code < http.HTTPStatus.OK
            and message.code != http.HTTPStatus.SWITCHING_PROTOCOLS
        ):
            self._informational_heads += 1
            return
        if self._informational_heads > _MAX_INFORMATIONAL_HEADS:
            return
        self._has_head = True
        if names.ATTEMPT_ID not in message.headers:
            # A second copy on a kept connection would look like the answer to
            # the next request.
            self.force_close()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        self._received_bytes += len(data)
        self._parse(data)
        payload = self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        overhead = self._received_bytes - body_bytes
        if (
            overhead > _MAX_OVERHEAD_BYTES + _MAX_FRAMING_PER_BYTE * body_bytes
            or self._informational_heads > _MAX_INFORMATIONAL_HEADS
        ):
            exc = MalformedAnswerError("answer without end")
            if payload is not None and not payload.is_eof():
                payload.set_exception(exc)
            self.set_exception(exc)
            self.abort()

    def _parse(self, data: bytes) -> None:
        """Parses bytes, in steps until the head is complete."""
        if self._has_head:
            super().data_received(data)
            return
        for start in range(0, len(data), _HEAD_STEP_BYTES):
            super().data_received(data[start : start + _HEAD_STEP_BYTES])
            if (
                self.exception() is not None
                or self._informational_heads > _MAX_INFORMATIONAL_HEADS
            ):
                return

    def eof_received(self) -> None:
        """See base class; called when the server has closed its side."""
        payload = self._payload
        is_complete = payload is not None and payload.is_eof()
        if not is_complete and self._has_unread_request():
            exc = aiohttp.ClientPayloadError(
                "the server closed before it had read the request"
            )
            if payload is not None:
                payload.set_exception(exc)
            self.set_exception(exc)
            self.abort()
        super().eof_received()

    def _has_unread_request(self) -> bool:
        """Returns whether the server can't have read the whole request.

        The end of the server's side acknowledges all bytes that its host has
        received before.
        """
        transport = self.transport
        if transport is None:
            return False
        if self.is_uploading or transport.get_write_buffer_size():
            return True
        sock = transport.get_extra_info("socket")
        return sockets.has_error(sock) or sockets.unacknowledged_bytes(sock) > 0

    def connection_lost(self, exc: BaseException | None) -> None:
        """See base class."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection reset: {exc}")
            )
        super().connection_lost(exc)


def has_framing(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether a body has a length or chunks that show its end.

    Without them it ends with its connection, whether it is complete or not.
    """
    codings = resp.headers.get("Transfer-Encoding", "").lower()
    return resp.content_length is not None or "chunked" in codings


def is_document(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether a body says that it is no stream, and shows its end."""
    return (
        has_framing(resp)
        and "Content-Type" in resp.headers
        and resp.content_type != _EVENTS_TYPE
    )


def has_control_characters(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether a head has control characters, which HTTP forbids."""
    texts = itertools.chain([resp.reason or ""], *resp.headers.items())
    return any(map(_CONTROL_CHARACTERS.search, texts))
