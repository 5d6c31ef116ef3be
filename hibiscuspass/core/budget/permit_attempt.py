"""An attempt that waits for a permit."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit as permit_lib


@attrs.define
class Attempt:
    """An attempt that waits for a permit.

    Attributes:
      req: What it asks for.
      deadline_s: Time at which it gives up.
      candidates: Routers still to be asked.
      asked: Router that was asked last.
      ask_id: Number of the present ask.
      next_at_s: Time at which the next router is asked.
      answer: Latest refusal of a holder.
      redirected: Routers that the attempt was redirected to.
    """

    req: permit_lib.PermitRequest
    deadline_s: float
    candidates: list[incarnation.Incarnation]
    asked: incarnation.Incarnation | None = None
    ask_id: int = 0
    next_at_s: float = 0.0
    answer: messages.AskRefused | None = None
    redirected: set[incarnation.Incarnation] = attrs.field(factory=set)
