"""A permit at its entry router."""

import enum

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import permit as permit_lib


class UseState(enum.Enum):
    """Progress of a permit at its entry router."""

    HELD = "held"
    SETTLED = "settled"


@attrs.define
class PermitUse:
    """A permit that was handed to an attempt.

    Attributes:
      permit: The permit.
      holder: Latest known holder of its grant.
      epoch: Epoch of that holder.
      keyed: Whether the caller sent an idempotency key.
      state: Progress.
      backend: Backend server in use, or an empty string.
      cost: Final cost.
      kind: How the cost is known.
      reports: Number of reports sent.
      next_at_s: Time of the next report.
    """

    permit: permit_lib.Permit
    holder: incarnation.Incarnation
    epoch: int
    keyed: bool
    state: UseState = UseState.HELD
    backend: str = ""
    cost: int = 0
    kind: permit_lib.CostKind = permit_lib.CostKind.REPORTED
    reports: int = 0
    next_at_s: float = 0.0
