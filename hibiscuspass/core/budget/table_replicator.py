"""Replicates a grant's permit table to its witness."""

from collections.abc import Iterable
import itertools

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import witness_messages


class TableReplicator:
    """Sends changed rows to the witness, with one append in flight at a time.

    Rows that change while an append is in flight go into the next one, so the
    number of messages doesn't grow with the load.

    Attributes:
      witness: Router that stores the replica.
      tries: Number of unanswered sends of the append in flight.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        workspace: str,
        grant_id: str,
        operation: str,
        witness: incarnation.Incarnation,
    ) -> None:
        self._ctx = ctx
        self._workspace = workspace
        self._grant_id = grant_id
        self._operation = operation
        self._unsent: dict[str, permit_row.PermitRow] = {}
        self._log_position_changed = False
        self._sent: witness_messages.AppendRows | None = None
        self._sent_at_s = 0.0
        self._sequence = 0
        self.witness = witness
        self.tries = 0

    @property
    def idle(self) -> bool:
        """Whether the witness has acknowledged all rows."""
        return self._sent is None and not self._unsent

    @property
    def is_unresponsive(self) -> bool:
        """Whether the witness has not answered in time."""
        return self._sent is not None and self.tries > 1

    @property
    def awaits_release_ack(self) -> bool:
        """Whether the witness may still count a hold that has ended here."""
        sent = () if self._sent is None else self._sent.rows
        return any(
            r.state is not permit_row.RowState.OPEN
            for r in itertools.chain(self._unsent.values(), sent)
        )

    def awaits_acknowledgement(self, request_id: str) -> bool:
        """Whether the row of a request has not been acknowledged yet."""
        if request_id in self._unsent:
            return True
        return self._sent is not None and any(
            r.request_id == request_id for r in self._sent.rows
        )

    def queue_row(self, row: permit_row.PermitRow) -> None:
        """Queues a changed row for the next append."""
        self._unsent[row.request_id] = row

    def queue_rows(self, rows: Iterable[permit_row.PermitRow]) -> None:
        """Queues changed rows for the next append."""
        self._unsent.update((r.request_id, r) for r in rows)

    def queue_log_position(self) -> None:
        """Queues the new position of the billing log for the next append."""
        self._log_position_changed = True

    def pump(self, table: permit_table.PermitTable) -> float | None:
        """Sends an append if one is due and returns when to call again."""
        retry_s = self._ctx.timing.append_retry_s
        if self._sent is None:
            if not self._unsent and not self._log_position_changed:
                return None
            self._sequence += 1
            self._sent = self._make_append(tuple(self._unsent.values()), table)
            self._unsent.clear()
            self._log_position_changed = False
            self.tries = 0
        elif self._ctx.now_s < self._sent_at_s + retry_s:
            return self._sent_at_s + retry_s
        self._sent_at_s = self._ctx.now_s
        self.tries += 1
        self._ctx.send(self.witness, self._sent)
        return self._sent_at_s + retry_s

    def on_rows_appended(
        self, msg: witness_messages.RowsAppended
    ) -> tuple[permit_row.PermitRow, ...]:
        """Returns the rows that the witness acknowledges with a message."""
        if self._sent is None or msg.sequence != self._sent.sequence:
            return ()
        rows, self._sent = self._sent.rows, None
        self.tries = 0
        return rows

    def _make_append(
        self,
        rows: tuple[permit_row.PermitRow, ...],
        table: permit_table.PermitTable,
    ) -> witness_messages.AppendRows:
        return witness_messages.AppendRows(
            self._ctx.next_id(),
            self.witness,
            self._grant_id,
            self._operation,
            self._workspace,
            self._sequence,
            rows,
            table.batches,
            table.logged,
        )
