"""State of an issued permit at its entry router."""

import enum

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import permit as permit_lib


class UseState(enum.Enum):
    """State of a permit at its entry router."""

    HELD = "held"
    SETTLED = "settled"


@attrs.define
class PermitUse:
    """A permit that an attempt has received.

    Attributes:
      permit: The permit.
      holder: Latest known holder of its grant.
      epoch: Epoch of that holder.
      keyed: Whether the caller sent an idempotency key.
      state: Whether the cost has been settled.
      backend: Backend server in use, or an empty string.
      cost: Final cost.
      kind: How the cost was determined.
      settlements_sent: Number of times that the settlement was sent.
      next_send_at_s: Time at which the settlement is sent again.
    """

    permit: permit_lib.Permit
    holder: incarnation.Incarnation
    epoch: int
    keyed: bool
    state: UseState = UseState.HELD
    backend: str = ""
    cost: int = 0
    kind: permit_lib.CostKind = permit_lib.CostKind.REPORTED
    settlements_sent: int = 0
    next_send_at_s: float = 0.0
