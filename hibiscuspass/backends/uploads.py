"""Ends uploads for which a process has no memory."""

import asyncio

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import byte_budget

# Time in which an upload that has become idle can be dropped.
_RETRY_AFTER_S = 1.0
_DETAILS = {
    byte_budget.Outcome.DROPPED: "the body stopped arriving",
    byte_budget.Outcome.TOTAL: "no memory for the body",
    byte_budget.Outcome.KEY: "too many bytes of this caller",
    byte_budget.Outcome.REQUEST: "no memory for so large a body",
}


def make_refusal(outcome: byte_budget.Outcome) -> refusal.Refusal:
    """Returns the refusal of a body that isn't kept."""
    return refusal.Refusal(
        reason.Reason.RATE_LIMITED
        if outcome is byte_budget.Outcome.KEY
        else reason.Reason.OVERLOADED,
        _DETAILS[outcome],
        retry_after_s=_RETRY_AFTER_S,
    )


def expire(timeout: asyncio.Timeout) -> None:
    """Ends the reading of a body at once, as if its time were over."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())
