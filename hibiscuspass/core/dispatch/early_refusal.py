"""What a refusal may say about the execution of a request."""

import attrs

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

# Properties of the request alone: an earlier attempt with the same content was
# refused too, whatever the configuration was at that time.
_ALWAYS_INVALID = frozenset(
    {
        reason.Reason.INVALID_REQUEST,
        reason.Reason.BODY_TOO_LARGE,
        reason.Reason.IDEMPOTENCY_KEY_REQUIRED,
    }
)


def with_run_state(refused: refusal.Refusal, keyed: bool) -> refusal.Refusal:
    """Returns the refusal of a request whose earlier attempts are not known.

    An earlier attempt with the same idempotency key may have run, so only a
    request that is invalid in itself was certainly not run.
    """
    if keyed and refused.reason not in _ALWAYS_INVALID:
        return attrs.evolve(refused, run=run_state.RunState.UNKNOWN)
    return attrs.evolve(refused, run=run_state.RunState.NO)
