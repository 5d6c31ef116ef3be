"""One workspace at one router: its account, its use, its requests."""

import attrs

from hibiscuspass.core.prepaid import account as account_lib
from hibiscuspass.core.prepaid import draw_policy

# Weight of the newest request in the size of a typical one.
_NEWEST_REQUEST_WEIGHT = 0.2


@attrs.define
class Entry:
    """Account and use of a workspace.

    Attributes:
      account: Tokens that this router may use.
      rate: Tokens per second of all requests.
      by_priority: Tokens per second by rank of the request, 0 first.
      typical: Tokens of a typical request; 0 before the first one.
    """

    account: account_lib.Account
    rate: draw_policy.UsageRate
    by_priority: dict[int, draw_policy.UsageRate] = attrs.field(factory=dict)
    typical_tokens: float = 0.0

    def on_request(self, tokens: int, now_s: float) -> None:
        """Records a request of `tokens` at most."""
        self.rate.add(tokens, now_s)
        weight = _NEWEST_REQUEST_WEIGHT if self.typical_tokens else 1.0
        self.typical_tokens += weight * (tokens - self.typical_tokens)

    def most_urgent_per_s(self, now_s: float) -> float:
        """Returns the use by the most urgent of several kinds of requests."""
        ranks = sorted(self.by_priority)
        if len(ranks) < 2:
            return 0.0
        return self.by_priority[ranks[0]].per_s(now_s)


@attrs.define
class Hold:
    """Tokens reserved for one request.

    Attributes:
      workspace: Workspace that pays.
      tokens: Reserved tokens.
      priority: Rank of the request, 0 first.
      open: Whether the request has not been settled.
    """

    workspace: str
    tokens: int
    priority: int = 0
    open: bool = True
