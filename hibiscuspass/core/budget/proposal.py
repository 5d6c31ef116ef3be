"""A planned change of a grant's witness or holder."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import witness_messages


class Proposal:
    """Installs a permit table at a new witness before the ledger changes.

    The ledger change, a compare-and-swap, starts the next epoch of the grant.

    Attributes:
      workspace: Workspace of the grant.
      grant_id: Grant to change.
      from_operation: Operation of the current epoch, which has this table.
      epoch: Epoch that begins with this change.
      operation: Id of the change.
      witness: New witness; None if there is no other router.
      table: Permit table that is sent to the new witness.
      changed: Rows that have changed since `table` was copied, by request id.
        The new witness gets them once the change is in the ledger.
      installed: Whether the new witness has confirmed the table.
      may_apply: Whether a ledger write with the change may take effect.
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
        self.may_apply = False
        self.witness: incarnation.Incarnation | None = None
        self.operation = ""
        self._choose_witness()

    def pump(self) -> float | None:
        """Sends the table until it is confirmed; returns the next send time."""
        if self.installed or self.witness is None:
            return None
        retry_s = self._ctx.timing.append_retry_s
        if self._ctx.now_s < self._sent_at_s + retry_s:
            return self._sent_at_s + retry_s
        if self._tries >= self._ctx.timing.append_tries:
            self._ctx.mark_unresponsive(self.witness)
            self._choose_witness()
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

    def on_table_installed(
        self,
        sender: incarnation.Incarnation,
        msg: witness_messages.TableInstalled,
    ) -> None:
        """Handles the confirmation of the new witness."""
        if msg.operation == self.operation and sender == self.witness:
            self.installed = True

    def _choose_witness(self) -> None:
        # Each witness gets a new operation id, so that their tables stay
        # separate.
        self.operation = self._ctx.unique_name("op")
        self.witness = self._ctx.choose_witness(self.grant_id)
        self._tries = 0
