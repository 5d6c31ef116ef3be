"""An ask that the holder can't answer yet."""

import enum

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages


class AskStage(enum.Enum):
    """What has been tried for an ask."""

    # Waits for a draw or for a grant to become usable.
    NEW = "new"
    # Other holders have been asked to return what they don't use.
    RECALLING = "recalling"
    # They have answered, or had time to.
    RECALLED = "recalled"


@attrs.define
class PendingAsk:
    """An ask in the holder's queue.

    Attributes:
      sender: Router that asks.
      msg: The ask.
      min_read_at_s: Time after which the ledger must have been read before
        the ask is refused.
      min_read_token: For a keyed ask, token of its arrival. Only a call that
        was sent later shows that the table it was looked up in is the present
        one.
      deadline_s: Time at which the ask is refused in any case.
      stage: What has been tried.
    """

    sender: incarnation.Incarnation
    msg: messages.Ask
    min_read_at_s: float
    deadline_s: float
    min_read_token: int = 0
    stage: AskStage = AskStage.NEW
