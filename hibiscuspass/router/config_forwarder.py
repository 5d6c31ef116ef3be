"""Forwards configuration changes to peers."""

import asyncio
import collections
import random

from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import messages
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.router import config_presence
from hibiscuspass.settings import config_sync

# Peers also receive changes by watch and poll, so the oldest may be dropped.
_MAX_PENDING = 1000
# Keeps messages far below the size limit of the peer transport.
_MAX_ENTRIES_PER_MESSAGE = 64


class ConfigForwarder:
    """Announces changes that are new to this router to a few random peers."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        presence: config_presence.Presence,
        cfg: config_sync.ConfigSyncSettings,
        seed: str,
    ) -> None:
        self._transport = transport
        self._presence = presence
        self._cfg = cfg
        self._random = random.Random(seed)
        self._pending: collections.OrderedDict[str, entry_lib.ConfigEntry] = (
            collections.OrderedDict()
        )
        self._has_pending = asyncio.Event()

    def add(self, entry: entry_lib.ConfigEntry) -> None:
        """Queues a change, replacing a queued one of the same workspace."""
        self._pending[entry.name] = entry
        if len(self._pending) > _MAX_PENDING:
            self._pending.popitem(last=False)
        self._has_pending.set()

    async def run(self) -> None:
        """Sends queued changes until cancelled."""
        while True:
            await self._has_pending.wait()
            names = list(self._pending)[:_MAX_ENTRIES_PER_MESSAGE]
            msg = messages.ConfigAnnounce(
                tuple(self._pending.pop(n) for n in names)
            )
            if not self._pending:
                self._has_pending.clear()
            peers = self._presence.config_peer_addresses()
            targets = self._random.sample(
                peers, min(self._cfg.fanout, len(peers))
            )
            await asyncio.gather(
                *(
                    self._transport.request(
                        address, msg, timeout_s=self._cfg.peer_timeout_s
                    )
                    for address in targets
                )
            )
