"""Interfaces of the connections that carry requests between peers."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable

from hibiscuspass.core import refusal

# Handles a request frame and returns the reply frame, or None to send no reply.
FrameHandler = Callable[[bytes], Awaitable[bytes | None]]


class Link(abc.ABC):
    """A connection to one peer that carries concurrent requests.

    Attributes:
      address: `host:port` of the peer.
      last_used_s: Time of the last request, set by the owner of the link from
        its own clock.
      in_flight: Number of requests that wait for a reply.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.last_used_s = 0.0
        self.in_flight = 0

    @abc.abstractmethod
    async def connect(self, timeout_s: float) -> refusal.Refusal | None:
        """Connects to the peer.

        Returns:
          None, or a refusal with `UNAVAILABLE`.
        """

    @abc.abstractmethod
    async def exchange(
        self, frame: bytes, timeout_s: float
    ) -> bytes | refusal.Refusal:
        """Sends a frame and returns the frame of the reply.

        Returns:
          The frame, or a refusal: `UNAVAILABLE` if the request was not sent,
          `TIMEOUT` if it was sent and the peer may have handled it.
        """

    @abc.abstractmethod
    def retire(self) -> None:
        """Closes the link as soon as it has no request in flight."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection; pending requests fail."""


class Server(abc.ABC):
    """Receives request frames of peers and sends the replies."""

    @abc.abstractmethod
    async def start(self, handle: FrameHandler) -> str:
        """Starts to listen and returns the `host:port` in use."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops listening and cancels running handlers."""
