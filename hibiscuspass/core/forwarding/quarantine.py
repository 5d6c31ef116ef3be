"""Prompt parts that make engines crash, whose requests are refused.

A cause of crashes is a set of parts. Requests with all of them are refused;
usually it is one part, or a part and others that came with it in each crash.

Load pattern: all engines have crashed within a second and come back at about
the same time. A cause that is not certain is sent again then. Many requests
with it have waited, and all at once they would crash all engines again.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
import random

import attrs

from hibiscuspass.core.forwarding import request as request_lib

Cause = frozenset[str]

# Causes that a peer has announced are kept for this long without being listed
# in the store. It covers an outage of the store and the next read of the list.
ANNOUNCED_TTL_S = 60.0
# Time after a short quarantine in which few requests with its cause are sent,
# and the mean interval between two of them in the fleet. By then an engine has
# answered the one before or has crashed.
_PROBATION_S = 30.0
_PROBATION_INTERVAL_S = 0.5


@attrs.define
class _Announced:
    """Times of a cause that a peer has announced, or of an own one.

    Attributes:
      until_s: End of the time in which all requests with it are refused.
      probation_end_s: End of the time in which few of them are sent.
      next_send_s: Time of the next one that this router may send; None before
        the end of the quarantine has been noticed.
    """

    until_s: float
    probation_end_s: float
    next_send_s: float | None = None


class Quarantine:
    """Causes in quarantine: those listed in the store, and those announced.

    All times are seconds of a monotonic clock.
    """

    def __init__(
        self,
        fleet_size: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a quarantine without causes.

        Args:
          fleet_size: Returns the number of routers that send requests.
          rng: Source of the times at which this router sends one.
        """
        self._fleet_size = fleet_size
        self._rng = rng or random.Random()
        self._listed: frozenset[Cause] = frozenset()
        self._announced: dict[Cause, _Announced] = {}

    def on_list(self, causes: Iterable[Cause], now_s: float) -> list[Cause]:
        """Replaces the causes that the store lists; returns new ones."""
        listed = frozenset(causes)
        new = [c for c in listed if not self.covers(c, now_s)]
        self._listed = listed
        return new

    def on_announced(
        self,
        causes: Sequence[Cause],
        now_s: float,
        duration_s: float = ANNOUNCED_TTL_S,
    ) -> list[Cause]:
        """Adds causes that a peer has announced; returns new ones.

        Args:
          causes: Announced causes.
          now_s: Current time.
          duration_s: Time for which they are kept without being listed. After a
            shorter time than usual, few requests with them are sent.
        """
        new = [c for c in causes if not self.covers(c, now_s)]
        self._announced = {
            cause: times
            for cause, times in self._announced.items()
            if times.probation_end_s > now_s
        }
        until_s = now_s + duration_s
        probation_s = _PROBATION_S if duration_s < ANNOUNCED_TTL_S else 0.0
        for cause in causes:
            times = self._announced.get(cause)
            if times is None or times.until_s < until_s:
                self._announced[cause] = _Announced(
                    until_s, until_s + probation_s
                )
        return new

    def on_sound(self, part_ids: Collection[str]) -> list[Cause]:
        """Records an answer that shows that some parts crash no engine.

        Returns:
          Causes that end with it; those that the store lists don't.
        """
        if not self._announced:
            return []
        sound = frozenset(part_ids)
        ended = [c for c in self._announced if c <= sound]
        for cause in ended:
            del self._announced[cause]
        return ended

    def find(
        self,
        parts: Sequence[request_lib.PromptPart],
        now_s: float,
        *,
        is_send: bool = False,
    ) -> Cause | None:
        """Returns a cause for which a request is refused; None without one.

        Args:
          parts: Parts of the prompt.
          now_s: Current time.
          is_send: Whether the request is sent at once unless it is refused.
        """
        if not self._listed and not self._announced:
            return None
        part_ids = frozenset(part.part_id for part in parts)
        for cause in self._listed:
            if cause <= part_ids:
                return cause
        for cause, times in self._announced.items():
            if cause <= part_ids and not self._may_send(times, now_s, is_send):
                return cause
        return None

    def left_s(self, cause: Cause, now_s: float) -> float:
        """Returns the time until a request with a cause may be sent.

        Returns:
          Time in seconds; infinite if the store lists the cause.
        """
        if cause in self._listed:
            return math.inf
        times = self._announced.get(cause)
        if times is None:
            return 0.0
        return max(times.until_s - now_s, _PROBATION_INTERVAL_S)

    def covers(self, cause: Cause, now_s: float) -> bool:
        """Returns whether all requests with a cause are refused already."""
        return any(c <= cause for c in self._active(now_s))

    def covers_long(self, cause: Cause, now_s: float) -> bool:
        """Returns whether a cause is refused and its quarantine isn't short."""
        announced = (
            c
            for c, times in self._announced.items()
            if now_s < times.until_s and times.until_s == times.probation_end_s
        )
        return any(c <= cause for c in itertools.chain(self._listed, announced))

    def active(self, now_s: float) -> list[Cause]:
        """Returns the causes whose requests are all refused now."""
        return list(dict.fromkeys(self._active(now_s)))

    def _active(self, now_s: float) -> Iterable[Cause]:
        announced = (
            cause
            for cause, times in self._announced.items()
            if times.until_s > now_s
        )
        return itertools.chain(self._listed, announced)

    def _may_send(self, times: _Announced, now_s: float, is_send: bool) -> bool:
        """Returns whether a request with an announced cause may be sent."""
        if now_s < times.until_s:
            return False
        if now_s >= times.probation_end_s:
            return True
        interval_s = _PROBATION_INTERVAL_S * max(1, self._fleet_size())
        if times.next_send_s is None:
            times.next_send_s = now_s + self._rng.uniform(0.0, interval_s)
        if now_s < times.next_send_s:
            return False
        if is_send:
            times.next_send_s = now_s + interval_s
        return True
