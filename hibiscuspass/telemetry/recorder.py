"""Records timeline events of one process in bounded memory."""

import collections
from collections.abc import Callable
import time

import reactivex
from reactivex import subject

from hibiscuspass.core import clock
from hibiscuspass.core import event
from hibiscuspass.core import incarnation

# VMs have no disks, so events are kept in memory only and the oldest are
# dropped.
_DEFAULT_CAPACITY_EVENTS = 20_000


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class Recorder:
    """Records events and keeps the most recent ones.

    Attributes:
      clock: Hybrid logical clock of the process; peer links merge received
        timestamps into it.
      dropped: Number of old events dropped because the buffer was full.
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
        """Records an event with the current timestamp and returns it."""
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

    def new_timestamp(self) -> clock.Timestamp:
        """Returns a new timestamp for a message to be sent."""
        return self.clock.tick(self._wall_ms())

    def merge_timestamp(self, remote: clock.Timestamp) -> clock.Timestamp:
        """Advances the clock to order later events after a received message.

        Args:
          remote: Timestamp of the received message.
        """
        return self.clock.merge(remote, self._wall_ms())

    def events_since(self, after: clock.Timestamp) -> tuple[event.Event, ...]:
        """Returns the buffered events later than `after`."""
        return tuple(e for e in self._events if e.at > after)

    def events(self) -> reactivex.Observable[event.Event]:
        """Returns an observable that emits each event as it is recorded."""
        return self._subject
