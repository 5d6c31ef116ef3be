"""One row of a grant's permit table."""

import enum

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import permit as permit_lib


class RowState(enum.Enum):
    """State of one permit."""

    # The hold counts against the grant.
    OPEN = "open"
    # The cost is known, but its billing record is not durable yet.
    SETTLED = "settled"
    # The billing record is durable. The row is kept to recognize retries.
    BILLED = "billed"
    # The row is to be removed from the table.
    REMOVED = "removed"


@attrs.frozen
class PermitRow:
    """A permit and its state.

    Attributes:
      request_id: Request that holds the budget; the key of the table.
      attempt_id: Attempt that may use the permit.
      entry: Entry router, which the caller of the attempt is connected to.
      hold: Worst-case cost in budget units, reserved in the grant.
      keyed: Whether the request has an idempotency key, so that the row is kept
        to recognize retries.
      model: Name of the requested model or service.
      state: State of the permit.
      backend: Backend server in use, or an empty string if unknown.
      cost: Actual cost once settled.
      kind: How the cost was determined.
      contested: Whether the entry router has also asked another router, which
        may have issued a permit for the same request.
      former_entry: Entry router that is gone and whose permit a retry took
        over; None if there is no such router.
      former_attempt: Attempt of `former_entry`, which may have run.
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


def as_removed(row: PermitRow) -> PermitRow:
    """Returns the row in a state that removes it from the table."""
    return attrs.evolve(row, state=RowState.REMOVED)


def as_settled(
    row: PermitRow, cost: int, kind: permit_lib.CostKind
) -> PermitRow:
    """Returns the row with its final cost, which is at most the hold."""
    return attrs.evolve(
        row, state=RowState.SETTLED, cost=min(cost, row.hold), kind=kind
    )


def as_billed(
    row: PermitRow, cost: int, kind: permit_lib.CostKind
) -> PermitRow:
    """Returns the row after its billing record has become durable.

    Only keyed rows are kept; others are removed.
    """
    state = RowState.BILLED if row.keyed else RowState.REMOVED
    return attrs.evolve(row, state=state, cost=cost, kind=kind)


def as_reassigned(
    row: PermitRow, attempt_id: str, entry: incarnation.Incarnation
) -> PermitRow:
    """Returns the row for the retry that takes the permit over."""
    return attrs.evolve(
        row,
        attempt_id=attempt_id,
        entry=entry,
        former_entry=row.former_entry or row.entry,
        former_attempt=row.former_attempt or row.attempt_id,
    )


def as_released(row: PermitRow) -> PermitRow:
    """Returns the row of a permit that its attempt has not used.

    The row is removed, unless a retry took the permit over from a router that
    is gone. That router's attempt may have run, so its permit becomes orphaned
    again.
    """
    if row.former_entry is None:
        return as_removed(row)
    return attrs.evolve(
        row,
        entry=row.former_entry,
        attempt_id=row.former_attempt,
        former_entry=None,
        former_attempt="",
    )
