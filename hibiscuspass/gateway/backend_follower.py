"""Keeps the set of backend servers up to date with the store."""

from collections.abc import Callable
from collections.abc import Sequence
import time

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_set
from hibiscuspass.gateway import follower

_log = structlog.get_logger(__name__)

# Decodes the key and value of an entry; returns None if it is not usable.
Decode = Callable[[str, bytes], backend_lib.Backend | None]


class BackendFollower(follower.Subscriber):
    """Applies the server entries of the store to a `BackendSet`.

    Attributes:
      backends: Backend servers known from the store.
      is_loaded: Whether all entries were read at least once.
    """

    def __init__(self, prefix: str, decode: Decode) -> None:
        self.backends = backend_set.BackendSet()
        self.is_loaded = False
        self._prefix = prefix
        self._decode = decode

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        """See base class."""
        decoded = (self._decode(e.key, e.value) for e in entries)
        usable = [b for b in decoded if b is not None]
        self.backends.on_list(usable, time.monotonic())
        self.is_loaded = True
        _log.info(
            "backend servers listed",
            entries=len(entries),
            usable=len(usable),
        )

    def on_event(self, event: kv_store.WatchEvent) -> None:
        """See base class."""
        backend_id = event.key.removeprefix(self._prefix)
        backend = event.value and self._decode(event.key, event.value)
        if not backend:
            self.backends.on_removed(backend_id, time.monotonic())
            _log.info("backend server gone", backend=backend_id)
        elif self.backends.on_entry(backend):
            _log.info(
                "backend server changed",
                backend=backend_id,
                service=backend.service,
                address=backend.address,
                state=backend.state.value,
            )

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """See base class."""
        if is_reachable:
            self.backends.on_store_recovered(time.monotonic())
