"""Backend servers that a router may send requests to.

Servers may be replaced, shut down, crash or reuse addresses while the list of
servers in the store is outdated or unreachable. An outage of the store may also
let the entries of healthy servers expire. What a server says of itself in its
answers outweighs its entry, for as long as that instance runs. The operator may
evacuate failure domains, whose servers get no requests then.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import random

import attrs

from hibiscuspass.core.forwarding import availability
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.retry import ejection as ejection_lib

# Time within which servers renew entries that expired during an outage of the
# store, counted from the end of the outage, in seconds.
_RELIST_GRACE_S = 2.0
# Servers that said they were leaving, and that may still be listed.
_MAX_LEAVING = 10_000
_EJECTION = ejection_lib.EjectionConfig(
    consecutive_failures=3, base_s=1.0, max_s=8.0, ramp_s=2.0
)


@attrs.define
class _KnownBackend:
    backend: backend_lib.Backend
    # Set while the entry is missing, possibly only because of an outage.
    missing_since_s: float | None = None


class BackendSet:
    """Known backend servers by id.

    Attributes:
      version: Number that increases with each change.
      ejection: Failures of the servers, by instance.
      evacuated: Failure domains that the operator evacuates.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        """Creates an empty set.

        Args:
          rng: Source of the lengths of ejections.
        """
        self.version = 0
        self.ejection = ejection_lib.EjectionTracker(
            _EJECTION, rng or random.Random()
        )
        self.evacuated: frozenset[str] = frozenset()
        self._known: dict[str, _KnownBackend] = {}
        # Instances in the order of their last answers.
        self._leaving: dict[str, None] = {}
        self._held_until_s: dict[str, float] = {}
        self._store_recovered_s = float("-inf")

    def set_evacuated(self, failure_domains: Iterable[str]) -> None:
        """Replaces the failure domains that the operator evacuates."""
        evacuated = frozenset(failure_domains)
        if evacuated != self.evacuated:
            self.evacuated = evacuated
            self.version += 1

    def is_evacuated(self, service: str) -> bool:
        """Returns whether evacuations leave a service without servers."""
        ready = self._with_ready_entry(service)
        return bool(ready) and all(
            k.backend.failure_domain in self.evacuated for k in ready
        )

    def on_store_recovered(self, now_s: float) -> None:
        """Records the end of an outage of the store."""
        self._store_recovered_s = now_s

    def on_entry(self, backend: backend_lib.Backend) -> bool:
        """Adds or updates a listed server; returns whether anything changed."""
        if backend.instance in self._leaving:
            return False
        old = self._known.get(backend.backend_id)
        if old and old.backend == backend and old.missing_since_s is None:
            return False
        self._known[backend.backend_id] = _KnownBackend(backend)
        self.version += 1
        return True

    def is_known(self, backend_id: str) -> bool:
        """Returns whether a server is known."""
        return backend_id in self._known

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

    def on_leaving(self, backend: backend_lib.Backend) -> bool:
        """Removes a server that announced its shutdown in a response.

        Returns:
          Whether this was not known.
        """
        is_new = backend.instance not in self._leaving
        self._leaving.pop(backend.instance, None)
        self._leaving[backend.instance] = None
        if len(self._leaving) > _MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        server = self._known.get(backend.backend_id)
        if server and server.backend.instance == backend.instance:
            del self._known[backend.backend_id]
            self.version += 1
        return is_new

    def on_hold_off(
        self, backend: backend_lib.Backend, until_s: float, now_s: float
    ) -> None:
        """Keeps requests away from a server that asked for it.

        Args:
          backend: Server that turned a request away.
          until_s: End of the time without requests.
          now_s: Current time.
        """
        self._held_until_s = {
            instance: end_s
            for instance, end_s in self._held_until_s.items()
            if end_s > now_s
        }
        self._held_until_s[backend.instance] = max(
            until_s, self._held_until_s.get(backend.instance, until_s)
        )

    def is_ready(self, backend: backend_lib.Backend, now_s: float) -> bool:
        """Returns whether nothing but its entry forbids a request to a server.

        A request that waited, or that is repeated, needs a new check, since a
        server may leave or be evacuated at any time.
        """
        return (
            backend.instance not in self._leaving
            and backend.failure_domain not in self.evacuated
            and self._held_until_s.get(backend.instance, now_s) <= now_s
        )

    def hold_off_end_s(
        self, service: str, now_s: float, excluded: Collection[str] = ()
    ) -> float | None:
        """Returns when a service that holds off accepts requests again.

        Args:
          service: Name of the service.
          now_s: Current time.
          excluded: Ids of servers that are left out.

        Returns:
          Earliest end of the servers' times; None if none of them holds off.
        """
        return min(
            (
                end_s
                for backend in self._listed(service)
                if backend.backend_id not in excluded
                and (end_s := self._held_until_s.get(backend.instance, 0.0))
                > now_s
            ),
            default=None,
        )

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

    def ready(self, service: str, now_s: float) -> list[backend_lib.Backend]:
        """Returns the servers of a service that accept new requests.

        Servers whose entries are missing are returned only if there are no
        others.
        """
        return [b for b in self._listed(service) if self.is_ready(b, now_s)]

    def count_states(
        self, now_s: float
    ) -> collections.Counter[tuple[str, availability.Availability]]:
        """Returns the number of known servers by service and state."""
        return collections.Counter(
            (server.backend.service, self._state(server, now_s))
            for server in self._known.values()
        )

    def _state(
        self, server: _KnownBackend, now_s: float
    ) -> availability.Availability:
        backend = server.backend
        if backend.state is not backend_lib.BackendState.READY:
            return availability.Availability.DRAINING
        if backend.failure_domain in self.evacuated:
            return availability.Availability.EVACUATED
        if server.missing_since_s is not None:
            return availability.Availability.UNLISTED
        if not self.is_ready(backend, now_s):
            return availability.Availability.HOLDING_OFF
        if not self.ejection.weight(backend.instance, now_s):
            return availability.Availability.EJECTED
        return availability.Availability.READY

    def _listed(self, service: str) -> list[backend_lib.Backend]:
        """Returns the servers of a service whose entries say ready.

        Servers that are evacuated are left out first, so that a server without
        an entry remains a fallback for them.
        """
        ready = [
            k
            for k in self._with_ready_entry(service)
            if k.backend.failure_domain not in self.evacuated
        ]
        listed = [k.backend for k in ready if k.missing_since_s is None]
        return listed or [k.backend for k in ready]

    def _with_ready_entry(self, service: str) -> list[_KnownBackend]:
        return [
            k
            for k in self._known.values()
            if k.backend.service == service
            and k.backend.state is backend_lib.BackendState.READY
        ]

    def backends(self) -> list[backend_lib.Backend]:
        """Returns all known servers."""
        return [k.backend for k in self._known.values()]
