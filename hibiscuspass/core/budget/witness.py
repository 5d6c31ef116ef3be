"""Stores and acknowledges permits of grants that other routers hold."""

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
      epoch: Number of the epoch.
      table: Permits of the grant.
      sequence: Sequence number of the last append.
      sealed: Whether appends are permanently refused.
      ended: Whether the ledger no longer contains the epoch. The table is kept,
        so that a holder that was paused, or a repeated message, can't start the
        epoch again; it is discarded once that holder is gone.
      suspected_at_s: Time since which the holder has been unreachable; None if
        it is reachable.
      warned_at_s: Time at which the holder was last told that this witness is
        about to stop.
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
    """Keeps the replicas of permit tables for which this router is witness.

    Attributes:
      tables: Tables by grant id and operation. The operation identifies the
        epoch uniquely, so tables that competing routers install for the same
        next epoch stay separate.
    """

    def __init__(self, ctx: node_context.NodeContext) -> None:
        self._ctx = ctx
        self._refused_holders: set[incarnation.Incarnation] = set()
        self.tables: dict[tuple[str, str], WitnessTable] = {}

    def on_append_rows(
        self, sender: incarnation.Incarnation, msg: witness_messages.AppendRows
    ) -> None:
        """Stores rows and acknowledges them unless the epoch is sealed."""
        witness_table = None
        if sender not in self._refused_holders:
            witness_table = self._find_or_create(
                msg.grant_id, msg.operation, msg.workspace
            )
        sealed = witness_table is None or self._rejects_appends(witness_table)
        if witness_table is not None and not sealed:
            witness_table.holder = sender
            if msg.sequence == witness_table.sequence + 1:
                witness_table.table.apply(msg.rows, msg.batches, msg.logged)
                witness_table.sequence = msg.sequence
        self._ctx.send(
            sender,
            witness_messages.RowsAppended(
                msg.ask_id,
                msg.grant_id,
                msg.operation,
                msg.workspace,
                0 if witness_table is None else witness_table.sequence,
                sealed,
            ),
        )

    def on_install_table(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.InstallTable,
    ) -> None:
        """Stores the table of an epoch that is proposed."""
        if sender in self._refused_holders:
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

    def on_seal_epoch(
        self, sender: incarnation.Incarnation, msg: witness_messages.SealEpoch
    ) -> None:
        """Seals an epoch and sends its table to the router that asked."""
        table = self.seal_epoch(
            msg.grant_id, msg.operation, msg.workspace, msg.holder
        )
        self._ctx.send(
            sender,
            witness_messages.EpochSealed(
                msg.ask_id, msg.grant_id, msg.operation, msg.workspace, table
            ),
        )

    def seal_epoch(
        self,
        grant_id: str,
        operation: str,
        workspace: str,
        holder: incarnation.Incarnation,
    ) -> permit_table.TableSnapshot | None:
        """Seals an epoch, so that its holder can't issue permits any more.

        Returns:
          The table of the epoch; None if it is unknown here or the epoch has
          ended.
        """
        witness_table = self._find_or_create(grant_id, operation, workspace)
        if witness_table is None or witness_table.ended:
            return None
        witness_table.holder = holder
        witness_table.sealed = True
        return witness_table.table.snapshot()

    def on_forget_table(
        self, sender: incarnation.Incarnation, msg: witness_messages.ForgetTable
    ) -> None:
        """Handles the message that an epoch has ended."""
        witness_table = self.tables.get((msg.grant_id, msg.operation))
        if witness_table is not None and witness_table.holder == sender:
            # The holder of the epoch won't append again.
            del self.tables[msg.grant_id, msg.operation]
        else:
            self.end_epoch(msg.grant_id, msg.operation)

    def end_epoch(self, grant_id: str, operation: str) -> None:
        """Seals an epoch that the ledger no longer has, and frees its rows."""
        witness_table = self.tables.get((grant_id, operation))
        if witness_table is None:
            return
        witness_table.sealed = witness_table.ended = True
        witness_table.table = permit_table.PermitTable()
        self.discard_ended_tables()

    def discard_ended_tables(self) -> None:
        """Discards the tables of ended epochs whose holder is gone.

        A router that was declared gone may return with its old state, so
        nothing is accepted from it any more; it finds another witness.
        """
        discarded = [
            key
            for key, witness_table in self.tables.items()
            if witness_table.ended
            and witness_table.holder is not None
            and self._ctx.fleet.is_gone(witness_table.holder)
        ]
        for key in discarded:
            holder = self.tables.pop(key).holder
            assert holder is not None
            self._refused_holders.add(holder)

    def tables_to_take_over(
        self,
    ) -> list[tuple[str, str, WitnessTable]]:
        """Returns the tables whose grants are due for a takeover.

        Returns:
          Grant id, operation and table of each.
        """
        due = []
        for (grant_id, operation), witness_table in self.tables.items():
            if witness_table.ended:
                continue
            if witness_table.holder is None or self._ctx.fleet.is_reachable(
                witness_table.holder
            ):
                witness_table.suspected_at_s = None
                continue
            if witness_table.suspected_at_s is None:
                witness_table.suspected_at_s = self._ctx.now_s
            wait_s = self._ctx.timing.takeover_delay_s
            gone = self._ctx.fleet.is_gone(witness_table.holder)
            if gone or self._ctx.now_s >= witness_table.suspected_at_s + wait_s:
                due.append((grant_id, operation, witness_table))
        return due

    def _rejects_appends(self, witness_table: WitnessTable) -> bool:
        return witness_table.sealed

    def _find_or_create(
        self, grant_id: str, operation: str, workspace: str
    ) -> WitnessTable | None:
        witness_table = self.tables.get((grant_id, operation))
        if witness_table is None and operation == grant_id:
            # The first epoch starts with an empty table. If the epoch ended
            # long ago, the ledger no longer has this operation and no router
            # can use the answer.
            witness_table = WitnessTable(
                workspace, None, 1, permit_table.PermitTable()
            )
            self.tables[grant_id, operation] = witness_table
        return witness_table
