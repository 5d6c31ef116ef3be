"""Interface for requests and replies between the processes of the system."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal

# Handles one request of a peer and returns the reply message. Messages are
# attrs classes registered with `peers.codec`.
Handler = Callable[[incarnation.Incarnation, Any], Awaitable[Any]]


class Transport(abc.ABC):
    """Sends typed messages to peers and handles the messages of peers.

    Messages may be lost, delayed, repeated or reordered, so handlers must be
    idempotent.
    """

    @abc.abstractmethod
    async def request(
        self, address: str, msg: Any, *, timeout_s: float
    ) -> Any | refusal.Refusal:
        """Sends a message and returns the peer's reply.

        Args:
          address: `host:port` of the peer.
          msg: Message to send.
          timeout_s: Timeout in seconds.

        Returns:
          The reply, or a refusal with `TIMEOUT` (the peer may have handled the
          message), `UNAVAILABLE` or `UNAUTHENTICATED`.
        """

    @abc.abstractmethod
    def register(self, msg_type: type, handler: Handler) -> None:
        """Sets the handler for one message type; one handler per type."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Starts to listen."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops listening and closes all connections."""
