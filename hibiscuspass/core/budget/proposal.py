"""A change of witness or holder on its way into the ledger."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import witness_messages


class Proposal:
    """Installs a table at a new witness before the compare-and-swap.

    Attributes:
      workspace: Workspace of the grant.
      grant_id: Grant to change.
      from_operation: Operation whose table this is.
      epoch: Epoch that begins with this change.
      operation: Id of the change.
      witness: New witness; None if there is no other router.
      table: Table as the new witness gets it.
      changed: Rows that changed since; they follow once the change is in the
        ledger.
      installed: Whether the new witness has the table.
      sent: Whether a write of the change may take effect.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        workspace: str,
        grant_id: str,
        from_operation: str,
        epoch: int,
        table: permit_table.TableSnapshot,
    ) -> None:
        self._ctx = ctx
        self._tries = 0
        self._sent_at_s = float("-inf")
        self.workspace = workspace
        self.grant_id = grant_id
        self.from_operation = from_operation
        self.epoch = epoch
        self.table = table
        self.changed: dict[str, permit_row.PermitRow] = {}
        self.installed = False
        self.sent = False
        self.witness: incarnation.Incarnation | None = None
        self.operation = ""
        self._choose()

    def pump(self) -> float | None:
        """Sends the table until it is confirmed; returns the next time."""
        if self.installed or self.witness is None:
            return None
        retry_s = self._ctx.timing.append_retry_s
        if self._ctx.now_s < self._sent_at_s + retry_s:
            return self._sent_at_s + retry_s
        if self._tries >= self._ctx.timing.append_tries:
            self._ctx.mark_unresponsive(self.witness)
            self._choose()
            if self.witness is None:
                return None
        self._tries += 1
        self._sent_at_s = self._ctx.now_s
        self._ctx.send(
            self.witness,
            witness_messages.InstallTable(
                self._ctx.next_id(),
                self.witness,
                self.grant_id,
                self.operation,
                self.workspace,
                self.epoch,
                self.table,
            ),
        )
        return self._sent_at_s + retry_s

    def on_installed(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.TableInstalled,
    ) -> None:
        """Takes in the new witness's confirmation."""
        if msg.operation == self.operation and sender == self.witness:
            self.installed = True

    def _choose(self) -> None:
        # A new id for each witness keeps their tables apart.
        self.operation = self._ctx.unique_name("op")
        self.witness = self._ctx.choose_witness(self.grant_id)
        self._tries = 0
