"""The routers of the fleet, found through the store."""

import asyncio
from collections.abc import Mapping
import time

import attrs
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import membership_news
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.gateway import member_records
from hibiscuspass.peers import pynng_pubsub

_log = structlog.get_logger(__name__)

# All routers of a new fleet start within a second of each other; later ones
# make themselves known by their first messages.
_FIRST_READS_S = (1.0, 4.0)
_READ_INTERVAL_S = 15.0
_TIMEOUT_S = 1.0
# Pause before a peer that did not answer is asked again, in seconds.
_SUSPECT_S = 2.0
# Interval of the signs of life in seconds; other news serves as well. In a
# larger fleet it grows, since each router gets those of all.
_ALIVE_S = 1.0
_ROUTERS_PER_ALIVE_S = 25.0
# A peer is not asked any more after this many intervals of silence.
_SILENT_INTERVALS = 3.5
# Silence after which a peer is forgotten, in seconds.
_FORGET_S = 60.0


@attrs.define
class _Peer:
    process: incarnation.Incarnation
    seen_s: float
    suspect_until_s: float = 0.0
    redialled_s: float = 0.0


@attrs.frozen
class Members:
    """The routers' records in the store.

    Attributes:
      items: All records as they are stored.
      records: Newest record of each router name.
    """

    items: tuple[kv_store.KeyValue, ...]
    records: tuple[store_record.RouterRecord, ...]


class Fleet:
    """Peers by address, and whether they answer.

    Attributes:
      process: This router.
    """

    def __init__(
        self,
        process: incarnation.Incarnation,
        address: str,
        store: txn_store.TxnStore,
    ) -> None:
        self.process = process
        self._address = address
        self._store = store
        self._peers: dict[str, _Peer] = {}
        self._by_process: dict[incarnation.Incarnation, _Peer] = {}
        self._pubsub: pynng_pubsub.PynngPubSub | None = None

    def use_pubsub(self, pubsub: pynng_pubsub.PynngPubSub) -> None:
        """Sets the channel for signs of life."""
        self._pubsub = pubsub
        pubsub.register(membership_news.Alive, self._on_alive)
        pubsub.on_message = self._on_sign_of_life

    def peers(self) -> list[str]:
        """Returns the addresses of the peers that are worth asking."""
        now_s = time.monotonic()
        return [
            address
            for address, peer in self._peers.items()
            if peer.suspect_until_s <= now_s
            and now_s - peer.seen_s < self._silent_s
        ]

    def names(self) -> dict[str, str]:
        """Returns the addresses of the peers worth asking, by name."""
        return {self._peers[a].process.name: a for a in self.peers()}

    @property
    def _alive_s(self) -> float:
        return max(_ALIVE_S, self.known_size / _ROUTERS_PER_ALIVE_S)

    @property
    def _silent_s(self) -> float:
        return _SILENT_INTERVALS * self._alive_s

    @property
    def size(self) -> int:
        """Number of routers that are alive, this one included."""
        return 1 + len(self.peers())

    @property
    def known_size(self) -> int:
        """Number of known routers; silent ones may only be cut off."""
        return 1 + len(self._peers)

    def process_at(self, address: str) -> incarnation.Incarnation | None:
        """Returns the process at an address, if one is known."""
        peer = self._peers.get(address)
        return peer.process if peer else None

    def on_answer(self, address: str, process: incarnation.Incarnation) -> None:
        """Records an answer of a peer."""
        now_s = time.monotonic()
        peer = self._peers.get(address)
        if peer is None or peer.process != process:
            self._add(address, process)
            self._follow()
            return
        if peer.suspect_until_s or now_s - peer.seen_s >= self._silent_s:
            _log.info("peer back", peer=str(process), address=address)
        peer.suspect_until_s = 0.0
        peer.seen_s = now_s

    def _add(self, address: str, process: incarnation.Incarnation) -> None:
        old = self._peers.get(address)
        if old is not None:
            self._by_process.pop(old.process, None)
        peer = _Peer(process, time.monotonic())
        self._peers[address] = self._by_process[process] = peer
        _log.info("peer known", peer=str(process), address=address)

    def on_failure(self, address: str) -> None:
        """Records that a peer did not answer."""
        peer = self._peers.get(address)
        if peer is None:
            return
        if not peer.suspect_until_s:
            _log.warning("peer suspected", peer=str(peer.process))
        peer.suspect_until_s = time.monotonic() + _SUSPECT_S

    async def run_alive(self) -> None:
        """Tells peers that this router runs until cancelled."""
        while True:
            if self._pubsub:
                quiet_s = time.monotonic() - self._pubsub.last_published_s
                if quiet_s >= self._alive_s:
                    self._pubsub.publish(membership_news.Alive(self._address))
                self._redial_silent(self._pubsub)
            await asyncio.sleep(self._alive_s / 2)

    def _redial_silent(self, pubsub: pynng_pubsub.PynngPubSub) -> None:
        """Replaces connections that may have gone silent for good."""
        now_s = time.monotonic()
        forgotten = [
            address
            for address, peer in self._peers.items()
            if now_s - peer.seen_s >= _FORGET_S
        ]
        if len(forgotten) < len(self._peers):
            # Otherwise this router is the one that is cut off.
            for address in forgotten:
                self._by_process.pop(self._peers.pop(address).process, None)
        for address, peer in self._peers.items():
            if now_s - max(peer.seen_s, peer.redialled_s) >= self._silent_s:
                peer.redialled_s = now_s
                pubsub.disconnect(address)
        self._follow()

    def _follow(self) -> None:
        if self._pubsub:
            self._pubsub.set_peers(set(self._peers))

    def _on_sign_of_life(self, sender: incarnation.Incarnation) -> None:
        peer = self._by_process.get(sender)
        if peer is not None:
            peer.seen_s = time.monotonic()

    def _on_alive(
        self, sender: incarnation.Incarnation, msg: membership_news.Alive
    ) -> None:
        self.on_answer(msg.address, sender)

    async def run(self) -> None:
        """Reads the routers' records until cancelled."""
        for delay_s in _FIRST_READS_S:
            await asyncio.sleep(delay_s)
            await self.read()
        while True:
            await asyncio.sleep(_READ_INTERVAL_S)
            await self.read()

    async def read(self, *, stale_ok: bool = True) -> Members | refusal.Refusal:
        """Reads the routers' records and takes them in.

        Args:
          stale_ok: Whether a cheaper reply that is seconds old will do.
        """
        result = await self._store.get_prefix(
            store_record.ROUTER_PREFIX, timeout_s=_TIMEOUT_S, stale_ok=stale_ok
        )
        if isinstance(result, refusal.Refusal):
            return result
        records = member_records.decode(result.entries)
        self._on_members(records)
        return Members(
            tuple(result.entries),
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
                self._add(address, process)
        self._follow()
