"""Keeps the set of backend servers up to date with the store."""

from collections.abc import Callable
from collections.abc import Sequence
import time

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core import log_limit
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_set
from hibiscuspass.core.forwarding import cold_servers
from hibiscuspass.gateway import follower

_log = structlog.get_logger(__name__)

# Decodes the key and value of an entry; returns None if it is not usable.
Decode = Callable[[str, bytes], backend_lib.Backend | None]
# Decodes for how many seconds the server of an entry stays cold.
DecodeCold = Callable[[bytes], float | refusal.Refusal]

# Servers may start in large numbers.
_LOG_INTERVAL_S = 1.0
_UNUSABLE_LOG_INTERVAL_S = 10.0


class BackendFollower(follower.Subscriber):
    """Applies the server entries of the store to a `BackendSet`.

    Attributes:
      backends: Backend servers known from the store.
      is_loaded: Whether all entries were read at least once.
      cold: Cold servers.
      on_cold_again: Called with the newest instance of a server that was known
        and has become cold, or stays cold for longer.
    """

    def __init__(
        self,
        prefix: str,
        decode: Decode,
        decode_cold: DecodeCold = lambda _: 0.0,
        cold: cold_servers.ColdServers | None = None,
    ) -> None:
        self.backends = backend_set.BackendSet()
        self.cold = cold or cold_servers.ColdServers(lambda _: None)
        self.on_cold_again: Callable[[str], None] = lambda _: None
        self._decode_cold = decode_cold
        self._log = log_limit.LogLimit(_LOG_INTERVAL_S)
        self._unusable_log = log_limit.LogLimit(_UNUSABLE_LOG_INTERVAL_S)
        self.is_loaded = False
        self._prefix = prefix
        self._decode = decode

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        """See base class."""
        usable = []
        for entry in entries:
            backend = self._decode(entry.key, entry.value)
            if backend is not None:
                usable.append(backend)
                self._on_cold_left(backend, entry.value, entry.revision)
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
            return
        assert event.value is not None
        self._on_cold_left(backend, event.value, event.revision)
        if self.backends.on_entry(backend):
            _log.info(
                "backend server changed",
                backend=backend_id,
                service=backend.service,
                address=backend.address,
                state=backend.state.value,
            )

    def _on_cold_left(
        self, backend: backend_lib.Backend, value: bytes, revision: int
    ) -> None:
        """Records for how long a server stays cold, before its entry."""
        now_s = time.monotonic()
        decoded = self._decode_cold(value)
        left_s = None if isinstance(decoded, refusal.Refusal) else decoded
        if isinstance(decoded, refusal.Refusal):
            suppressed = self._unusable_log.on_event(now_s)
            if suppressed is not None:
                _log.warning(
                    "unusable cold time of a backend server",
                    backend=backend.backend_id,
                    service=backend.service,
                    detail=decoded.detail,
                    suppressed=suppressed,
                )
        if not self.cold.on_entry(backend, left_s, revision, now_s):
            return
        is_again = self.backends.is_known(backend.backend_id)
        suppressed = self._log.on_event(now_s)
        if suppressed is not None:
            _log.info(
                "backend server is cold again"
                if is_again
                else "backend server is cold",
                server=backend.instance,
                left_s=left_s,
                source="store",
                suppressed=suppressed,
            )
        if is_again:
            self.on_cold_again(backend.instance)

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """See base class."""
        if is_reachable:
            self.backends.on_store_recovered(time.monotonic())
