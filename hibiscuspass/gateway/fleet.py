"""Tracks the other routers of the fleet and whether they are alive.

Routers are discovered through their records in the store. Neighbours also
publish heartbeats, and announce the answers of the store.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import time

import attrs
import msgspec
import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import liveness
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import gateway_peers
from hibiscuspass.core.membership import member_record
from hibiscuspass.gateway import follower
from hibiscuspass.peers import pynng_pubsub

_log = structlog.get_logger(__name__)

# Delays of the first reads. All routers of a new fleet start within a second of
# each other.
_FIRST_READS_S = (1.0, 2.0)
_READ_INTERVAL_S = 10.0
_TIMEOUT_S = 1.0
# A router publishes a heartbeat if it has published nothing else for this time.
_HEARTBEAT_INTERVAL_S = 1.0
_HEARTBEAT_CHECK_INTERVAL_S = 0.5

# Each request asks for the live peers several times. News of single peers take
# effect at once.
_LIVE_PEERS_MAX_AGE_S = 0.1

# Called with the prefix and the revision that a peer has announced, and its
# address.
AnnouncementHandler = Callable[[str, int, str], None]


@attrs.frozen
class _LivePeers:
    """Peers that are alive and not suspected.

    Attributes:
      addresses: Addresses by router name.
      processes: Processes by router name.
    """

    addresses: Mapping[str, str]
    processes: Mapping[str, incarnation.Incarnation]


class Fleet(follower.Peers):
    """Known peers, with the time of their last message.

    Attributes:
      process: Identity of this router.
      address: `host:port` of its peer link.
      on_announced: Called when a peer had an answer of the store.
    """

    def __init__(
        self,
        process: incarnation.Incarnation,
        address: str,
        store: txn_store.TxnStore,
    ) -> None:
        self.process = process
        self.on_announced: AnnouncementHandler | None = None
        self.address = address
        self._store = store
        self._peers = gateway_peers.GatewayPeers(process.name)
        self._live_peers: _LivePeers | None = None
        self._live_until_s = 0.0
        self._publishers: frozenset[str] = frozenset()
        self._pubsub: pynng_pubsub.PynngPubSub | None = None

    def set_pubsub(self, pubsub: pynng_pubsub.PynngPubSub) -> None:
        """Sets the channel for heartbeats and registers their handlers."""
        self._pubsub = pubsub
        pubsub.register(liveness.Alive, self._on_alive)
        pubsub.on_message = self._on_any_message

    def peers(self) -> list[str]:
        """Returns the addresses of peers that are alive and not suspected."""
        return list(self._live().addresses.values())

    def addresses_by_name(self) -> Mapping[str, str]:
        """Returns the addresses of `peers` by router name."""
        return self._live().addresses

    def processes_by_name(self) -> Mapping[str, incarnation.Incarnation]:
        """Returns the processes of `peers` by router name."""
        return self._live().processes

    def _live(self) -> _LivePeers:
        now_s = time.monotonic()
        if self._live_peers is None or now_s >= self._live_until_s:
            live = self._peers.live(now_s)
            self._live_peers = _LivePeers(
                {p.process.name: p.address for p in live},
                {p.process.name: p.process for p in live},
            )
            self._live_until_s = now_s + _LIVE_PEERS_MAX_AGE_S
        return self._live_peers

    @property
    def size(self) -> int:
        """Number of routers that are alive, this one included."""
        return 1 + len(self._live().addresses)

    @property
    def known_size(self) -> int:
        """Number of known routers, this one included.

        Silent routers count, because they may run and only be cut off.
        """
        return 1 + len(self._peers)

    @property
    def known_names(self) -> frozenset[str]:
        """Names of all known peers, also of silent ones."""
        return self._peers.names

    def process_at(self, address: str) -> incarnation.Incarnation | None:
        """Returns the process at an address; None if it is unknown."""
        peer = self._peers.get(address)
        return peer.process if peer else None

    def announce(self, prefix: str, revision: int) -> None:
        """See base class."""
        if self._pubsub:
            self._pubsub.publish(
                liveness.Alive(
                    self.address, {prefix: revision}, self._store.era.current
                )
            )

    def subscribe_to(self, names: Iterable[str]) -> None:
        """Sets the routers whose messages are received, next to neighbours."""
        addresses = self.addresses_by_name()
        self._publishers = frozenset(
            addresses[name] for name in names if name in addresses
        )
        self._update_subscriptions()

    def on_answer(self, address: str, process: incarnation.Incarnation) -> None:
        """Records an answer of a peer."""
        peer = self._peers.get(address)
        was_suspected = peer is not None and peer.suspect_until_s > 0
        if self._peers.add(address, process, time.monotonic()):
            self._on_new_peer(process, address)
        elif was_suspected:
            self._live_peers = None
            _log.info("peer back", peer=str(process), address=address)

    def on_failure(self, address: str) -> None:
        """Records that a peer did not answer."""
        self._live_peers = None
        if self._peers.on_failure(address, time.monotonic()):
            _log.warning("peer suspected", peer=str(self.process_at(address)))

    async def run_heartbeat(self) -> None:
        """Publishes heartbeats and redials silent peers until cancelled."""
        while True:
            if self._pubsub:
                since_publish_s = (
                    time.monotonic() - self._pubsub.last_published_s
                )
                if since_publish_s >= _HEARTBEAT_INTERVAL_S:
                    self._pubsub.publish(
                        liveness.Alive(
                            self.address, era=self._store.era.current
                        )
                    )
                self._redial_silent(self._pubsub)
            await asyncio.sleep(_HEARTBEAT_CHECK_INTERVAL_S)

    def _redial_silent(self, pubsub: pynng_pubsub.PynngPubSub) -> None:
        """Replaces connections to silent peers and removes lost peers."""
        now_s = time.monotonic()
        self._peers.forget_silent(now_s)
        for address in self._peers.take_silent_neighbours(now_s):
            pubsub.disconnect(address)
        self._update_subscriptions()

    def _update_subscriptions(self) -> None:
        if self._pubsub:
            self._pubsub.set_peers(
                set(self._peers.neighbours | self._publishers)
            )

    def _on_any_message(self, sender: incarnation.Incarnation) -> None:
        self._peers.on_message(sender, time.monotonic())

    def _on_alive(
        self, sender: incarnation.Incarnation, msg: liveness.Alive
    ) -> None:
        self.on_answer(msg.address, sender)
        # Revisions of different eras can't be compared.
        is_same_era = self._store.era.on_announced(msg.era)
        if self.on_announced and is_same_era:
            for prefix, revision in msg.revisions.items():
                self.on_announced(prefix, revision, msg.address)

    def _on_new_peer(
        self, process: incarnation.Incarnation, address: str
    ) -> None:
        self._live_peers = None
        _log.info("peer known", peer=str(process), address=address)
        self._update_subscriptions()

    async def run(self) -> None:
        """Reads the routers' records at intervals until cancelled."""
        for delay_s in _FIRST_READS_S:
            await asyncio.sleep(delay_s)
            await self.read()
        while True:
            await asyncio.sleep(_READ_INTERVAL_S)
            await self.read()

    async def read(self, *, stale_ok: bool = True) -> refusal.Refusal | None:
        """Reads the routers' records and adds routers that are new.

        Args:
          stale_ok: Whether the store may give a cheaper reply that is a few
            seconds old.

        Returns:
          Why the records could not be read; None if they were.
        """
        result = await self._store.get_prefix(
            member_record.MEMBER_PREFIX,
            timeout_s=_TIMEOUT_S,
            stale_ok=stale_ok,
        )
        if isinstance(result, refusal.Refusal):
            return result
        records: dict[str, member_record.MemberRecord] = {}
        for item in result.entries:
            name = item.key.removeprefix(member_record.MEMBER_PREFIX)
            try:
                records[name] = member_record.decode(item.value)
            except msgspec.MsgspecError as exc:
                _log.warning(
                    "unreadable member record", key=item.key, error=str(exc)
                )
        for peer in self._peers.on_records(records, time.monotonic()):
            self._on_new_peer(peer.process, peer.address)
        return None
