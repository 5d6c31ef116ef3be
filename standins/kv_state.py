"""State of the key-value test server: revisions, leases and history."""

import bisect
from collections.abc import Callable
import itertools

import attrs

# Enough for a watch that reconnects after an outage. Older changes are
# compacted.
_HISTORY_EVENTS = 100_000


@attrs.frozen
class Entry:
    """A stored key with its value, revisions and lease."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen
class Change:
    """One write or deletion; `entry.value` is empty for a deletion."""

    entry: Entry
    deleted: bool


@attrs.define
class _Lease:
    ttl_s: int
    expires_s: float
    keys: set[bytes] = attrs.field(factory=set)


class KvState:
    """A sorted key-value map with revisions, leases and a change history.

    Attributes:
      revision: Revision of the last write.
      compacted: Older changes than this revision are no longer available.
    """

    def __init__(self, monotonic_s: Callable[[], float]) -> None:
        self.revision = 1
        self.compacted = 0
        self._monotonic_s = monotonic_s
        self._entries: dict[bytes, Entry] = {}
        self._keys: list[bytes] = []
        self._history: list[Change] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(7_000_000_000_000_001)
        self._listeners: list[Callable[[list[Change]], None]] = []

    def get(self, key: bytes) -> Entry | None:
        """Returns the entry of a key, None if it does not exist."""
        return self._entries.get(key)

    def range(self, key: bytes, end: bytes) -> list[Entry]:
        """Returns the entries in `[key, end)`.

        An empty `end` selects the single key; an `end` of one zero byte means
        no upper bound.
        """
        if not end:
            entry = self._entries.get(key)
            return [entry] if entry else []
        start = bisect.bisect_left(self._keys, key)
        stop = (
            len(self._keys)
            if end == b"\0"
            else bisect.bisect_left(self._keys, end)
        )
        return [self._entries[k] for k in self._keys[start:stop]]

    def put(self, key: bytes, value: bytes, lease: int = 0) -> int:
        """Writes a key and returns the new revision.

        Raises:
          KeyError: The lease does not exist.
        """
        if lease:
            self._leases[lease].keys.add(key)
        old = self._entries.get(key)
        if old is None:
            bisect.insort(self._keys, key)
        elif old.lease and old.lease != lease:
            self._leases[old.lease].keys.discard(key)
        self.revision += 1
        entry = Entry(
            key,
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease,
        )
        self._entries[key] = entry
        self._publish([Change(entry, deleted=False)])
        return self.revision

    def delete(self, *keys: bytes) -> int:
        """Deletes keys in one revision; returns how many existed."""
        present = [k for k in keys if k in self._entries]
        if not present:
            return 0
        self.revision += 1
        changes = []
        for key in present:
            old = self._entries.pop(key)
            del self._keys[bisect.bisect_left(self._keys, key)]
            if old.lease in self._leases:
                self._leases[old.lease].keys.discard(key)
            changes.append(
                Change(Entry(key, b"", 0, self.revision, 0), deleted=True)
            )
        self._publish(changes)
        return len(present)

    def grant(self, ttl_s: int) -> int:
        """Creates a lease and returns its id."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _Lease(ttl_s, self._monotonic_s() + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renews a lease and returns its TTL, 0 if it does not exist."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_s = self._monotonic_s() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """Revokes a lease and deletes its keys; False if it does not exist."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        self.delete(*sorted(lease.keys))
        return True

    def expire(self, *, expire_all: bool = False) -> None:
        """Revokes the leases whose TTL has passed, or all leases."""
        now_s = self._monotonic_s()
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if expire_all or lease.expires_s <= now_s
        ]
        for lease_id in expired:
            self.revoke(lease_id)

    def changes_from(self, revision: int) -> list[Change]:
        """Returns the changes since a revision, inclusive."""
        start = bisect.bisect_left(
            self._history, revision, key=lambda c: c.entry.mod_revision
        )
        return self._history[start:]

    def listen(
        self, listener: Callable[[list[Change]], None]
    ) -> Callable[[], None]:
        """Calls `listener` on each further change.

        Returns:
          A function that removes the listener.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _publish(self, changes: list[Change]) -> None:
        self._history.extend(changes)
        if len(self._history) > 2 * _HISTORY_EVENTS:
            del self._history[:-_HISTORY_EVENTS]
            self.compacted = self._history[0].entry.mod_revision
        for listener in tuple(self._listeners):
            listener(changes)
