"""Decides when to copy a value from a peer instead of reading it.

Load pattern: a configuration of 1 MB changes every second or two, and hundreds
of routers read it, most of them over links that need longer for one version
than the time until the next one. Routers with fast links have it at once and
announce that. A copy of theirs has some hundred bytes to a tenth of the value,
so that a reply on a slow link waits for it. Otherwise each version takes the
link from the requests, and the busiest router has it last.
"""

import random

import attrs

# A reply that is complete within this time is not worth a second request.
_MIN_ARRIVAL_S = 0.1
# Time for which a reply on a slow link waits for a copy. It differs so that, if
# all links are slow, some routers read before the others and announce it.
_MIN_HOLD_S = 0.3
_MAX_HOLD_S = 0.6
# A shorter reply shows more of the delay of the link than of its bandwidth.
_MIN_MEASURED_BYTES = 32 * 1024
# Time after which a second peer is asked beside one that has not answered.
_HEDGE_S = 0.25
# Announcements that are kept; further peers are needed only if these fail.
_MAX_SOURCES = 4


@attrs.frozen
class Source:
    """A peer that has announced a change.

    Attributes:
      address: `host:port` of its peer link.
      revision: Newest change that it has read.
    """

    address: str
    revision: int


class CopyPolicy:
    """Peers that have read a change, and the speed of the link, without I/O.

    All times are seconds of a monotonic clock.
    """

    def __init__(self, rng: random.Random) -> None:
        self._sources: list[Source] = []
        # Peers that have not answered yet.
        self._asked: list[Source] = []
        self._asked_s = float("-inf")
        self._rng = rng
        # Upper bound of the bandwidth that replies had last.
        self._bytes_per_s = float("inf")

    def on_restored(self) -> None:
        """Forgets announcements, whose revisions have lost their meaning."""
        self._sources.clear()
        self._asked.clear()

    def on_transfer(self, size: int, transfer_s: float) -> None:
        """Records how long a reply took to arrive, or for how long it arrived.

        Args:
          size: Size of the whole reply in bytes.
          transfer_s: Time for which it arrived.
        """
        if size >= _MIN_MEASURED_BYTES and transfer_s > 0:
            self._bytes_per_s = size / transfer_s

    def is_slow(self, size: int) -> bool:
        """Returns whether a reply is expected to be worth a copy."""
        return size / self._bytes_per_s >= _MIN_ARRIVAL_S

    def hold_s(self, size: int) -> float:
        """Returns for how long a reply that begins waits for a copy."""
        if not self.is_slow(size):
            return 0.0
        return self._rng.uniform(_MIN_HOLD_S, _MAX_HOLD_S)

    def on_announced(self, source: Source) -> None:
        """Records that a peer has read a change; the first one is asked."""
        others = [s for s in self._sources if s.address != source.address]
        newer = [s for s in others if s.revision >= source.revision]
        self._sources = [*newer, source][:_MAX_SOURCES]

    def on_ask(self, source: Source, now_s: float) -> None:
        """Records that a peer is asked now."""
        self._asked.append(source)
        self._asked_s = now_s

    def on_end(self, source: Source) -> None:
        """Records that a peer has answered, or is no longer waited for."""
        self._asked = [s for s in self._asked if s != source]

    def on_failed(self, source: Source) -> None:
        """Records that a peer gave no copy; it is asked for newer changes."""
        self._sources = [s for s in self._sources if s != source]

    def is_waiting(self, now_s: float) -> bool:
        """Returns whether a peer was asked that may still answer soon."""
        return bool(self._asked) and now_s - self._asked_s < _HEDGE_S

    def choose(
        self,
        newest_change: int,
        size: int,
        arriving_since_s: float,
        now_s: float,
    ) -> Source | None:
        """Returns the peer to copy from now; None if there is none.

        Args:
          newest_change: Newest change that this router has read.
          size: Size of the store's reply in bytes.
          arriving_since_s: Time at which the reply of the store began.
          now_s: Current time.
        """
        arriving_s = now_s - arriving_since_s
        if arriving_s < (0.0 if self.is_slow(size) else _MIN_ARRIVAL_S):
            return None
        if self.is_waiting(now_s):
            return None
        waiting = {s.address for s in self._asked}
        return next(
            (
                s
                for s in self._sources
                if s.revision > newest_change and s.address not in waiting
            ),
            None,
        )
