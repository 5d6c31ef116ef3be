"""Leaving marks of backend servers, shared between routers.

A leaving mark says that a backend server must get no new work. Evidence is
contrary if it says that the backend server accepts work.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import xxhash

from hibiscuspass.backends import vm_list
from hibiscuspass.core.membership import config
from hibiscuspass.core.membership import messages

# Bounds the memory used by marks of unlisted backend servers.
_MAX_MARKS = 20_000
# Each heartbeat carries the marks that changed within this time, up to this
# number. A peer that lacks older marks gets all of them, because its digest
# differs.
_RECENT_S = 2.0
_MAX_RECENT = 50

_Key = tuple[str, messages.MarkSource]


@attrs.define
class _MarkEntry:
    mark: messages.BackendMark
    # Time of the last change or renewal by any router.
    changed_s: float
    # Start of the uninterrupted contrary evidence at this router.
    contrary_since_s: float | None = None
    unlisted_since_s: float | None = None


class MarkTable:
    """Marks by backend server and source.

    A mark is a versioned register. Evidence of leaving writes a new version,
    and so does clearing the mark after contrary evidence has lasted for
    `clear_after_s`. New evidence of leaving at any router restarts this time on
    all routers.
    """

    def __init__(self, cfg: config.MembershipConfig) -> None:
        self._cfg = cfg
        self._entries: dict[_Key, _MarkEntry] = {}
        self._listed: Mapping[str, vm_list.Vm] = {}
        # Digest of the shared marks, None after a change.
        self._digest: int | None = None

    def is_leaving(self, backend: str) -> bool:
        """Returns whether any source reports that a server is leaving."""
        entries = (self._entries.get((backend, s)) for s in messages.MarkSource)
        return any(e is not None and e.mark.leaving for e in entries)

    def observe(
        self,
        backend: str,
        source: messages.MarkSource,
        leaving: bool,
        now_s: float,
    ) -> messages.BackendMark | None:
        """Records evidence of this router; returns the mark if it changed."""
        entry = self._entries.get((backend, source))
        if leaving:
            if entry is not None and entry.mark.leaving:
                entry.contrary_since_s = None
                if now_s - entry.changed_s < self._cfg.mark_refresh_s:
                    return None
            return self._write_version(backend, source, True, now_s)
        if entry is None or not entry.mark.leaving:
            return None
        if entry.contrary_since_s is None:
            entry.contrary_since_s = now_s
        since_s = max(entry.contrary_since_s, entry.changed_s)
        if now_s - since_s < self._cfg.clear_after_s:
            return None
        return self._write_version(backend, source, False, now_s)

    def merge(
        self, marks: Iterable[messages.BackendMark], now_s: float
    ) -> tuple[messages.BackendMark, ...]:
        """Merges the marks of a peer; returns those that were applied."""
        applied = []
        for mark in marks:
            key = (mark.backend, mark.source)
            entry = self._entries.get(key)
            if entry is not None and not _is_newer(mark, entry.mark):
                continue
            if entry is None and len(self._entries) >= _MAX_MARKS:
                continue
            self._set_mark(mark, now_s)
            applied.append(mark)
        return tuple(applied)

    def on_listed_backends(
        self, listed: Mapping[str, vm_list.Vm], now_s: float
    ) -> tuple[messages.BackendMark, ...]:
        """Sets the listed backend servers; returns changed marks."""
        self._listed = listed
        self._digest = None
        changed = [
            self.observe(
                vm.name,
                messages.MarkSource.LIST,
                vm.state is vm_list.VmState.LEAVING,
                now_s,
            )
            for vm in listed.values()
        ]
        self._drop_unlisted(now_s)
        return tuple(m for m in changed if m is not None)

    def expire(self, now_s: float) -> tuple[messages.BackendMark, ...]:
        """Clears expired observed marks of plain services; returns them."""
        expired = [
            e.mark.backend
            for (backend, source), e in self._entries.items()
            if source is messages.MarkSource.OBSERVED
            and e.mark.leaving
            and now_s - e.changed_s >= self._cfg.service_mark_ttl_s
            and backend in self._listed
            and self._listed[backend].role is vm_list.VmRole.SERVICE
        ]
        source = messages.MarkSource.OBSERVED
        return tuple(
            self._write_version(b, source, False, now_s) for b in expired
        )

    def shared(self) -> tuple[messages.BackendMark, ...]:
        """Returns the marks of listed backend servers."""
        return tuple(
            e.mark
            for (backend, _), e in self._entries.items()
            if backend in self._listed
        )

    def recent(self, now_s: float) -> tuple[messages.BackendMark, ...]:
        """Returns the marks to include in each heartbeat."""
        return tuple(
            e.mark
            for e in self._entries.values()
            if now_s - e.changed_s < _RECENT_S
        )[-_MAX_RECENT:]

    def digest(self) -> int:
        """Returns a digest of the shared marks, independent of their order."""
        if self._digest is None:
            self._digest = 0
            for m in self.shared():
                text = (
                    f"{m.backend}\0{m.source.value}\0{m.version}\0{m.leaving}"
                )
                self._digest ^= xxhash.xxh64_intdigest(text.encode())
        return self._digest

    def _write_version(
        self,
        backend: str,
        source: messages.MarkSource,
        leaving: bool,
        now_s: float,
    ) -> messages.BackendMark:
        entry = self._entries.get((backend, source))
        version = entry.mark.version + 1 if entry else 1
        mark = messages.BackendMark(backend, source, version, leaving)
        self._set_mark(mark, now_s)
        return mark

    def _set_mark(self, mark: messages.BackendMark, now_s: float) -> None:
        self._entries[mark.backend, mark.source] = _MarkEntry(mark, now_s)
        self._digest = None

    def _drop_unlisted(self, now_s: float) -> None:
        for key, entry in list(self._entries.items()):
            if key[0] in self._listed:
                entry.unlisted_since_s = None
            elif entry.unlisted_since_s is None:
                entry.unlisted_since_s = now_s
            elif now_s - entry.unlisted_since_s > self._cfg.retention_s:
                del self._entries[key]


def _is_newer(
    mark: messages.BackendMark, current: messages.BackendMark
) -> bool:
    # At the same version `leaving`, the safe value, wins on every router.
    return (mark.version, mark.leaving) > (current.version, current.leaving)
