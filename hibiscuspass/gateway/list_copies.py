"""Copies the list of backend servers from peers.

Whether and when to copy is decided in `core/membership/copy_policy.py` and
`follower.py`, what a copy contains in `core/entry_list.py`.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import zlib

import msgspec
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import entry_list
from hibiscuspass.core import incarnation
from hibiscuspass.core import list_copy
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.gateway import follower as follower_lib
from hibiscuspass.gateway import peer_copies
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

_TIMEOUT_S = 1.5
# Level of zlib. Fast rather than small: routers have a fraction of a core.
_COMPRESSION_LEVEL = 1
# Larger lists are read from the store.
_MAX_LIST_BYTES = 8 << 20

_Row = tuple[str, bytes, int]
_ROWS = msgspec.msgpack.Decoder(list[_Row])


class EntryKeeper(follower_lib.Subscriber):
    """Keeps the entries that a follower reads.

    Attributes:
      entries: The entries below the prefix.
    """

    def __init__(self) -> None:
        self.entries = entry_list.EntryList()

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        """See base class."""
        self.entries.on_list(entries)

    def on_event(self, event: kv_store.WatchEvent) -> None:
        """See base class."""
        self.entries.on_event(event)

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """See base class."""

    def on_restored(self) -> None:
        """See base class."""
        self.entries.clear()


class ListCopies(peer_copies.Copier):
    """Asks peers for changes of a list of entries, and gives them to peers."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        keeper: EntryKeeper,
        follower: follower_lib.Follower,
        store: txn_store.TxnStore,
    ) -> None:
        """Creates an instance, which answers peers from now on.

        Args:
          transport: Link to peers.
          keeper: Keeps what the follower has read.
          follower: Follows the prefix.
          store: Store that is followed; names its era.
        """
        self._transport = transport
        self._keeper = keeper
        self._follower = follower
        self._store = store
        transport.register(list_copy.AskEntries, self._on_ask)

    async def copy(
        self, address: str, revision: int
    ) -> kv_store.ReadResult | None:
        """See base class."""
        known = self._follower.newest_change
        result = await self._ask(address, revision, known)
        if isinstance(result, refusal.Refusal) and known:
            _log_unreadable(address, result)
            result = await self._ask(address, revision, 0)
        if isinstance(result, refusal.Refusal):
            _log_unreadable(address, result)
            return None
        return result

    async def _ask(
        self, address: str, revision: int, known: int
    ) -> kv_store.ReadResult | refusal.Refusal | None:
        """Asks a peer once.

        Args:
          address: `host:port` of the peer link of the peer.
          revision: Change that the peer must have read.
          known: Newest change that this router has read; 0 for the whole list.

        Returns:
          All entries; None without a reply, or if the peer has not read the
          change. A refusal if the copy doesn't fit the entries of this router.
        """
        base = self._keeper.entries.entries.copy()
        reply = await self._transport.request(
            address,
            list_copy.AskEntries(self._follower.prefix, revision, known),
            timeout_s=_TIMEOUT_S,
        )
        if (
            not isinstance(reply, list_copy.EntriesCopy)
            or reply.revision < revision
            or reply.era != self._store.era.current
        ):
            return None
        entries = _decode(reply, base)
        if isinstance(entries, refusal.Refusal):
            return entries
        _log.info(
            "list copied",
            prefix=self._follower.prefix,
            address=address,
            revision=reply.revision,
            known=known,
            entries=len(entries),
            removed=len(reply.removed),
            compressed_bytes=len(reply.data),
            is_whole=reply.is_whole,
        )
        return kv_store.ReadResult(entries, reply.revision)

    async def _on_ask(
        self, _: incarnation.Incarnation, msg: list_copy.AskEntries
    ) -> list_copy.EntriesCopy:
        newest = self._follower.newest_change
        if msg.prefix != self._follower.prefix or newest < msg.revision:
            return list_copy.EntriesCopy(0)
        changes = self._keeper.entries.changes_after(msg.known)
        rows = [(e.key, e.value, e.revision) for e in changes.changed]
        return list_copy.EntriesCopy(
            newest,
            self._store.era.current,
            zlib.compress(msgspec.msgpack.encode(rows), _COMPRESSION_LEVEL),
            list(changes.removed),
            changes.digest,
            changes.is_whole,
        )


def _log_unreadable(address: str, refused: refusal.Refusal) -> None:
    _log.warning("unreadable copy", address=address, detail=refused.detail)


def _decode(
    copy: list_copy.EntriesCopy, base: Mapping[str, kv_store.KeyValue]
) -> tuple[kv_store.KeyValue, ...] | refusal.Refusal:
    try:
        rows = _ROWS.decode(
            zlib.decompressobj().decompress(copy.data, _MAX_LIST_BYTES)
        )
    except (zlib.error, msgspec.MsgspecError) as exc:
        return refusal.Refusal(reason_lib.Reason.INVALID_REQUEST, str(exc))
    return entry_list.apply_changes(
        base,
        entry_list.EntryChanges(
            tuple(kv_store.KeyValue(*row) for row in rows),
            tuple(copy.removed),
            copy.digest,
            copy.is_whole,
        ),
    )
