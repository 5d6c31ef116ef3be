"""Publish/subscribe channel between routers, over pynng sockets.

It carries messages to all peers that need no reply. The library sends a
published frame to all subscribers, which costs far less than a request to each
peer.
"""

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import Any

import pynng
import structlog

from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.peers import codec as codec_lib

_log = structlog.get_logger(__name__)

# Handles a message of a peer; called with the sender and the message.
Handler = Callable[[incarnation.Incarnation, Any], None]

_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1000
# If this many frames wait for a slow subscriber, newer frames are dropped.
_SEND_BUFFER_FRAMES = 64
_RECEIVE_BUFFER_FRAMES = 512
# Frames that are handled before control returns to the event loop.
_MAX_BATCH_FRAMES = 32
# Published messages are neither repeated nor ordered, because only recent ones
# are of use, so they carry no timestamp.
_UNSET_TIMESTAMP = clock.Timestamp(0, 0)


def publisher_address(peer: str) -> str:
    """Returns the address of the publisher socket of a router.

    Args:
      peer: `host:port` of its peer link; the publisher uses the next port.
    """
    host, _, port = peer.rpartition(":")
    return f"{host}:{int(port) + 1}"


class PynngPubSub:
    """Publishes messages of this router and receives those of its peers.

    A lost message does no harm; receivers treat messages as hints or as
    heartbeats.

    Attributes:
      last_published_s: Time of the last published message, on the monotonic
        clock.
      on_message: Called with the sender of each received message.
    """

    def __init__(self, codec: codec_lib.Codec, listen: str) -> None:
        self._codec = codec
        self._listen = listen
        self._handlers: dict[type, Handler] = {}
        self._dialers: dict[str, pynng.Dialer | None] = {}
        self.on_message: Callable[[incarnation.Incarnation], None] | None = None
        self._publisher: pynng.Pub0 | None = None
        self._subscriber: pynng.Sub0 | None = None
        self._receiver: asyncio.Task[None] | None = None
        self.last_published_s = float("-inf")

    def register(self, msg_type: type, handler: Handler) -> None:
        """Sets the handler for one message type."""
        self._codec.registry.add(msg_type)
        self._handlers[msg_type] = handler

    def start(self) -> None:
        """Starts the publisher and the task that receives messages."""
        self._publisher = pynng.Pub0(
            send_buffer_size=_SEND_BUFFER_FRAMES, async_backend="asyncio"
        )
        self._publisher.tcp_nodelay = True
        self._publisher.listen(f"tcp://{self._listen}")
        self._subscriber = pynng.Sub0(
            recv_buffer_size=_RECEIVE_BUFFER_FRAMES,
            recv_max_size=self._codec.max_message_bytes,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
            async_backend="asyncio",
        )
        self._subscriber.tcp_keepalive = True
        self._subscriber.subscribe(b"")
        self._receiver = asyncio.create_task(self._receive(self._subscriber))

    async def close(self) -> None:
        """Stops publishing and receiving and closes all connections."""
        publisher, self._publisher = self._publisher, None
        subscriber, self._subscriber = self._subscriber, None
        if self._receiver:
            self._receiver.cancel()
            await asyncio.gather(self._receiver, return_exceptions=True)
        for socket in (publisher, subscriber):
            if socket:
                socket.close()

    def set_peers(self, addresses: set[str]) -> None:
        """Connects to new peers and disconnects from peers not in `addresses`.

        Args:
          addresses: `host:port` of the peer link of each peer.
        """
        if self._subscriber is None:
            return
        for address in self._dialers.keys() - addresses:
            self.disconnect(address)
        for address in addresses - self._dialers.keys():
            self._dialers[address] = _dial(self._subscriber, address)

    def disconnect(self, address: str) -> None:
        """Closes the connection to a peer; `set_peers` opens a new one."""
        dialer = self._dialers.pop(address, None)
        if dialer:
            with contextlib.suppress(pynng.NNGException):
                dialer.close()

    def publish(self, msg: Any) -> None:
        """Sends a message to all subscribers without waiting."""
        if self._publisher is None:
            return
        frame = self._codec.encode(
            msg, recipient=None, at=_UNSET_TIMESTAMP, exchange=b""
        )
        if isinstance(frame, refusal.Refusal):
            _log.warning("broadcast message not sent", detail=frame.detail)
            return
        # A full buffer means that no subscriber keeps up. The message is then
        # dropped.
        with contextlib.suppress(pynng.TryAgain):
            self._publisher.send(frame, block=False)
            self.last_published_s = time.monotonic()

    async def _receive(self, socket: pynng.Sub0) -> None:
        # pynng suppresses a cancellation that arrives together with a frame.
        while self._subscriber is not None:
            try:
                self._handle(await socket.arecv())
                with contextlib.suppress(pynng.TryAgain):
                    for _ in range(_MAX_BATCH_FRAMES):
                        self._handle(socket.recv(block=False))
            except pynng.Closed:
                return
            except pynng.NNGException as exc:
                _log.warning("broadcast message not received", detail=str(exc))

    def _handle(self, frame: bytes) -> None:
        msg = self._codec.decode(frame)
        if isinstance(msg, refusal.Refusal):
            _log.warning("rejected broadcast message", detail=msg.detail)
            return
        if self.on_message:
            self.on_message(msg.sender)
        handler = self._handlers.get(type(msg.body))
        if handler:
            handler(msg.sender, msg.body)


def _dial(socket: pynng.Sub0, address: str) -> pynng.Dialer | None:
    """Connects to a peer; returns None if its address is malformed."""
    try:
        return socket.dial(f"tcp://{publisher_address(address)}", block=False)
    except (ValueError, pynng.NNGException) as exc:
        _log.warning("malformed address", peer=address, detail=str(exc))
        return None


def make_pubsub(
    process: incarnation.Incarnation, listen: str, fleet_key: bytes
) -> PynngPubSub:
    """Returns the publish/subscribe channel of one process.

    Args:
      process: Identity of this process.
      listen: `host:port` of its peer link.
      fleet_key: Key that all processes share.
    """
    return PynngPubSub(
        codec_lib.Codec(process, fleet_key, registry=codec_lib.Registry()),
        publisher_address(listen),
    )
