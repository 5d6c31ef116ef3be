"""Tracks the other routers of the fleet and whether they are alive.

Routers are discovered through their records in the store and through the
heartbeats that they publish.
"""

import asyncio
from collections.abc import Mapping
import time

import attrs
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import liveness
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.gateway import member_records
from hibiscuspass.peers import pynng_pubsub

_log = structlog.get_logger(__name__)

# Delays of the first reads. All routers of a new fleet start within a second of
# each other; those that start later are discovered by their first messages.
_FIRST_READS_S = (1.0, 4.0)
_READ_INTERVAL_S = 15.0
_TIMEOUT_S = 1.0
# Time during which a peer that did not answer is not asked.
_SUSPECT_DURATION_S = 2.0
# A router publishes a heartbeat if it has published nothing else for an
# interval. The interval grows with the fleet, since each router receives the
# heartbeats of all others: all routers together publish at most
# `_MAX_HEARTBEATS_PER_S`.
_MIN_HEARTBEAT_INTERVAL_S = 1.0
_MAX_HEARTBEATS_PER_S = 25.0
# Heartbeat intervals without a message after which a peer is not asked.
_MAX_SILENT_INTERVALS = 3.5
# Time without a message after which a peer is removed.
_FORGET_AFTER_S = 60.0


@attrs.define
class _Peer:
    process: incarnation.Incarnation
    last_seen_s: float
    suspect_until_s: float = 0.0
    last_redial_s: float = 0.0


@attrs.frozen
class Members:
    """The records of all routers in the store.

    Attributes:
      entries: All entries as they are stored.
      records: Newest record of each router name.
    """

    entries: tuple[kv_store.KeyValue, ...]
    records: tuple[store_record.RouterRecord, ...]


class Fleet:
    """Known peers by address, with the time of their last message.

    Attributes:
      process: Identity of this router.
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

    def set_pubsub(self, pubsub: pynng_pubsub.PynngPubSub) -> None:
        """Sets the channel for heartbeats and registers their handlers."""
        self._pubsub = pubsub
        pubsub.register(liveness.Alive, self._on_alive)
        pubsub.on_message = self._on_any_message

    def peers(self) -> list[str]:
        """Returns the addresses of peers that are alive and not suspected."""
        now_s = time.monotonic()
        return [
            address
            for address, peer in self._peers.items()
            if peer.suspect_until_s <= now_s
            and now_s - peer.last_seen_s < self._silence_timeout_s
        ]

    def addresses_by_name(self) -> dict[str, str]:
        """Returns the addresses of `peers` by router name."""
        return {self._peers[a].process.name: a for a in self.peers()}

    @property
    def _heartbeat_interval_s(self) -> float:
        return max(
            _MIN_HEARTBEAT_INTERVAL_S, self.known_size / _MAX_HEARTBEATS_PER_S
        )

    @property
    def _silence_timeout_s(self) -> float:
        return _MAX_SILENT_INTERVALS * self._heartbeat_interval_s

    @property
    def size(self) -> int:
        """Number of routers that are alive, this one included."""
        return 1 + len(self.peers())

    @property
    def known_size(self) -> int:
        """Number of known routers, this one included.

        Silent routers count, because they may run and only be cut off.
        """
        return 1 + len(self._peers)

    def process_at(self, address: str) -> incarnation.Incarnation | None:
        """Returns the process at an address; None if it is unknown."""
        peer = self._peers.get(address)
        return peer.process if peer else None

    def on_answer(self, address: str, process: incarnation.Incarnation) -> None:
        """Records an answer of a peer."""
        now_s = time.monotonic()
        peer = self._peers.get(address)
        if peer is None or peer.process != process:
            self._add(address, process)
            self._update_subscriptions()
            return
        if (
            peer.suspect_until_s
            or now_s - peer.last_seen_s >= self._silence_timeout_s
        ):
            _log.info("peer back", peer=str(process), address=address)
        peer.suspect_until_s = 0.0
        peer.last_seen_s = now_s

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
        peer.suspect_until_s = time.monotonic() + _SUSPECT_DURATION_S

    async def run_heartbeat(self) -> None:
        """Publishes heartbeats and redials silent peers until cancelled."""
        while True:
            if self._pubsub:
                since_publish_s = (
                    time.monotonic() - self._pubsub.last_published_s
                )
                if since_publish_s >= self._heartbeat_interval_s:
                    self._pubsub.publish(liveness.Alive(self._address))
                self._redial_silent(self._pubsub)
            await asyncio.sleep(self._heartbeat_interval_s / 2)

    def _redial_silent(self, pubsub: pynng_pubsub.PynngPubSub) -> None:
        """Replaces connections to silent peers, and removes long silent peers.

        A connection may stop delivering messages while a new one would work.
        """
        now_s = time.monotonic()
        forgotten = [
            address
            for address, peer in self._peers.items()
            if now_s - peer.last_seen_s >= _FORGET_AFTER_S
        ]
        if len(forgotten) < len(self._peers):
            # If all peers are silent, this router itself is cut off.
            for address in forgotten:
                self._by_process.pop(self._peers.pop(address).process, None)
        for address, peer in self._peers.items():
            if (
                now_s - max(peer.last_seen_s, peer.last_redial_s)
                >= self._silence_timeout_s
            ):
                peer.last_redial_s = now_s
                pubsub.disconnect(address)
        self._update_subscriptions()

    def _update_subscriptions(self) -> None:
        if self._pubsub:
            self._pubsub.set_peers(set(self._peers))

    def _on_any_message(self, sender: incarnation.Incarnation) -> None:
        peer = self._by_process.get(sender)
        if peer is not None:
            peer.last_seen_s = time.monotonic()

    def _on_alive(
        self, sender: incarnation.Incarnation, msg: liveness.Alive
    ) -> None:
        self.on_answer(msg.address, sender)

    async def run(self) -> None:
        """Reads the routers' records at intervals until cancelled."""
        for delay_s in _FIRST_READS_S:
            await asyncio.sleep(delay_s)
            await self.read()
        while True:
            await asyncio.sleep(_READ_INTERVAL_S)
            await self.read()

    async def read(self, *, stale_ok: bool = True) -> Members | refusal.Refusal:
        """Reads the routers' records and adds routers that are new.

        Args:
          stale_ok: Whether the store may give a cheaper reply that is a few
            seconds old.
        """
        result = await self._store.get_prefix(
            store_record.ROUTER_PREFIX, timeout_s=_TIMEOUT_S, stale_ok=stale_ok
        )
        if isinstance(result, refusal.Refusal):
            return result
        records = member_records.decode(result.entries)
        self._add_members(records)
        return Members(
            tuple(result.entries),
            tuple(records.values()),
        )

    def _add_members(
        self,
        members: Mapping[incarnation.Incarnation, store_record.RouterRecord],
    ) -> None:
        """Adds peers from their records.

        An address that is known already keeps its process.
        """
        for process, record in members.items():
            address = record.address
            if process.name != self.process.name and (
                address not in self._peers
            ):
                self._add(address, process)
        self._update_subscriptions()
