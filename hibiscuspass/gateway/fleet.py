"""The routers of the fleet, found through the store."""

import asyncio
from collections.abc import Mapping
import time

import attrs
import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.gateway import member_records

_log = structlog.get_logger(__name__)

# All routers of a new fleet start within a second of each other; later ones
# make themselves known by their first messages.
_FIRST_READS_S = (1.0, 4.0)
_READ_INTERVAL_S = 15.0
_TIMEOUT_S = 1.0
# Pause before a peer that did not answer is asked again, in seconds.
_SUSPECT_S = 2.0


@attrs.define
class _Peer:
    process: incarnation.Incarnation
    suspect_until_s: float = 0.0


@attrs.frozen
class Members:
    """The routers' records in the store.

    Attributes:
      keys: Keys of all records.
      records: Newest record of each router name.
    """

    keys: tuple[str, ...]
    records: tuple[store_record.RouterRecord, ...]


class Fleet:
    """Peers by address, and whether they answer.

    Attributes:
      process: This router.
    """

    def __init__(
        self, process: incarnation.Incarnation, store: txn_store.TxnStore
    ) -> None:
        self.process = process
        self._store = store
        self._peers: dict[str, _Peer] = {}

    def peers(self) -> list[str]:
        """Returns the addresses of the peers that are worth asking."""
        now_s = time.monotonic()
        return [
            address
            for address, peer in self._peers.items()
            if peer.suspect_until_s <= now_s
        ]

    @property
    def size(self) -> int:
        """Number of routers that are alive, this one included."""
        return 1 + len(self.peers())

    def process_at(self, address: str) -> incarnation.Incarnation | None:
        """Returns the process at an address, if one is known."""
        peer = self._peers.get(address)
        return peer.process if peer else None

    def on_answer(self, address: str, process: incarnation.Incarnation) -> None:
        """Records an answer of a peer."""
        peer = self._peers.get(address)
        if peer is None or peer.process != process:
            self._peers[address] = _Peer(process)
            _log.info("peer known", peer=str(process), address=address)
        elif peer.suspect_until_s:
            peer.suspect_until_s = 0.0
            _log.info("peer back", peer=str(process), address=address)

    def on_failure(self, address: str) -> None:
        """Records that a peer did not answer."""
        peer = self._peers.get(address)
        if peer is None:
            return
        if not peer.suspect_until_s:
            _log.warning("peer suspected", peer=str(peer.process))
        peer.suspect_until_s = time.monotonic() + _SUSPECT_S

    async def run(self) -> None:
        """Reads the routers' records until cancelled."""
        for delay_s in _FIRST_READS_S:
            await asyncio.sleep(delay_s)
            await self.read()
        while True:
            await asyncio.sleep(_READ_INTERVAL_S)
            await self.read()

    async def read(self) -> Members | refusal.Refusal:
        """Reads the routers' records and takes them in."""
        result = await self._store.get_prefix(
            store_record.ROUTER_PREFIX, timeout_s=_TIMEOUT_S, stale_ok=True
        )
        if isinstance(result, refusal.Refusal):
            return result
        records = member_records.decode(result.entries)
        self._on_members(records)
        return Members(
            tuple(item.key for item in result.entries),
            tuple(records.values()),
        )

    def _on_members(
        self,
        members: Mapping[incarnation.Incarnation, store_record.RouterRecord],
    ) -> None:
        """Takes in the routers' records; an address belongs to one name."""
        for process, record in members.items():
            address = record.address
            if process.name != self.process.name and (
                address not in self._peers
            ):
                self._peers[address] = _Peer(process)
                _log.info("peer known", peer=str(process), address=address)
