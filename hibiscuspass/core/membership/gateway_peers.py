"""Peers of a gateway, with what is known of their life, without I/O.

Load pattern: fleets of a few to hundreds of routers, of which some are killed,
cut off, frozen or replaced. Each router listens to a bounded number of
neighbours, whose silence it notices within seconds. All others are known from
the records that they keep in the store, and from their replies.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.membership import member_record
from hibiscuspass.core.membership import neighbours

# Time without a message after which a neighbour is not asked. Heartbeats come
# each second.
SILENCE_TIMEOUT_S = 3.5
# Largest number of neighbours. In a fleet of up to ten routers, all others are
# neighbours.
_MAX_NEIGHBOURS = 9
# Time during which a peer that did not answer is not asked.
_SUSPECT_DURATION_S = 2.0
# Consecutive reads of the records without a peer after which it is not asked.
_MAX_MISSED_READS = 2
# Time without a sign of life after which a peer is removed.
_FORGET_AFTER_S = 60.0


@attrs.define
class Peer:
    """Another router.

    Attributes:
      process: Its newest known process.
      address: `host:port` of its peer link.
      heard_s: Time of its last message, or of its discovery.
      listed_s: Time of the last read of the records that included it.
      missed_reads: Consecutive reads that did not include it.
      suspect_until_s: Time until which it is not asked.
      redialled_s: Time at which its connection was last replaced.
    """

    process: incarnation.Incarnation
    address: str
    heard_s: float
    listed_s: float
    missed_reads: int = 0
    suspect_until_s: float = 0.0
    redialled_s: float = 0.0


class GatewayPeers:
    """Known peers by address. All times are seconds of a monotonic clock."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, Peer] = {}
        self._by_process: dict[incarnation.Incarnation, Peer] = {}
        self._neighbours: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._peers)

    def get(self, address: str) -> Peer | None:
        """Returns the peer at an address."""
        return self._peers.get(address)

    @property
    def neighbours(self) -> frozenset[str]:
        """Addresses of the peers whose heartbeats this router receives."""
        return self._neighbours

    @property
    def names(self) -> frozenset[str]:
        """Names of all known peers, also of silent ones."""
        return frozenset(p.process.name for p in self._peers.values())

    def live(self, now_s: float) -> list[Peer]:
        """Returns the peers that are alive and not suspected."""
        return [p for p in self._peers.values() if self._is_live(p, now_s)]

    def add(
        self, address: str, process: incarnation.Incarnation, now_s: float
    ) -> bool:
        """Records a sign of life of a peer; returns whether it is new."""
        peer = self._peers.get(address)
        is_new = peer is None or peer.process != process
        if peer is None or is_new:
            peer = self._put(address, process, now_s)
        peer.heard_s = now_s
        peer.suspect_until_s = 0.0
        return is_new

    def on_message(
        self, process: incarnation.Incarnation, now_s: float
    ) -> None:
        """Records a message of a peer; unknown ones are ignored."""
        peer = self._by_process.get(process)
        if peer is not None:
            peer.heard_s = now_s

    def on_failure(self, address: str, now_s: float) -> bool:
        """Records that a peer did not answer.

        Returns:
          Whether the peer is known and was not suspected before.
        """
        peer = self._peers.get(address)
        if peer is None:
            return False
        is_first = peer.suspect_until_s <= now_s
        peer.suspect_until_s = now_s + _SUSPECT_DURATION_S
        return is_first

    def on_records(
        self, records: Mapping[str, member_record.MemberRecord], now_s: float
    ) -> list[Peer]:
        """Applies a complete read of the records.

        Args:
          records: Records by router name.
          now_s: Current time.

        Returns:
          Peers that are new.
        """
        listed = {
            record.address: incarnation.Incarnation(name, record.start_id)
            for name, record in records.items()
            if name != self._name
        }
        added = []
        for address, process in listed.items():
            peer = self._peers.get(address)
            # A record may be older than the process that sent a message.
            if peer is None or (
                peer.process != process
                and now_s - peer.heard_s >= SILENCE_TIMEOUT_S
            ):
                peer = self._put(address, process, now_s)
                added.append(peer)
            peer.listed_s = now_s
            peer.missed_reads = 0
        for address in self._peers.keys() - listed.keys():
            self._peers[address].missed_reads += 1
        return added

    def forget_silent(self, now_s: float) -> None:
        """Removes peers without any sign of life for a long time.

        If all peers are silent, this router itself is cut off and keeps them.
        """
        silent = [
            p
            for p in self._peers.values()
            if now_s - max(p.heard_s, p.listed_s) >= _FORGET_AFTER_S
        ]
        if len(silent) < len(self._peers):
            for peer in silent:
                self._remove(peer)

    def take_silent_neighbours(self, now_s: float) -> list[str]:
        """Returns addresses of neighbours whose connection is to be replaced.

        A connection may stop delivering messages while a new one would work.
        """
        silent = [
            peer
            for peer in map(self._peers.__getitem__, self._neighbours)
            if now_s - max(peer.heard_s, peer.redialled_s) >= SILENCE_TIMEOUT_S
        ]
        for peer in silent:
            peer.redialled_s = now_s
        return [peer.address for peer in silent]

    def _is_live(self, peer: Peer, now_s: float) -> bool:
        if peer.suspect_until_s > now_s:
            return False
        if now_s - peer.heard_s < SILENCE_TIMEOUT_S:
            return True
        return (
            peer.address not in self._neighbours
            and peer.missed_reads < _MAX_MISSED_READS
        )

    def _put(
        self, address: str, process: incarnation.Incarnation, now_s: float
    ) -> Peer:
        old = self._peers.get(address)
        if old is not None:
            self._by_process.pop(old.process, None)
        peer = Peer(process, address, heard_s=now_s, listed_s=now_s)
        self._peers[address] = self._by_process[process] = peer
        self._update_neighbours()
        return peer

    def _remove(self, peer: Peer) -> None:
        del self._peers[peer.address]
        self._by_process.pop(peer.process, None)
        self._update_neighbours()

    def _update_neighbours(self) -> None:
        by_name = {p.process.name: a for a, p in self._peers.items()}
        names = neighbours.ring_neighbours(
            self._name, _without(by_name, self._name), _MAX_NEIGHBOURS
        )
        self._neighbours = frozenset(by_name[name] for name in names)


def _without(names: Iterable[str], name: str) -> list[str]:
    return [n for n in names if n != name]
