"""Backend servers that a router may send requests to.

Servers may be replaced, shut down, crash or reuse addresses while the list of
servers in the store is outdated or unreachable. An outage of the store may also
let the entries of healthy servers expire.
"""

from collections.abc import Iterable

import attrs

from hibiscuspass.core.forwarding import backend as backend_lib

# Time within which servers renew entries that expired during an outage of the
# store, counted from the end of the outage, in seconds.
_RELIST_GRACE_S = 2.0


@attrs.define
class _KnownBackend:
    backend: backend_lib.Backend
    # Set while the entry is missing, possibly only because of an outage.
    missing_since_s: float | None = None


class BackendSet:
    """Known backend servers by id.

    Attributes:
      version: Number that increases with each change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._known: dict[str, _KnownBackend] = {}
        self._leaving_starts: dict[str, int] = {}
        self._store_recovered_s = float("-inf")

    def on_store_recovered(self, now_s: float) -> None:
        """Records the end of an outage of the store."""
        self._store_recovered_s = now_s

    def on_entry(self, backend: backend_lib.Backend) -> bool:
        """Adds or updates a listed server; returns whether anything changed."""
        if self._leaving_starts.get(backend.backend_id) == backend.started_ms:
            return False
        old = self._known.get(backend.backend_id)
        if old and old.backend == backend and old.missing_since_s is None:
            return False
        self._known[backend.backend_id] = _KnownBackend(backend)
        self.version += 1
        return True

    def on_removed(self, backend_id: str, now_s: float) -> None:
        """Handles the removal of an entry from the list.

        Shortly after an outage of the store, the entry of a healthy server may
        have expired. Such a server remains a fallback until `expire` drops it.
        """
        server = self._known.get(backend_id)
        if server is None:
            return
        self.version += 1
        if now_s - self._store_recovered_s <= _RELIST_GRACE_S:
            server.missing_since_s = now_s
        else:
            del self._known[backend_id]

    def on_list(
        self, backends: Iterable[backend_lib.Backend], now_s: float
    ) -> None:
        """Applies a complete list of servers."""
        listed = {b.backend_id: b for b in backends}
        for backend in listed.values():
            self.on_entry(backend)
        for backend_id in self._known.keys() - listed.keys():
            self.on_removed(backend_id, now_s)

    def on_leaving(self, backend_id: str) -> None:
        """Removes a server that announced its shutdown in a response."""
        server = self._known.get(backend_id)
        if server is None:
            return
        self._leaving_starts[backend_id] = server.backend.started_ms
        del self._known[backend_id]
        self.version += 1

    def expire(self, now_s: float) -> list[str]:
        """Drops servers whose entries were not renewed; returns their ids."""
        expired = [
            backend_id
            for backend_id, server in self._known.items()
            if server.missing_since_s is not None
            and now_s - max(server.missing_since_s, self._store_recovered_s)
            > _RELIST_GRACE_S
        ]
        for backend_id in expired:
            del self._known[backend_id]
            self.version += 1
        return expired

    def ready(self, service: str) -> list[backend_lib.Backend]:
        """Returns the servers of a service that accept new requests.

        Servers whose entries are missing are returned only if there are no
        others.
        """
        ready = [
            k
            for k in self._known.values()
            if k.backend.service == service
            and k.backend.state is backend_lib.BackendState.READY
        ]
        listed = [k.backend for k in ready if k.missing_since_s is None]
        return listed or [k.backend for k in ready]

    def backends(self) -> list[backend_lib.Backend]:
        """Returns all known servers."""
        return [k.backend for k in self._known.values()]
