"""Messages between holders, witnesses and routers that take over grants."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table


@attrs.frozen
class AppendRows(message.Request):
    """Appends rows to a permit table; at most one append is in flight.

    Attributes:
      grant_id: Grant of the table.
      operation: Operation of the epoch that the table belongs to.
      workspace: Workspace of the grant.
      sequence: Number of the append in the epoch, from 1.
      rows: Changed rows.
      batches: Number of durable billing batches.
      logged: Spend in those batches.
    """

    grant_id: str
    operation: str
    workspace: str
    sequence: int
    rows: tuple[permit_row.PermitRow, ...]
    batches: int
    logged: int


@attrs.frozen
class RowsAppended(message.Reply):
    """Acknowledges an append, or reports that the epoch is sealed."""

    grant_id: str
    operation: str
    workspace: str
    sequence: int
    sealed: bool


@attrs.frozen
class InstallTable(message.Request):
    """Gives a new witness the table of the next epoch."""

    grant_id: str
    operation: str
    workspace: str
    epoch: int
    table: permit_table.TableSnapshot


@attrs.frozen
class TableInstalled(message.Reply):
    """Confirms `InstallTable`."""

    grant_id: str
    operation: str
    workspace: str


@attrs.frozen
class SealEpoch(message.Request):
    """Makes the witness refuse all later appends in an epoch.

    Attributes:
      grant_id: Grant whose epoch is sealed.
      operation: Operation of the epoch.
      workspace: Workspace of the grant.
      holder: Holder in that epoch.
    """

    grant_id: str
    operation: str
    workspace: str
    holder: incarnation.Incarnation


@attrs.frozen
class EpochSealed(message.Reply):
    """Returns the table of a sealed epoch; None if the witness lacks it."""

    grant_id: str
    operation: str
    workspace: str
    table: permit_table.TableSnapshot | None


@attrs.frozen
class ForgetTable(message.Request):
    """Tells a witness that an epoch has ended and its table can be deleted."""

    grant_id: str
    operation: str


@attrs.frozen
class WitnessLeaving(message.Request):
    """Tells a holder that its witness stops soon and must be replaced."""

    workspace: str
    grant_id: str
    operation: str
