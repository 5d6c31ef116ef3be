"""An ask for a permit that the holder can't answer yet."""

import enum

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages


class AskStage(enum.Enum):
    """What the holder has tried in order to serve an ask."""

    # Waits for a draw from the ledger or for a grant that can issue permits.
    NEW = "new"
    # Other holders have been asked to return their unused budget.
    RECALLING = "recalling"
    # The other holders have answered, or the recall has timed out.
    RECALLED = "recalled"


@attrs.define
class PendingAsk:
    """An ask in the queue of the holder.

    Attributes:
      sender: Router that sent the ask.
      msg: The ask as received.
      min_read_at_s: The ask is refused as exhausted only if the ledger was read
        at this time or later.
      min_read_token: For a keyed ask, the token drawn at its arrival. Only a
        ledger call with a later token proves that the ask was looked up in the
        current permit table.
      deadline_s: Time at which the ask is refused in any case.
      stage: What the holder has tried so far.
    """

    sender: incarnation.Incarnation
    msg: messages.Ask
    min_read_at_s: float
    deadline_s: float
    min_read_token: int = 0
    stage: AskStage = AskStage.NEW
