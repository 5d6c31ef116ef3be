"""Limits on the requests of all routers that backend servers have named.

A limit holds for as long as the answers of the server name it. Routers tell
each other what the newest answer said, with its age, since their clocks differ.
"""

import collections
from collections.abc import Iterable

import attrs

# Instances of which a limit or its end is known.
_MAX_INSTANCES = 10_000
# A peer's news of a limit is ignored for so long after an answer without one,
# because the two may have crossed.
_END_MEMORY_S = 5.0


@attrs.frozen
class ServerLimit:
    """What the newest answer of a server said.

    Attributes:
      per_s: Requests per second that the server accepts from all routers
        together; None if the answer named no limit.
      at_s: Time of the answer.
    """

    per_s: float | None
    at_s: float


class ServerLimits:
    """Limits by instance, as one router knows them.

    All times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        # In the order of the last changes.
        self._limits: collections.OrderedDict[str, ServerLimit] = (
            collections.OrderedDict()
        )
        self._paused_until_s: dict[str, float] = {}

    def get(self, instance: str) -> ServerLimit | None:
        """Returns what the newest answer said; None without a limit so far."""
        return self._limits.get(instance)

    def per_s(self, instance: str) -> float | None:
        """Returns the limit of a server; None if it has none."""
        limit = self._limits.get(instance)
        return limit.per_s if limit else None

    @property
    def count(self) -> int:
        """Number of servers that have a limit."""
        return sum(x.per_s is not None for x in self._limits.values())

    def on_answer(
        self, instance: str, per_s: float | None, sent_s: float, now_s: float
    ) -> bool:
        """Records an answer of a server.

        Args:
          instance: Instance of the server.
          per_s: Limit that the answer names; None if it names none.
          sent_s: Time at which the request was sent.
          now_s: Current time.

        Returns:
          Whether the limit is new or has changed or ended.
        """
        known = self._limits.get(instance)
        if per_s is None and (known is None or sent_s <= known.at_s):
            return False
        return self.on_news(instance, ServerLimit(per_s, now_s))

    def on_news(self, instance: str, news: ServerLimit) -> bool:
        """Records what another router knows.

        Returns:
          Whether it was newer and different.
        """
        known = self._limits.get(instance)
        if known is not None and news.at_s <= known.at_s:
            return False
        self._limits[instance] = news
        self._limits.move_to_end(instance)
        if len(self._limits) > _MAX_INSTANCES:
            oldest, _ = self._limits.popitem(last=False)
            self._paused_until_s.pop(oldest, None)
        if news.per_s is None:
            self._paused_until_s.pop(instance, None)
        return news.per_s != (known.per_s if known else None)

    def accepts_notice(self, instance: str, now_s: float) -> bool:
        """Returns whether a peer's notice of a new limit is news.

        A notice that is passed on from router to router must not go round.
        """
        known = self._limits.get(instance)
        return known is None or (
            known.per_s is None and now_s - known.at_s > _END_MEMORY_S
        )

    def pause(self, instance: str, until_s: float) -> None:
        """Records when a permit for a server may be asked for again."""
        self._paused_until_s[instance] = until_s
        if len(self._paused_until_s) > _MAX_INSTANCES:
            del self._paused_until_s[next(iter(self._paused_until_s))]

    def is_paused(self, instance: str, now_s: float) -> bool:
        """Returns whether there is no permit for a server now."""
        return self._paused_until_s.get(instance, now_s) > now_s

    def pause_end_s(
        self, instances: Iterable[str], now_s: float
    ) -> float | None:
        """Returns when the first of some servers may have a permit.

        Returns:
          Earliest end of their pauses; None if none of them is paused.
        """
        return min(
            (
                self._paused_until_s[instance]
                for instance in instances
                if self.is_paused(instance, now_s)
            ),
            default=None,
        )
