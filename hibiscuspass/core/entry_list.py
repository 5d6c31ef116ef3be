"""Keeps the entries below a prefix, and gives their changes to peers.

Load pattern: a list of backend servers in which a few entries change each
second during a release, and routers whose links are busy with requests. The
changes have some hundred bytes, the list has some hundred for each server.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import xxhash

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

# Removed keys that are kept. Whoever is further behind gets the whole list.
_MAX_REMOVED = 1000


@attrs.frozen
class EntryChanges:
    """Differences of a list of entries from an earlier one.

    Attributes:
      changed: Entries that were added or changed.
      removed: Keys of entries that were removed.
      digest: Digest of the keys and revisions of the later list.
      is_whole: Whether `changed` is the whole later list.
    """

    changed: tuple[kv_store.KeyValue, ...]
    removed: tuple[str, ...]
    digest: bytes
    is_whole: bool = False


class EntryList:
    """The entries below a prefix as of the newest change that was read.

    Attributes:
      entries: Entries by key.
    """

    def __init__(self) -> None:
        self.entries: dict[str, kv_store.KeyValue] = {}
        # Revisions of removals by key, in the order of the removals.
        self._removed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def on_list(self, entries: Iterable[kv_store.KeyValue]) -> None:
        """Replaces all entries; when others were removed is not known."""
        self.entries = {e.key: e for e in entries}

    def on_event(self, event: kv_store.WatchEvent) -> None:
        """Applies a change."""
        if event.value is not None:
            self.entries[event.key] = kv_store.KeyValue(
                event.key, event.value, event.revision
            )
            return
        self.entries.pop(event.key, None)
        self._removed[event.key] = event.revision
        self._removed.move_to_end(event.key)
        if len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)

    def clear(self) -> None:
        """Forgets everything, since revisions have lost their meaning."""
        self.entries = {}
        self._removed.clear()

    def changes_after(self, revision: int) -> EntryChanges:
        """Returns the changes after a revision; the whole list after 0.

        They may lack removals, which shows in the digest.
        """
        is_whole = revision == 0
        return EntryChanges(
            changed=tuple(
                e for e in self.entries.values() if e.revision > revision
            ),
            removed=tuple(
                key
                for key, removed in self._removed.items()
                if removed > revision
                and key not in self.entries
                and not is_whole
            ),
            digest=_digest(self.entries),
            is_whole=is_whole,
        )


def apply_changes(
    base: Mapping[str, kv_store.KeyValue], changes: EntryChanges
) -> tuple[kv_store.KeyValue, ...] | refusal.Refusal:
    """Returns the later list.

    Args:
      base: Entries of the earlier list by key.
      changes: Differences from it.

    Returns:
      The entries; a refusal if the changes belong to another list.
    """
    later = {
        **({} if changes.is_whole else base),
        **{e.key: e for e in changes.changed},
    }
    for key in changes.removed:
        later.pop(key, None)
    if _digest(later) != changes.digest:
        return refusal.Refusal(
            reason_lib.Reason.INVALID_REQUEST,
            "the changes belong to another list",
        )
    return tuple(later.values())


def _digest(entries: Mapping[str, kv_store.KeyValue]) -> bytes:
    lines = (f"{key} {entries[key].revision}\n" for key in sorted(entries))
    return xxhash.xxh3_128_digest("".join(lines).encode())
