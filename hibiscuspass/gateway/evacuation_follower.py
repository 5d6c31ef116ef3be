"""Keeps the failure domains that the operator evacuates."""

from collections.abc import Callable
from collections.abc import Sequence
import time

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core import log_limit
from hibiscuspass.core.forwarding import backend_set
from hibiscuspass.gateway import follower

_log = structlog.get_logger(__name__)

# Returns the failure domain that a key evacuates, empty if it names none; None
# if the key is of another kind.
DomainOf = Callable[[str], str | None]

_UNUSABLE_LOG_INTERVAL_S = 10.0


class EvacuationFollower(follower.Subscriber):
    """Applies the evacuations in the store to the set of backend servers.

    An evacuation lasts as long as its key exists; the value has no meaning. A
    full read replaces all evacuations, because the removal of a key may be
    among the changes that were missed.

    Attributes:
      domains: Failure domains that are evacuated.
    """

    def __init__(
        self, domain_of: DomainOf, backends: backend_set.BackendSet
    ) -> None:
        self.domains: frozenset[str] = frozenset()
        self._domain_of = domain_of
        self._backends = backends
        self._unusable_log = log_limit.LogLimit(_UNUSABLE_LOG_INTERVAL_S)

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        """See base class."""
        domains = (self._usable_domain(e.key) for e in entries)
        self._apply(frozenset(d for d in domains if d is not None))

    def on_event(self, event: kv_store.WatchEvent) -> None:
        """See base class."""
        domain = self._usable_domain(event.key)
        if domain is None:
            return
        if event.value is None:
            self._apply(self.domains - {domain})
        else:
            self._apply(self.domains | {domain})

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """See base class."""

    def _usable_domain(self, key: str) -> str | None:
        domain = self._domain_of(key)
        if domain != "":
            return domain
        # Servers whose entries name no failure domain have an empty one. They
        # would all be evacuated.
        suppressed = self._unusable_log.on_event(time.monotonic())
        if suppressed is not None:
            _log.warning(
                "evacuation without a failure domain ignored",
                key=key,
                suppressed=suppressed,
            )
        return None

    def _apply(self, domains: frozenset[str]) -> None:
        begun, ended = domains - self.domains, self.domains - domains
        if not begun and not ended:
            return
        self.domains = domains
        self._backends.set_evacuated(domains)
        servers = [b.failure_domain for b in self._backends.backends()]
        for domain in sorted(begun):
            # Without servers, the name may be wrong or the list not read yet.
            _log.info(
                "failure domain evacuated",
                failure_domain=domain,
                servers=servers.count(domain),
            )
        for domain in sorted(ended):
            _log.info("evacuation ended", failure_domain=domain)
