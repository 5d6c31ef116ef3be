"""Decides how much a router borrows, and when it returns what it has left.

Load pattern: a large fleet, in which each router serves a request of a given
workspace every few seconds. Tokens that a router borrowed and didn't use serve
no request then: the holders run short in an outage of the store, and the last
tokens of a workspace are spread over all routers in parts that are smaller than
a request.
"""

from collections.abc import Sequence

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import account
from hibiscuspass.core.prepaid import workspace_usage as usage_lib

# Time after the last request of a workspace after which a router that draws no
# tokens of it returns the rest, in seconds.
_RETURN_AFTER_S = 1.0
# A router with more requests per second than this one borrows before it needs
# the tokens. Its requests would otherwise wait for loans one after the other.
_MIN_REQUESTS_PER_S = 2.0
# Usage in seconds that the tokens of such a router last when it borrows, and
# after the loan. A loan takes a few tenths of a second on a busy router.
_LOW_S = 0.75
_FULL_S = 1.5


def wanted_loan(
    usage: usage_lib.WorkspaceUsage, tokens: int, now_s: float
) -> int:
    """Returns the tokens to borrow: `tokens` or one second of usage.

    Args:
      usage: Usage of the workspace at the borrower.
      tokens: Tokens that a request needs.
      now_s: Current time.
    """
    if not usage.rate.is_measured:
        return tokens
    return max(tokens, int(usage.rate.per_s(now_s)))


def advance_target(usage: usage_lib.WorkspaceUsage, now_s: float) -> int:
    """Returns the tokens to have after a loan that no request waits for.

    Load pattern: a hash of the callers gives one router of a large fleet most
    requests of a workspace.

    Args:
      usage: Usage of the workspace at a router that draws no tokens of it.
      now_s: Current time.

    Returns:
      Number of tokens; 0 if no such loan is due.
    """
    # The rate of all requests begins with an assumption that suits holders.
    per_s = sum(rate.per_s(now_s) for rate in usage.by_priority.values())
    is_busy = per_s > _MIN_REQUESTS_PER_S * usage.typical_tokens
    if not is_busy or usage.account.available >= _LOW_S * per_s:
        return 0
    return int(_FULL_S * per_s)


def is_surplus(usage: usage_lib.WorkspaceUsage, now_s: float) -> bool:
    """Returns whether a router that draws no tokens should return its rest.

    Args:
      usage: Usage of the workspace at this router.
      now_s: Current time.
    """
    return (
        usage.account.available > 0
        and not usage.account.held
        and now_s - usage.last_request_s >= _RETURN_AFTER_S
    )


def main_lender(
    acc: account.Account, holders: Sequence[incarnation.Incarnation]
) -> incarnation.Incarnation:
    """Returns the holder that has lent most.

    Args:
      acc: Account of the borrower.
      holders: At least one process that draws tokens of the workspace.
    """
    return max(
        holders, key=lambda p: acc.received.get(p, 0) - acc.lent.get(p, 0)
    )
