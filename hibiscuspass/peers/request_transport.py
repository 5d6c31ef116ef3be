"""Transport between peers with one link per peer."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import os
import time
from typing import Any

import prometheus_client
import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.peers import codec as codec_lib
from hibiscuspass.peers import link as link_lib
from hibiscuspass.peers import peer_metrics
from hibiscuspass.peers import transport
from hibiscuspass.telemetry import recorder as recorder_lib

_log = structlog.get_logger(__name__)

_EXCHANGE_BYTES = 8
DEFAULT_MAX_HANDLERS = 128
# Longer than the interval between two heartbeats of neighbours, so that links
# in regular use stay open.
DEFAULT_IDLE_CLOSE_S = 30.0
# Longer than the timeouts of requests, so that a slow connection attempt can
# still complete for a later request.
_DIAL_TIMEOUT_S = 5.0

# Creates a link, which is not connected yet, to the address of a peer.
LinkFactory = Callable[[str], link_lib.Link]


class RequestTransport(transport.Transport):
    """Sends requests over one link per peer and serves requests of peers.

    A link whose request timed out is replaced: its other requests may finish,
    but new ones use a new connection.

    Attributes:
      address: `host:port` that the transport listens on.
      metrics: Metrics of the links.
    """

    def __init__(
        self,
        codec: codec_lib.Codec,
        process: incarnation.Incarnation,
        listen: str,
        recorder: recorder_lib.Recorder,
        metrics: peer_metrics.PeerMetrics,
        make_link: LinkFactory,
        server: link_lib.Server,
        *,
        idle_close_s: float = DEFAULT_IDLE_CLOSE_S,
        monotonic_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.address = listen
        self.metrics = metrics
        self._codec = codec
        self._process = process
        self._recorder = recorder
        self._idle_close_s = idle_close_s
        self._monotonic_s = monotonic_s
        self._handlers: dict[type, transport.Handler] = {}
        self._links: dict[str, link_lib.Link] = {}
        self._pending_dials: dict[
            str, asyncio.Task[link_lib.Link | refusal.Refusal]
        ] = {}
        self._incarnations: dict[str, incarnation.Incarnation] = {}
        self._make_link = make_link
        self._server = server
        self._closed = False
        self._sweeper: asyncio.Task[None] | None = None

    def register(self, msg_type: type, handler: transport.Handler) -> None:
        """Sets the handler for one message type; one handler per type.

        Raises:
          ValueError: The type has a handler already.
        """
        if msg_type in self._handlers:
            raise ValueError(f"message type {msg_type!r}: has a handler")
        self._codec.registry.add(msg_type)
        self._handlers[msg_type] = handler

    async def start(self) -> None:
        """Starts to listen and sets `address` to the address in use."""
        self.address = await self._server.start(self._handle)
        self._sweeper = asyncio.create_task(self._close_idle_periodically())

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._closed = True
        if self._sweeper:
            self._sweeper.cancel()
        await self._server.close()
        for dial in self._pending_dials.values():
            dial.cancel()
        for link in self._links.values():
            link.close()
        self._links.clear()
        self.metrics.links.set(0)

    async def request(
        self, address: str, msg: Any, *, timeout_s: float
    ) -> Any | refusal.Refusal:
        """Sends a message and returns the peer's reply."""
        deadline_s = self._monotonic_s() + timeout_s
        reply = await self._request(address, msg, deadline_s)
        if isinstance(reply, codec_lib.WrongRecipient):
            # The peer has restarted. It did not handle the message, and its
            # reply has updated the incarnation that the retry is sent to.
            reply = await self._request(address, msg, deadline_s)
        outcome = "ok"
        if isinstance(reply, codec_lib.WrongRecipient):
            reply = _unavailable(address, "it restarts")
        if isinstance(reply, refusal.Refusal):
            outcome = reply.reason.value
        self.metrics.requests.labels(outcome).inc()
        return reply

    def close_idle(self) -> None:
        """Closes links that had no request for `idle_close_s` seconds."""
        limit_s = self._monotonic_s() - self._idle_close_s
        idle = [
            link
            for link in self._links.values()
            if not link.in_flight and link.last_used_s <= limit_s
        ]
        for link in idle:
            self._retire(link)

    async def _request(
        self, address: str, msg: Any, deadline_s: float
    ) -> Any | refusal.Refusal:
        link = await self._get_link(address, deadline_s)
        if isinstance(link, refusal.Refusal):
            return link
        exchange = os.urandom(_EXCHANGE_BYTES)
        recipient = self._incarnations.get(address)
        frame = self._codec.encode(
            msg,
            recipient=recipient,
            at=self._recorder.new_timestamp(),
            exchange=exchange,
        )
        if isinstance(frame, refusal.Refusal):
            return frame
        link.last_used_s = self._monotonic_s()
        self.metrics.sent_bytes.inc(len(frame))
        reply = await link.exchange(
            frame, max(0.0, deadline_s - link.last_used_s)
        )
        if isinstance(reply, refusal.Refusal):
            self._retire(link)
            return reply
        self.metrics.received_bytes.inc(len(reply))
        return self._read_reply(address, exchange, reply)

    def _read_reply(
        self, address: str, exchange: bytes, frame: bytes
    ) -> Any | refusal.Refusal:
        reply = self._codec.decode(frame)
        if isinstance(reply, refusal.Refusal):
            self._reject(reply, address)
            if reply.reason is reason_lib.Reason.UNAUTHENTICATED:
                return reply
            # The peer handled the message, but its reply cannot be decoded.
            return refusal.Refusal(reason_lib.Reason.TIMEOUT, reply.detail)
        if reply.exchange != exchange or reply.recipient != self._process:
            mismatch = refusal.Refusal(
                reason_lib.Reason.UNAUTHENTICATED,
                f"reply of {address}: belongs to another request",
            )
            self._reject(mismatch, address)
            return mismatch
        self._recorder.merge_timestamp(reply.at)
        self._incarnations[address] = reply.sender
        return reply.body

    async def _get_link(
        self, address: str, deadline_s: float
    ) -> link_lib.Link | refusal.Refusal:
        link = self._links.get(address)
        if link:
            return link
        if self._closed:
            return _unavailable(address, "this process has closed its links")
        dial = self._pending_dials.get(address)
        if dial is None:
            dial = asyncio.create_task(self._dial(address))
            self._pending_dials[address] = dial
        remaining_s = max(0.0, deadline_s - self._monotonic_s())
        try:
            async with asyncio.timeout(remaining_s):
                # Several requests share this attempt; the timeout of one must
                # not cancel it for the others.
                return await asyncio.shield(dial)
        except TimeoutError:
            return _unavailable(address, "connect timed out")
        except asyncio.CancelledError:
            if dial.cancelled():
                return _unavailable(address, "this process closes its links")
            raise

    async def _dial(self, address: str) -> link_lib.Link | refusal.Refusal:
        link = self._make_link(address)
        connected = False
        try:
            self.metrics.dials.inc()
            refused = await link.connect(_DIAL_TIMEOUT_S)
            if refused:
                return refused
            connected = True
            link.last_used_s = self._monotonic_s()
            self._links[address] = link
            self.metrics.links.set(len(self._links))
            return link
        finally:
            self._pending_dials.pop(address, None)
            if not connected:
                link.close()

    def _retire(self, link: link_lib.Link) -> None:
        if self._links.get(link.address) is link:
            del self._links[link.address]
            self.metrics.links.set(len(self._links))
        link.retire()

    async def _close_idle_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._idle_close_s / 4)
            self.close_idle()

    async def _handle(self, frame: bytes) -> bytes | None:
        self.metrics.received_bytes.inc(len(frame))
        req = self._codec.decode(frame)
        if isinstance(req, refusal.Refusal):
            # The sender is unknown without a verified envelope, so no reply
            # is sent.
            self._reject(req, "")
            return None
        self._recorder.merge_timestamp(req.at)
        if req.recipient not in (None, self._process):
            return self._reply(req, codec_lib.WrongRecipient())
        return self._reply(req, await self._run_handler(req))

    async def _run_handler(self, req: codec_lib.Message) -> Any:
        if isinstance(req.body, refusal.Refusal):
            self._reject(req.body, str(req.sender))
            return req.body
        handler = self._handlers.get(type(req.body))
        if handler is None:
            return refusal.Refusal(
                reason_lib.Reason.INVALID_REQUEST,
                f"message {req.name!r}: {self._process} does not handle it",
            )
        try:
            reply = await handler(req.sender, req.body)
            if self._codec.registry.name_of(type(reply)) is None:
                raise TypeError(f"reply {reply!r}: its type is not registered")
        except Exception:
            _log.exception(
                "peer message handler failed",
                message=req.name,
                sender=str(req.sender),
            )
            return refusal.Refusal(
                reason_lib.Reason.TIMEOUT,
                f"message {req.name!r}: the handler failed",
            )
        return reply

    def _reply(self, req: codec_lib.Message, body: Any) -> bytes | None:
        frame = self._encode_reply(req, body)
        if isinstance(frame, refusal.Refusal):
            frame = self._encode_reply(req, frame)
        if isinstance(frame, refusal.Refusal):
            return None
        self.metrics.sent_bytes.inc(len(frame))
        return frame

    def _encode_reply(
        self, req: codec_lib.Message, body: Any
    ) -> bytes | refusal.Refusal:
        return self._codec.encode(
            body,
            recipient=req.sender,
            at=self._recorder.new_timestamp(),
            exchange=req.exchange,
        )

    def _reject(self, refused: refusal.Refusal, address: str) -> None:
        self.metrics.rejected.labels(refused.reason.value).inc()
        _log.warning(
            "rejected peer message",
            reason=refused.reason.value,
            detail=refused.detail,
            address=address,
        )


def _unavailable(address: str, detail: str) -> refusal.Refusal:
    return refusal.Refusal(
        reason_lib.Reason.UNAVAILABLE, f"peer {address}: {detail}"
    )


def make_transport(
    process: incarnation.Incarnation,
    listen: str,
    fleet_key: bytes,
    recorder: recorder_lib.Recorder,
    *,
    make_link: Callable[[str, int], link_lib.Link],
    make_server: Callable[[str, int, int], link_lib.Server],
    message_types: Iterable[type] = (),
    registry: codec_lib.Registry | None = None,
    max_message_bytes: int = codec_lib.DEFAULT_MAX_MESSAGE_BYTES,
    max_handlers: int = DEFAULT_MAX_HANDLERS,
    idle_close_s: float = DEFAULT_IDLE_CLOSE_S,
    metrics_registry: prometheus_client.CollectorRegistry | None = None,
    monotonic_s: Callable[[], float] = time.monotonic,
) -> RequestTransport:
    """Returns the peer transport of one process.

    Args:
      process: Identity of this process.
      listen: `host:port` to listen on; port 0 selects a free port.
      fleet_key: Key of at least 32 bytes that all processes share.
      recorder: Source of the timestamps in envelopes.
      make_link: Creates a link, which is not connected yet, from the address of
        a peer and the maximum size of a message in bytes.
      make_server: Creates the server side from the address to listen on, the
        maximum size of a message and the maximum number of handlers.
      message_types: Types without a handler in this process, which it sends
        or receives as replies.
      registry: Message registry, by default `codec.DEFAULT`.
      max_message_bytes: Maximum size of a message in both directions.
      max_handlers: Maximum number of requests handled concurrently; further
        requests wait in the buffers of the sockets.
      idle_close_s: Idle time in seconds after which a link is closed.
      metrics_registry: Registry of the metrics, by default a private one.
      monotonic_s: Monotonic clock for deadlines and idle links, in seconds.

    Raises:
      ValueError: The key is too short or a message name is used twice.
    """
    codec = codec_lib.Codec(
        process,
        fleet_key,
        registry=registry or codec_lib.DEFAULT,
        max_message_bytes=max_message_bytes,
    )
    for msg_type in message_types:
        codec.registry.add(msg_type)
    return RequestTransport(
        codec,
        process,
        listen,
        recorder,
        peer_metrics.PeerMetrics(metrics_registry),
        lambda address: make_link(address, max_message_bytes),
        make_server(listen, max_message_bytes, max_handlers),
        idle_close_s=idle_close_s,
        monotonic_s=monotonic_s,
    )
