"""Hybrid logical clock (Kulkarni et al., 2014)."""

import attrs


@attrs.frozen(order=True)
class Timestamp:
    """A point on the timeline, ordered by wall time, then counter.

    Attributes:
      wall_ms: Milliseconds since the Unix epoch.
      counter: Orders events within one millisecond and across skewed clocks.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Issues timestamps that respect causality between processes."""

    def __init__(self) -> None:
        self._last = Timestamp(0, 0)

    def tick(self, wall_ms: int) -> Timestamp:
        """Returns the timestamp of a local event at `wall_ms`."""
        if wall_ms > self._last.wall_ms:
            self._last = Timestamp(wall_ms, 0)
        else:
            self._last = Timestamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def merge(self, remote: Timestamp, wall_ms: int) -> Timestamp:
        """Returns the timestamp of receiving a message sent at `remote`."""
        self._last = max(self._last, remote)
        return self.tick(wall_ms)
