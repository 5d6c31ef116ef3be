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


def removed(row: PermitRow) -> PermitRow:
    """Returns the row that takes a permit out of the table."""
    return attrs.evolve(row, state=RowState.REMOVED)


def settled(row: PermitRow, cost: int, kind: permit_lib.CostKind) -> PermitRow:
    """Returns the row with its final cost, at most the hold."""
    return attrs.evolve(
        row, state=RowState.SETTLED, cost=min(cost, row.hold), kind=kind
    )


def billed(row: PermitRow, cost: int, kind: permit_lib.CostKind) -> PermitRow:
    """Returns the row once its record is durable; only keyed rows are kept."""
    state = RowState.BILLED if row.keyed else RowState.REMOVED
    return attrs.evolve(row, state=state, cost=cost, kind=kind)


def reassigned(
    row: PermitRow, attempt_id: str, entry: incarnation.Incarnation
) -> PermitRow:
    """Returns the row with the retry that takes the permit over."""
    return attrs.evolve(
        row,
        attempt_id=attempt_id,
        entry=entry,
        former_entry=row.former_entry or row.entry,
        former_attempt=row.former_attempt or row.attempt_id,
    )


def released(row: PermitRow) -> PermitRow:
    """Returns the row of a permit that its attempt has not used.

    An attempt of a router that is gone may have run before, so its permit
    becomes orphaned again.
    """
    if row.former_entry is None:
        return removed(row)
    return attrs.evolve(
        row,
        entry=row.former_entry,
        attempt_id=row.former_attempt,
        former_entry=None,
        former_attempt="",
    )
