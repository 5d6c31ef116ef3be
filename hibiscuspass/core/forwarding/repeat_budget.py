"""Limits the repeated sends (retries) of one router.

If a service fails for all callers at once, retrying every request would double
its load. In any window the fleet may repeat a fixed share of its requests plus
a constant number. Each router applies the share to its own requests and takes
an equal part of the constant, so routers need no coordination.
"""

import collections

import attrs


@attrs.frozen
class RepeatConfig:
    """Limits of repeated sends.

    Attributes:
      ratio: Repeated sends per request.
      slack: Additional repeated sends of the whole fleet per window.
      window_s: Length of the sliding window in seconds.
      safety: Fraction of the limit that routers use, since their windows differ
        slightly.
    """

    ratio: float
    slack: float
    window_s: float
    safety: float = 0.8


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window.

    Attributes:
      cfg: Current limits.
    """

    def __init__(self, cfg: RepeatConfig) -> None:
        self.cfg = cfg
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def on_request(self, now_s: float) -> None:
        """Records the first send of a request."""
        self._expire(now_s)
        self._requests.append(now_s)

    def try_repeat(self, routers: int, now_s: float) -> bool:
        """Counts one repeat if the budget allows it.

        Args:
          routers: Number of routers that share the slack.
          now_s: Current time in seconds.

        Returns:
          Whether the request may be repeated.
        """
        if not self.can_repeat(routers, now_s):
            return False
        self._repeats.append(now_s)
        return True

    def can_repeat(self, routers: int, now_s: float) -> bool:
        """Returns whether the budget allows another repeat.

        Args:
          routers: Number of routers that share the slack.
          now_s: Current time in seconds.
        """
        self._expire(now_s)
        limit = self.cfg.safety * (
            self.cfg.ratio * len(self._requests)
            + self.cfg.slack / max(1, routers)
        )
        return len(self._repeats) + 1 <= limit

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_s - self.cfg.window_s:
                times.popleft()


class RepeatBudgets:
    """One repeat budget per service."""

    def __init__(self, cfg: RepeatConfig) -> None:
        self._cfg = cfg
        self._budgets: dict[str, RepeatBudget] = {}

    def of(self, service: str) -> RepeatBudget:
        """Returns the budget of a service."""
        return self._budgets.setdefault(service, RepeatBudget(self._cfg))

    def set_config(self, cfg: RepeatConfig) -> None:
        """Changes the limits of all services without resetting the counts."""
        self._cfg = cfg
        for budget in self._budgets.values():
            budget.cfg = cfg
