"""One row of a grant's permit table."""

import enum

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import permit as permit_lib


class RowState(enum.Enum):
    """Progress of one permit."""

    # The hold counts against the grant.
    OPEN = "open"
    # The cost is known, but its billing record is not durable yet.
    SETTLED = "settled"
    # The billing record is durable; kept to recognize retries.
    BILLED = "billed"
    # Not used; removes the row from the table.
    REMOVED = "removed"


@attrs.frozen
class PermitRow:
    """A permit and what became of it.

    Attributes:
      request_id: Request that holds the budget; the key of the table.
      attempt_id: Attempt that may use the permit.
      entry: Router that the caller of the attempt is connected to.
      hold: Largest cost in budget units.
      keyed: Whether the row is kept to recognize retries.
      model: Model or service.
      state: Progress of the permit.
      backend: Backend server in use, or an empty string if unknown.
      cost: Actual cost once settled.
      kind: How the cost is known.
      contested: Whether the entry router had asked another router before.
      former_entry: Router that is gone and whose permit a retry took over.
      former_attempt: Its attempt, which may have run.
    """

    request_id: str
    attempt_id: str
    entry: incarnation.Incarnation
    hold: int
    keyed: bool
    model: str
    state: RowState = RowState.OPEN
    backend: str = ""
    cost: int = 0
    kind: permit_lib.CostKind = permit_lib.CostKind.REPORTED
    contested: bool = False
    former_entry: incarnation.Incarnation | None = None
    former_attempt: str = ""
