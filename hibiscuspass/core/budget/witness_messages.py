"""Messages between holders, witnesses and routers that take grants over."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table


@attrs.frozen
class AppendRows(message.Request):
    """Rows of a permit table, in order; at most one append is in flight.

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
    """Acknowledges an append, or tells that the epoch is sealed."""

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
    """Ends the acknowledgement of permits in an epoch for good.

    Attributes:
      grant_id: Grant to seal.
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
    """The table of a sealed epoch; None if the witness doesn't have it."""

    grant_id: str
    operation: str
    workspace: str
    table: permit_table.TableSnapshot | None


@attrs.frozen
class ForgetTable(message.Request):
    """The epoch is over; the witness doesn't need its table any more."""

    grant_id: str
    operation: str


@attrs.frozen
class WitnessLeaving(message.Request):
    """The witness stops soon; the holder should choose another one."""

    workspace: str
    grant_id: str
    operation: str
