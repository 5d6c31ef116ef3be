"""Account and usage statistics of one workspace at one router."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from hibiscuspass.core.prepaid import account as account_lib
from hibiscuspass.core.prepaid import draw_policy

# Weight of the newest request in the moving average of request sizes.
_NEWEST_REQUEST_WEIGHT = 0.2


@attrs.define
class WorkspaceUsage:
    """Account and usage statistics of a workspace.

    Attributes:
      account: Tokens that this router may use.
      rate: Tokens per second used by all requests.
      by_priority: Tokens per second by priority; 0 is the most urgent.
      typical_tokens: Moving average of the tokens per request; 0 before the
        first request.
      last_request_s: Time at which a request of this router last began or
        ended.
    """

    account: account_lib.Account
    rate: draw_policy.UsageRate
    by_priority: dict[int, draw_policy.UsageRate] = attrs.field(factory=dict)
    typical_tokens: float = 0.0
    last_request_s: float = -math.inf

    def on_request(self, tokens: int, now_s: float) -> None:
        """Records a request that uses at most `tokens`."""
        self.rate.add(tokens, now_s)
        weight = _NEWEST_REQUEST_WEIGHT if self.typical_tokens else 1.0
        self.typical_tokens += weight * (tokens - self.typical_tokens)

    def most_urgent_per_s(self, now_s: float) -> float:
        """Returns the usage rate of the highest priority.

        The rate is 0 if requests of fewer than two priorities were seen, since
        there is nothing to favour.
        """
        priorities = sorted(self.by_priority)
        if len(priorities) < 2:
            return 0.0
        return self.by_priority[priorities[0]].per_s(now_s)


@attrs.define
class Hold:
    """Tokens reserved for one request.

    Attributes:
      workspace: Workspace that pays.
      tokens: Reserved tokens.
      priority: Priority of the request; 0 is the most urgent.
      is_open: Whether the reservation has not been settled yet.
    """

    workspace: str
    tokens: int
    priority: int = 0
    is_open: bool = True


def mean_rates(
    rates: Iterable[Mapping[str, Mapping[int, float]]], routers: int
) -> dict[str, dict[int, float]]:
    """Returns the mean usage rates of routers.

    Args:
      rates: Tokens per second of each router, by workspace and priority.
      routers: Number of routers that share the usage.
    """
    means: dict[str, dict[int, float]] = {}
    for by_workspace in rates:
        for name, by_priority in by_workspace.items():
            sums = means.setdefault(name, {})
            for priority, per_s in by_priority.items():
                sums[priority] = sums.get(priority, 0.0) + per_s / routers
    return means
