"""Records timeline events of one process in bounded memory."""

import collections
from collections.abc import Callable
import time

import reactivex
from reactivex import subject

from hibiscuspass.core import clock
from hibiscuspass.core import event
from hibiscuspass.core import incarnation

# VMs have no disks, so older events are dropped.
_DEFAULT_CAPACITY_EVENTS = 20_000


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class Recorder:
    """Emits events and keeps the latest ones.

    Attributes:
      clock: The process's hybrid logical clock; peer links merge received
        timestamps into it.
      dropped: Number of events that no longer fit.
    """

    def __init__(
        self,
        process: incarnation.Incarnation,
        *,
        capacity: int = _DEFAULT_CAPACITY_EVENTS,
        wall_ms: Callable[[], int] = _wall_ms,
    ) -> None:
        self.clock = clock.HybridClock()
        self.dropped = 0
        self._process = str(process)
        self._wall_ms = wall_ms
        self._events: collections.deque[event.Event] = collections.deque(
            maxlen=capacity
        )
        self._subject: subject.Subject[event.Event] = subject.Subject()

    def emit(
        self,
        kind: str,
        *,
        request_id: str = "",
        workspace: str = "",
        grant_id: str = "",
        **fields: str | int | float | bool,
    ) -> event.Event:
        """Records an event that happens now."""
        new = event.Event(
            at=self.clock.tick(self._wall_ms()),
            process=self._process,
            kind=kind,
            request_id=request_id,
            workspace=workspace,
            grant_id=grant_id,
            fields=fields,
        )
        self.dropped += len(self._events) == self._events.maxlen
        self._events.append(new)
        self._subject.on_next(new)
        return new

    def stamp(self) -> clock.Timestamp:
        """Returns the timestamp for a message sent now."""
        return self.clock.tick(self._wall_ms())

    def receive(self, remote: clock.Timestamp) -> clock.Timestamp:
        """Orders later events of this process after a received message."""
        return self.clock.merge(remote, self._wall_ms())

    def since(self, after: clock.Timestamp) -> tuple[event.Event, ...]:
        """Returns the kept events later than `after`."""
        return tuple(e for e in self._events if e.at > after)

    def events(self) -> reactivex.Observable[event.Event]:
        """Emits each event as it happens."""
        return self._subject
