"""Takes a grant over from a holder that has failed or hands it over."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import proposal as proposal_lib
from hibiscuspass.core.budget import witness_messages


class Takeover:
    """Seals the epoch, then proposes the next one.

    Attributes:
      grant: The grant as the ledger had it.
      proposal: The change, once the table is known.
      failed: Whether the table can't be had, so the grant is in doubt.
      asked_store: Whether the stored table of a stopped fleet was asked for.
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
        self.asked_store = False
        self.retry_at_s = ctx.now_s + ctx.timing.takeover_delay_s
        if table is not None:
            self.on_table(table)

    @property
    def ready(self) -> bool:
        """Whether the change may be written."""
        return self.proposal is not None and (
            self.proposal.installed or self.proposal.witness is None
        )

    def table_totals(self) -> int:
        """Returns the spend and the open holds in the table."""
        assert self.proposal is not None
        table = permit_table.PermitTable(self.proposal.table)
        return table.settled + table.held

    def pump(self) -> None:
        """Sends what is due."""
        if self.failed:
            self._ctx.wake(self._workspace, self.retry_at_s)
            return
        at_s = self._seal() if self.proposal is None else self.proposal.pump()
        if at_s is not None:
            self._ctx.wake(self._workspace, at_s)

    def on_table(self, table: permit_table.TableSnapshot) -> None:
        """Takes in the table of the sealed epoch."""
        if self.proposal is None:
            self.proposal = proposal_lib.Proposal(
                self._ctx,
                self._workspace,
                self.grant.id,
                self.grant.operation,
                self.grant.epoch + 1,
                table,
            )

    def on_sealed(
        self, sender: incarnation.Incarnation, msg: witness_messages.EpochSealed
    ) -> None:
        """Takes in the witness's answer."""
        if sender != self.grant.witness:
            return
        if msg.operation != self.grant.operation:
            return
        if msg.table is None:
            self.failed = True
        else:
            self.on_table(msg.table)

    def _seal(self) -> float | None:
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
