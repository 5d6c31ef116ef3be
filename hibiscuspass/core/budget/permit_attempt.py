"""State of an attempt that waits for a permit."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit as permit_lib


@attrs.define
class WaitingAttempt:
    """An attempt at its entry router that waits for a permit.

    Attributes:
      req: Requested permit.
      deadline_s: Time at which the attempt is refused.
      candidates: Routers to ask next, in order.
      asked_router: Router that was asked last.
      ask_id: Number of the last ask.
      ask_next_at_s: Time at which the next router is asked.
      last_refusal: Latest refusal by a router.
      redirect_targets: Routers that refusals have named as holders.
    """

    req: permit_lib.PermitRequest
    deadline_s: float
    candidates: list[incarnation.Incarnation]
    asked_router: incarnation.Incarnation | None = None
    ask_id: int = 0
    ask_next_at_s: float = 0.0
    last_refusal: messages.AskRefused | None = None
    redirect_targets: set[incarnation.Incarnation] = attrs.field(factory=set)
