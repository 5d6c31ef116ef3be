"""Run state of refusals made before earlier attempts are looked up."""

import attrs

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

# These reasons depend on the request alone, so an earlier attempt with the same
# content was refused as well, whatever the configuration was at that time.
_ALWAYS_INVALID = frozenset(
    {
        reason.Reason.INVALID_REQUEST,
        reason.Reason.BODY_TOO_LARGE,
        reason.Reason.IDEMPOTENCY_KEY_REQUIRED,
    }
)


def with_run_state(refused: refusal.Refusal, keyed: bool) -> refusal.Refusal:
    """Returns the refusal with the run state that is certain at this point.

    Earlier attempts with the same idempotency key have not been looked up and
    may have run. Only a request that is always invalid was certainly not run.

    Args:
      refused: Refusal of the current attempt.
      keyed: Whether the request has an idempotency key.
    """
    if keyed and refused.reason not in _ALWAYS_INVALID:
        return attrs.evolve(refused, run=run_state.RunState.UNKNOWN)
    return attrs.evolve(refused, run=run_state.RunState.NO)
