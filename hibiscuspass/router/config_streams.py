"""Watch and poll of workspace configurations in the key-value service."""

import asyncio
import collections

import attrs
from reactivex import subject

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import table as table_lib
from hibiscuspass.router import config_metrics
from hibiscuspass.router import config_presence
from hibiscuspass.settings import config_sync


@attrs.frozen
class ReceivedEntry:
    """A configuration entry and the source that delivered it.

    Attributes:
      source: `watch`, `poll` or `announcement`, as in the metrics.
      entry: The entry.
    """

    source: str
    entry: entry_lib.ConfigEntry


def entry_from_read(
    name: str, read: kv_store.ReadResult
) -> entry_lib.ConfigEntry:
    """Returns the result of a read as the entry of a workspace."""
    if not read.entries:
        return entry_lib.ConfigEntry(name, None, read.revision)
    found = read.entries[0]
    return entry_lib.ConfigEntry(name, found.value, found.revision)


class WatchStream:
    """Watches all workspaces and reopens a watch that ended or is behind.

    Attributes:
      entries: Observable of the changes that the watch delivers.
    """

    def __init__(
        self,
        store: kv_store.KvStore,
        cfg: config_sync.ConfigSyncSettings,
        metrics: config_metrics.ConfigMetrics,
    ) -> None:
        self.entries: subject.Subject[ReceivedEntry] = subject.Subject()
        self._store = store
        self._cfg = cfg
        self._metrics = metrics
        self._next_revision = 0
        self._is_behind = asyncio.Event()

    def mark_behind(self) -> None:
        """Requests a new watch because this one missed a change."""
        self._is_behind.set()

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            self._is_behind.clear()
            watch = asyncio.create_task(self._watch_once())
            behind = asyncio.create_task(self._is_behind.wait())
            try:
                await asyncio.wait(
                    [watch, behind],
                    timeout=self._cfg.watch_max_age_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if watch.done() or behind.done():
                    self._metrics.watches_lost.inc()
            finally:
                watch.cancel()
                behind.cancel()
                await asyncio.gather(watch, behind, return_exceptions=True)
            await asyncio.sleep(self._cfg.retry_interval_s)

    async def _watch_once(self) -> None:
        has_events = False
        async for change in self._store.watch(
            keys.WORKSPACES, self._next_revision
        ):
            has_events = True
            self._next_revision = max(self._next_revision, change.revision + 1)
            name = change.key.removeprefix(keys.WORKSPACES)
            entry = entry_lib.ConfigEntry(name, change.value, change.revision)
            self.entries.on_next(ReceivedEntry("watch", entry))
        if not has_events:
            # The service may have compacted the requested revisions. Starts
            # from the current revision; polls find the missed changes.
            self._next_revision = 0


class PollStream:
    """Polls the loaded workspaces in batches, in round-robin order.

    A poll that finds a change which the watch missed marks the watch as
    behind.

    Attributes:
      entries: Observable of the entries that were read.
    """

    def __init__(
        self,
        store: kv_store.KvStore,
        cfg: config_sync.ConfigSyncSettings,
        table: table_lib.ConfigTable,
        timeout_s: float,
        watch: WatchStream,
    ) -> None:
        self.entries: subject.Subject[ReceivedEntry] = subject.Subject()
        self._store = store
        self._cfg = cfg
        self._table = table
        self._timeout_s = timeout_s
        self._watch = watch
        self._order: collections.deque[str] = collections.deque()

    async def run(self, presence: config_presence.Presence) -> None:
        """Polls until cancelled, whenever this router is discoverable."""
        while True:
            await asyncio.sleep(self._cfg.poll_interval_s)
            if presence.is_discoverable:
                await self._poll()

    async def _poll(self) -> None:
        if not self._order:
            self._order.extend(self._table.names())
        for _ in range(min(self._cfg.poll_batch, len(self._order))):
            name = self._order.popleft()
            before = self._table.revision(name)
            read = await self._store.get(
                keys.workspace(name), timeout_s=self._timeout_s
            )
            if isinstance(read, refusal.Refusal):
                return
            entry = entry_from_read(name, read)
            # If the revision advanced during the read, the change may have
            # arrived by the watch, so the watch has not missed it.
            is_unseen = before == self._table.revision(name)
            self.entries.on_next(ReceivedEntry("poll", entry))
            is_change = entry.raw is not None and entry.revision > before > 0
            if is_unseen and is_change:
                self._watch.mark_behind()
