"""Sends messages to all peers without waiting for them."""

import asyncio
from typing import Any

from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.peers import transport as transport_lib

_TIMEOUT_S = 0.3
# Bounds the work while peers are slow; such messages are of use only fresh.
_MAX_PENDING = 64


class Broadcast:
    """Messages whose loss does no harm."""

    def __init__(
        self, transport: transport_lib.Transport, fleet: fleet_lib.Fleet
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._pending: set[asyncio.Task[None]] = set()

    def send(self, msg: Any, reply_type: type) -> None:
        """Sends a message to each peer that is worth asking.

        Args:
          msg: Message of a registered type.
          reply_type: Type of the reply; anything else counts as a failure.
        """
        for peer in self._fleet.peers():
            if len(self._pending) >= _MAX_PENDING:
                return
            task = asyncio.create_task(self._tell(peer, msg, reply_type))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)

    async def _tell(self, peer: str, msg: Any, reply_type: type) -> None:
        reply = await self._transport.request(peer, msg, timeout_s=_TIMEOUT_S)
        if not isinstance(reply, reply_type):
            self._fleet.on_failure(peer)
