"""Share of one router in the fleet's budget of repeated sends.

Load pattern: a service fails for all callers at once, and every router wants
to send each request a second time. In any window the fleet may send a share of
its requests plus a constant more; each router keeps to its own part of both,
so that no messages are needed.
"""

import collections

import attrs


@attrs.frozen
class RepeatConfig:
    """Limit of repeated sends.

    Attributes:
      ratio: Repeated sends per request.
      slack: Repeated sends per window that the fleet may do besides.
      window_s: Length of the sliding window in seconds.
      safety: Part of the limit that is used, since routers count at slightly
        different times.
    """

    ratio: float
    slack: float
    window_s: float
    safety: float = 0.8


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window.

    Attributes:
      cfg: Limit in force.
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
        """Takes one repeat; False if none is left.

        Args:
          routers: Number of routers that share the slack.
          now_s: Present time in seconds.
        """
        self._expire(now_s)
        limit = self.cfg.safety * (
            self.cfg.ratio * len(self._requests)
            + self.cfg.slack / max(1, routers)
        )
        if len(self._repeats) + 1 > limit:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_s - self.cfg.window_s:
                times.popleft()


class RepeatBudgets:
    """One repeat budget a service."""

    def __init__(self, cfg: RepeatConfig) -> None:
        self._cfg = cfg
        self._budgets: dict[str, RepeatBudget] = {}

    def of(self, service: str) -> RepeatBudget:
        """Returns the budget of a service."""
        return self._budgets.setdefault(service, RepeatBudget(self._cfg))

    def set_config(self, cfg: RepeatConfig) -> None:
        """Sets changed limits; what was counted stays."""
        self._cfg = cfg
        for budget in self._budgets.values():
            budget.cfg = cfg
