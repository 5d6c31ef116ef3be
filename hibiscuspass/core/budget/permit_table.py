"""Permit table of one grant; its holder and its witness each keep a copy."""

from collections.abc import Iterable

import attrs

from hibiscuspass.core.budget import permit_row


@attrs.frozen
class TableSnapshot:
    """An immutable copy of a permit table.

    Attributes:
      rows: All rows.
      batches: Number of billing batches known to be durable.
      logged: Spend in these batches.
    """

    rows: tuple[permit_row.PermitRow, ...] = ()
    batches: int = 0
    logged: int = 0


class PermitTable:
    """Permit rows by request id, with running totals.

    Attributes:
      rows: Rows by request id.
      batches: Number of billing batches known to be durable.
      logged: Spend in these batches.
      held: Sum of the holds of open permits.
      unlogged: Spend that is settled but not in one of these batches.
      open_count: Number of open permits.
    """

    def __init__(self, snapshot: TableSnapshot | None = None) -> None:
        self.rows: dict[str, permit_row.PermitRow] = {}
        self.batches = 0
        self.logged = 0
        self.held = 0
        self.unlogged = 0
        self.open_count = 0
        if snapshot is not None:
            self.apply(snapshot.rows, snapshot.batches, snapshot.logged)

    @property
    def settled(self) -> int:
        """Spend of all settled permits, in a durable batch or not."""
        return self.logged + self.unlogged

    def store_row(self, row: permit_row.PermitRow) -> None:
        """Stores a row, or removes it if its state is REMOVED."""
        old = self.rows.pop(row.request_id, None)
        if old is not None:
            self._count(old, -1)
        if row.state is not permit_row.RowState.REMOVED:
            self.rows[row.request_id] = row
            self._count(row, 1)

    def apply(
        self,
        rows: Iterable[permit_row.PermitRow],
        batches: int,
        logged: int,
    ) -> None:
        """Stores rows together with the state of the billing log."""
        for row in rows:
            self.store_row(row)
        self.batches = batches
        self.logged = logged

    def snapshot(self) -> TableSnapshot:
        """Returns a copy for a witness or a new holder."""
        return TableSnapshot(
            tuple(self.rows.values()), self.batches, self.logged
        )

    def _count(self, row: permit_row.PermitRow, sign: int) -> None:
        if row.state is permit_row.RowState.OPEN:
            self.held += sign * row.hold
            self.open_count += sign
        elif row.state is permit_row.RowState.SETTLED:
            self.unlogged += sign * row.cost
