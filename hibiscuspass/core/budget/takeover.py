"""Takes a grant over from a holder that failed or is stopping."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import proposal as proposal_lib
from hibiscuspass.core.budget import witness_messages


class Takeover:
    """Seals the current epoch of a grant, then proposes the next one.

    Attributes:
      grant: Grant as the ledger contained it.
      proposal: Change of holder; None until the permit table is known.
      failed: Whether the witness can't provide the table, so that the grant is
        in doubt.
      store_queried: Whether the table was requested from the key-value service,
        where a stopping fleet stores it.
      retry_at_s: Time after which a failed takeover may be tried again.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        workspace: str,
        grant: grant_lib.Grant,
        table: permit_table.TableSnapshot | None = None,
    ) -> None:
        self._ctx = ctx
        self._workspace = workspace
        self._tries = 0
        self._sent_at_s = float("-inf")
        self.grant = grant
        self.proposal: proposal_lib.Proposal | None = None
        self.failed = grant.witness is None and table is None
        self.store_queried = False
        self.retry_at_s = ctx.now_s + ctx.timing.takeover_delay_s
        if table is not None:
            self._propose_next_epoch(table)

    @property
    def ready(self) -> bool:
        """Whether the change of holder may be written to the ledger."""
        return self.proposal is not None and (
            self.proposal.installed or self.proposal.witness is None
        )

    def committed_amount(self) -> int:
        """Returns the sum of the spend and the open holds in the table."""
        assert self.proposal is not None
        table = permit_table.PermitTable(self.proposal.table)
        return table.settled + table.held

    def pump(self) -> None:
        """Sends the message that is due and schedules the next call."""
        if self.failed:
            self._ctx.wake(self._workspace, self.retry_at_s)
            return
        at_s = (
            self._send_seal_request()
            if self.proposal is None
            else self.proposal.pump()
        )
        if at_s is not None:
            self._ctx.wake(self._workspace, at_s)

    def _propose_next_epoch(self, table: permit_table.TableSnapshot) -> None:
        """Proposes the next epoch with the table of the sealed one."""
        if self.proposal is None:
            self.proposal = proposal_lib.Proposal(
                self._ctx,
                self._workspace,
                self.grant.id,
                self.grant.operation,
                self.grant.epoch + 1,
                table,
            )

    def on_epoch_sealed(
        self, sender: incarnation.Incarnation, msg: witness_messages.EpochSealed
    ) -> None:
        """Handles the witness's answer to the seal request."""
        if sender != self.grant.witness:
            return
        if msg.operation != self.grant.operation:
            return
        if msg.table is None:
            self.failed = True
        else:
            self._propose_next_epoch(msg.table)

    def _send_seal_request(self) -> float | None:
        witness = self.grant.witness
        assert witness is not None
        retry_s = self._ctx.timing.append_retry_s
        if self._ctx.now_s < self._sent_at_s + retry_s:
            return self._sent_at_s + retry_s
        if self._tries >= self._ctx.timing.append_tries:
            self.failed = True
            return None
        self._tries += 1
        self._sent_at_s = self._ctx.now_s
        self._ctx.send(
            witness,
            witness_messages.SealEpoch(
                self._ctx.next_id(),
                witness,
                self.grant.id,
                self.grant.operation,
                self._workspace,
                self.grant.holder,
            ),
        )
        return self._sent_at_s + retry_s
