"""Limits a router's requests at a plain service whose servers are full.

Load pattern: a plain service has few servers with a few slots and a short queue
each. In a burst, all of them refuse, although a place becomes free within
milliseconds, and a second send is counted in the retry budget. Requests then
wait here instead, and one starts whenever another one ends. The limit is the
number of requests that the servers held when they refused one more; it grows
with each request that is served and ends with the refusals. All times are
seconds of a monotonic clock.
"""

import math

from hibiscuspass.core.admission import fair_queue

# Without a refusal for this time, the servers are no longer full.
_LIMIT_S = 2.0


class PlaceLimit:
    """Running and waiting requests of one service, fair by workspace."""

    def __init__(self) -> None:
        self._limit = math.inf
        self._limited_until_s = -math.inf
        self._running: set[int] = set()
        self._waiting: dict[int, fair_queue.QueuedRequest] = {}
        self._queue = fair_queue.FairQueue()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def enter(
        self, ticket: int, workspace: str, until_s: float, now_s: float
    ) -> bool:
        """Starts a request, or lets it wait.

        Args:
          ticket: Number of the request, unique in this process.
          workspace: Workspace of the request.
          until_s: Time at which the request ends its wait.
          now_s: Current time.

        Returns:
          Whether the request may be sent now. If not, a later `leave` returns
          its number, or the caller starts it with `start`.
        """
        has_place = len(self._running) < self._limit_at(now_s)
        if until_s <= now_s or (has_place and not self._waiting):
            self._running.add(ticket)
            self._queue.charge(workspace)
            return True
        item = fair_queue.QueuedRequest(str(ticket), workspace, 0, 0, until_s)
        self._waiting[ticket] = item
        self._queue.push(item)
        return False

    def start(self, ticket: int) -> None:
        """Starts a request whose wait is over."""
        item = self._waiting.pop(ticket, None)
        if item is not None:
            self._queue.remove(item)
            self._queue.charge(item.workspace)
        self._running.add(ticket)

    def leave(
        self, ticket: int, now_s: float, *, was_served: bool
    ) -> list[int]:
        """Ends a running or waiting request.

        Returns:
          Numbers of the requests that start now.
        """
        item = self._waiting.pop(ticket, None)
        if item is not None:
            self._queue.remove(item)
        self._running.discard(ticket)
        if was_served:
            self._limit += 1.0 / self._limit
        started = []
        while self._waiting and len(self._running) < self._limit_at(now_s):
            served = self._queue.pop(lambda _: True)
            assert served is not None
            number = int(served.request_id)
            del self._waiting[number]
            self._running.add(number)
            started.append(number)
        return started

    def on_refused(self, now_s: float) -> None:
        """Records that all servers tried refused a running request."""
        self._limit = max(1.0, min(self._limit, len(self._running) - 1.0))
        self._limited_until_s = now_s + _LIMIT_S

    def _limit_at(self, now_s: float) -> float:
        if now_s >= self._limited_until_s:
            self._limit = math.inf
        return self._limit
