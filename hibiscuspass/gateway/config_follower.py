"""Keeps the newest configuration from the store."""

from collections.abc import Callable
from collections.abc import Sequence
import time

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal
from hibiscuspass.core import value_delta
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.gateway import follower

_log = structlog.get_logger(__name__)

# Decodes the value of the configuration entry.
Decode = Callable[[bytes], route_table.RouteTable | refusal.Refusal]


class ConfigFollower(follower.Subscriber):
    """Decodes the configuration and keeps the table of the newest version.

    An entry with an older or equal version is ignored, since reads may be late
    or repeated. An unreadable entry leaves the table as it is.

    Attributes:
      key: Key of the configuration.
      table: Newest table; None until the first one was read.
      entry: Newest entry that was read, also if it can't be decoded here.
      recent: Its value and those before it.
    """

    def __init__(
        self,
        key: str,
        decode: Decode,
        on_table: Callable[[route_table.RouteTable], None],
    ) -> None:
        self.key = key
        self.table: route_table.RouteTable | None = None
        self.entry: kv_store.KeyValue | None = None
        self.recent = value_delta.RecentValues()
        self._decode = decode
        self._on_table = on_table

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        """See base class."""
        for entry in entries:
            if entry.key == self.key:
                self._adopt(entry)

    def on_event(self, event: kv_store.WatchEvent) -> None:
        """See base class."""
        if event.key == self.key and event.value is not None:
            self._adopt(
                kv_store.KeyValue(event.key, event.value, event.revision)
            )

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """See base class."""

    def on_restored(self) -> None:
        """See base class; the revision of the entry has lost its meaning."""
        self.entry = None

    def _adopt(self, entry: kv_store.KeyValue) -> None:
        if self.entry is None or entry.revision > self.entry.revision:
            self.entry = entry
            self.recent.add(entry.value)
        started_s = time.monotonic()
        table = self._decode(entry.value)
        if isinstance(table, refusal.Refusal):
            _log.error(
                "unreadable configuration",
                revision=entry.revision,
                detail=table.detail,
            )
            return
        if self.table is not None and table.version <= self.table.version:
            return
        _log.info(
            "configuration adopted",
            version=table.version,
            revision=entry.revision,
            bytes=len(entry.value),
            decode_ms=round((time.monotonic() - started_s) * 1000),
        )
        self.table = table
        self._on_table(table)
