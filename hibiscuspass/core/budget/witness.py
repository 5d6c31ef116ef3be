"""Acknowledges permits of grants that other routers hold."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import witness_messages


@attrs.define
class WitnessTable:
    """The permit table of one grant in one epoch.

    Attributes:
      workspace: Workspace of the grant.
      holder: Router that appends to the table.
      epoch: The epoch; 0 if the holder has not told.
      table: The permits.
      sequence: Number of the last append.
      sealed: Whether appends are refused for good.
      ended: Whether the ledger has moved past the epoch. The entry stays, so
        that a holder that was paused, or a repeated message, can't start the
        epoch again; it is discarded once that holder is gone.
      suspected_at_s: Time since which the holder is suspected.
      warned_at_s: Time at which the holder was told of a planned stop.
    """

    workspace: str
    holder: incarnation.Incarnation | None
    epoch: int
    table: permit_table.PermitTable
    sequence: int = 0
    sealed: bool = False
    ended: bool = False
    suspected_at_s: float | None = None
    warned_at_s: float = float("-inf")


class WitnessRole:
    """Tables by grant and operation.

    The operation names the epoch uniquely, so tables that competing routers
    install for the same next epoch don't mix.
    """

    def __init__(self, ctx: node_context.NodeContext) -> None:
        self._ctx = ctx
        self._refused: set[incarnation.Incarnation] = set()
        self.tables: dict[tuple[str, str], WitnessTable] = {}

    def on_append(
        self, sender: incarnation.Incarnation, msg: witness_messages.AppendRows
    ) -> None:
        """Stores rows and acknowledges them unless the epoch is sealed."""
        known = None
        if sender not in self._refused:
            known = self._find(msg.grant_id, msg.operation, msg.workspace)
        sealed = known is None or self._refuses(known)
        if known is not None and not sealed:
            known.holder = sender
            if msg.sequence == known.sequence + 1:
                known.table.apply(msg.rows, msg.batches, msg.logged)
                known.sequence = msg.sequence
        self._ctx.send(
            sender,
            witness_messages.RowsAppended(
                msg.ask_id,
                msg.grant_id,
                msg.operation,
                msg.workspace,
                0 if known is None else known.sequence,
                sealed,
            ),
        )

    def on_install(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.InstallTable,
    ) -> None:
        """Stores the table of an epoch that may be about to begin."""
        if sender in self._refused:
            return
        key = (msg.grant_id, msg.operation)
        if key not in self.tables:
            self.tables[key] = WitnessTable(
                msg.workspace,
                sender,
                msg.epoch,
                permit_table.PermitTable(msg.table),
            )
        self._ctx.send(
            sender,
            witness_messages.TableInstalled(
                msg.ask_id, msg.grant_id, msg.operation, msg.workspace
            ),
        )

    def on_seal(
        self, sender: incarnation.Incarnation, msg: witness_messages.SealEpoch
    ) -> None:
        """Seals an epoch and returns its table."""
        table = self.seal(
            msg.grant_id, msg.operation, msg.workspace, msg.holder
        )
        self._ctx.send(
            sender,
            witness_messages.EpochSealed(
                msg.ask_id, msg.grant_id, msg.operation, msg.workspace, table
            ),
        )

    def seal(
        self,
        grant_id: str,
        operation: str,
        workspace: str,
        holder: incarnation.Incarnation,
    ) -> permit_table.TableSnapshot | None:
        """Seals an epoch; returns None if its table is not known here."""
        known = self._find(grant_id, operation, workspace)
        if known is None or known.ended:
            return None
        known.holder = holder
        known.sealed = True
        return known.table.snapshot()

    def on_forget(
        self, sender: incarnation.Incarnation, msg: witness_messages.ForgetTable
    ) -> None:
        """Takes in that an epoch is over."""
        known = self.tables.get((msg.grant_id, msg.operation))
        if known is not None and known.holder == sender:
            # Its own holder won't append again.
            del self.tables[msg.grant_id, msg.operation]
        else:
            self.end(msg.grant_id, msg.operation)

    def end(self, grant_id: str, operation: str) -> None:
        """Seals an epoch that the ledger has moved past; frees its rows."""
        known = self.tables.get((grant_id, operation))
        if known is None:
            return
        known.sealed = known.ended = True
        known.table = permit_table.PermitTable()
        self.purge()

    def purge(self) -> None:
        """Discards ended epochs whose holder is gone.

        A dropped router may return with its old state, so nothing is accepted
        from it any more; it finds another witness.
        """
        over = [
            key
            for key, known in self.tables.items()
            if known.ended
            and known.holder is not None
            and self._ctx.fleet.is_gone(known.holder)
        ]
        for key in over:
            holder = self.tables.pop(key).holder
            assert holder is not None
            self._refused.add(holder)

    def suspects(
        self,
    ) -> list[tuple[str, str, WitnessTable]]:
        """Returns the tables whose holder is due to be replaced."""
        due = []
        for (grant_id, operation), known in self.tables.items():
            if known.ended:
                continue
            if known.holder is None or self._ctx.fleet.is_reachable(
                known.holder
            ):
                known.suspected_at_s = None
                continue
            if known.suspected_at_s is None:
                known.suspected_at_s = self._ctx.now_s
            wait_s = self._ctx.timing.takeover_delay_s
            gone = self._ctx.fleet.is_gone(known.holder)
            if gone or self._ctx.now_s >= known.suspected_at_s + wait_s:
                due.append((grant_id, operation, known))
        return due

    def _refuses(self, known: WitnessTable) -> bool:
        return known.sealed

    def _find(
        self, grant_id: str, operation: str, workspace: str
    ) -> WitnessTable | None:
        known = self.tables.get((grant_id, operation))
        if known is None and operation == grant_id:
            # The first epoch starts with an empty table. If the epoch is long
            # over, the ledger no longer has this operation and no router can
            # make use of the answer.
            known = WitnessTable(workspace, None, 1, permit_table.PermitTable())
            self.tables[grant_id, operation] = known
        return known
