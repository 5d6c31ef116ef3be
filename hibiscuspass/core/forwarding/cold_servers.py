"""Backend servers that have just started and tolerate few requests.

Load pattern: an evacuation moves the load of one failure domain to others whose
servers are cold, or servers become cold again under full load. A cold server
crashes if all routers together send it much more than its service's
`cold_per_s`, so each send to it needs a permit of its keeper
(`permit_keeper.py`), for which this module derives the rate. Warm servers are
preferred until they refuse requests as busy.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import permit_keeper
from hibiscuspass.core.forwarding import route as route_lib

# Two routers may take themselves for the keeper of a server at the same time.
_KEEPERS = 2
# Share of the limit for which a router gives permits in place of one that
# didn't answer it. While many messages are lost, several routers do so at the
# same time; with 30% lost and the whole limit for each, a server with a bound
# of 20 got 22 requests in a second (replay, 63 routers).
SUBSTITUTE_SHARE = 0.4
# A permit may be used later than it is given by the time limit of the reply
# (0.15 s) and the time until the request arrives. Permits of that much more
# than one second can reach the server within one second.
_DELAY_S = 0.35
# Servers whose news are kept.
_MAX_SERVERS = 10_000
# A cold time that ends later by less than this is the one that is known, since
# entries are read with different delays.
_NOTABLE_S = 1.0
# Time after a refusal for which a busy warm server isn't preferred. Callers
# would otherwise spend a repeated send on each refusal, while permits of cold
# servers are left unused.
_BUSY_S = 1.0


@attrs.frozen
class ColdBounds:
    """Most requests that a cold server gets within one second.

    The bound is `cold_per_s` of the service times `excess`, plus `slack`.

    Attributes:
      excess: Factor of `cold_per_s`.
      slack: Additional requests.
    """

    excess: float = 1.5
    slack: float = 5.0


@attrs.frozen
class ColdNews:
    """What an entry of the store says of a server.

    Attributes:
      instance: Newest instance of the server.
      service: Service of the server.
      revision: Revision of the entry.
      left_s: Time for which the server stays cold, in seconds.
      per_s: Limit of the server that the sender of the news derived from its
        configuration, in requests per second; None if it has none.
    """

    instance: str
    service: str
    revision: int
    left_s: float
    per_s: float | None = None


@attrs.define
class _Record:
    news: ColdNews
    until_s: float
    # Revision of the last entry that was read from the store.
    read_revision: int = 0


def limit_per_s(cold_per_s: float, bounds: ColdBounds) -> float:
    """Returns the limit of a cold server for its keeper.

    A keeper gives permits for a share of a limit. The rate is such that the
    permits of two keepers, used early or late, are within the bound, and at
    most that share of `cold_per_s` if the slack alone would allow more.

    Args:
      cold_per_s: Requests per second that the server tolerates.
      bounds: Bound on the requests in one second.
    """
    most = cold_per_s * bounds.excess + bounds.slack
    # Each keeper may have one permit left from before.
    per_keeper = (most / _KEEPERS - 1.0) / (1.0 + _DELAY_S)
    return max(0.0, min(cold_per_s, per_keeper / permit_keeper.LIMIT_SHARE))


class ColdServers:
    """Cold servers as one router knows them, by the ids of the servers.

    A router that reaches no store may know only an earlier instance of a
    server, and send to it at the same address under the same id.

    All times are seconds of a monotonic clock.

    Attributes:
      service_of: Returns the service with a given name.
      bounds: Returns the bound on the requests in one second.
    """

    def __init__(
        self,
        service_of: Callable[[str], route_lib.Service | None],
        bounds: Callable[[], ColdBounds] = ColdBounds,
    ) -> None:
        self.service_of = service_of
        self.bounds = bounds
        # By server id, in the order of the last news.
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def on_entry(
        self,
        backend: backend_lib.Backend,
        left_s: float | None,
        revision: int,
        now_s: float,
    ) -> bool:
        """Records an entry that was read from the store.

        An entry that is read again says nothing new. One that is older than
        news of a peer was read late or written after the store was restored,
        so it can only prolong the cold time of a server.

        Args:
          backend: Server of the entry.
          left_s: Time for which it stays cold; None if that is unreadable. It
            then counts as just started.
          revision: Revision of the entry.
          now_s: Current time.

        Returns:
          Whether the server is cold, and for longer than was known.
        """
        if left_s is None:
            service = self.service_of(backend.service)
            left_s = service.cold_start_s if service else 0.0
        known = self._records.get(backend.backend_id)
        if known is None and not left_s:
            return False
        newest = known.news.revision if known else 0
        if known is not None:
            is_read = revision in (known.read_revision, newest)
            known.read_revision = revision
            is_shorter = now_s + left_s <= known.until_s
            if is_read or (revision < newest and is_shorter):
                return False
        news = ColdNews(
            backend.instance, backend.service, max(revision, newest), left_s
        )
        return self._set(news, now_s, read_revision=revision)

    def on_news(self, news: ColdNews, now_s: float) -> bool:
        """Records what another router knows.

        Returns:
          Whether it was newer, and the server is cold for longer than was
          known.
        """
        known = self._records.get(backend_lib.id_of(news.instance))
        if known is not None and news.revision <= known.news.revision:
            return False
        return self._set(news, now_s)

    def is_cold(self, instance: str, now_s: float) -> bool:
        """Returns whether a server is cold and its requests are limited."""
        return self.per_s(instance, now_s) is not None

    def per_s(self, instance: str, now_s: float) -> float | None:
        """Returns the limit of a cold server; None if it has none."""
        # Asked for each server and request.
        if not self._records:
            return None
        record = self._records.get(backend_lib.id_of(instance))
        if record is None or record.until_s <= now_s:
            return None
        service = self.service_of(record.news.service)
        if service is None or not service.cold_per_s:
            return record.news.per_s
        return limit_per_s(service.cold_per_s, self.bounds())

    def news(self, instance: str, now_s: float) -> ColdNews | None:
        """Returns what to tell other routers; None if a server isn't cold.

        The news may name a later instance of the server.
        """
        per_s = self.per_s(instance, now_s)
        if per_s is None:
            return None
        record = self._records[backend_lib.id_of(instance)]
        return attrs.evolve(
            record.news, left_s=record.until_s - now_s, per_s=per_s
        )

    def count(self, now_s: float) -> int:
        """Returns the number of cold servers."""
        return sum(
            self.is_cold(record.news.instance, now_s)
            for record in self._records.values()
        )

    def _set(
        self, news: ColdNews, now_s: float, read_revision: int = 0
    ) -> bool:
        server_id = backend_lib.id_of(news.instance)
        known = self._records.get(server_id)
        known_until_s = max(now_s, known.until_s) if known else now_s
        until_s = now_s + max(0.0, news.left_s)
        self._records[server_id] = _Record(news, until_s, read_revision)
        self._records.move_to_end(server_id)
        if len(self._records) > _MAX_SERVERS:
            self._records.popitem(last=False)
        return self.is_cold(news.instance, now_s) and (
            known_until_s == now_s or until_s > known_until_s + _NOTABLE_S
        )


class WarmPreference:
    """Prefers warm servers that don't refuse requests as busy."""

    def __init__(self) -> None:
        self._busy_until_s: dict[str, float] = {}

    def on_busy(self, instance: str, now_s: float) -> None:
        """Records that a server refused a request because it was full."""
        self._busy_until_s = {
            name: until_s
            for name, until_s in self._busy_until_s.items()
            if until_s > now_s
        }
        self._busy_until_s[instance] = now_s + _BUSY_S

    def preferred(
        self,
        backends: Sequence[backend_lib.Backend],
        is_cold: Callable[[str], bool],
        has_failed: Callable[[str], bool],
        now_s: float,
    ) -> Sequence[backend_lib.Backend]:
        """Returns the servers that a request should be sent to.

        Args:
          backends: Servers that it may be sent to.
          is_cold: Returns whether an instance is cold.
          has_failed: Returns whether an instance is ejected.
          now_s: Current time.

        Returns:
          The warm servers that are neither ejected nor busy; all servers if
          there are none, or none is cold.
        """
        if not any(is_cold(b.instance) for b in backends):
            return backends
        warm = [
            b
            for b in backends
            if not is_cold(b.instance)
            and not has_failed(b.instance)
            and self._busy_until_s.get(b.instance, now_s) <= now_s
        ]
        return warm or backends
