"""Result of an operation that was refused."""

import attrs

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state


@attrs.frozen
class Refusal:
    """An outcome other than success, with its reason.

    Attributes:
      reason: Machine-readable code.
      detail: One sentence for humans, with the invalid and the allowed values.
      run: Whether the refused request may have been run.
      retry_after_s: Suggested delay before a retry in seconds, if a retry can
        help.
    """

    reason: reason_lib.Reason
    detail: str = ""
    run: run_state.RunState = run_state.RunState.NO
    retry_after_s: float | None = None
