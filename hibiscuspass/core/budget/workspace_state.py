"""State that the parts of a workspace's holder share."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import handover_store
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger_client
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import pending_ask
from hibiscuspass.core.budget import takeover as takeover_lib


class WorkspaceState:
    """Holds grants, asks and the ledger of one workspace on one router.

    Attributes:
      ctx: The node's context.
      workspace: The workspace.
      ledger_client: Reads and writes the workspace's ledger.
      handovers: Stores permit tables for the next holder.
      grants: Held grants by id.
      takeovers: Takeovers in progress, by grant id.
      pending: Asks that can't be answered yet.
      pending_recalls: Token, sender and message of recalls. Each is answered
        once the ledger has been read after its token.
      keeps_reserve: Whether this router keeps a reserve grant.
      reserve_id: Id of the reserve grant that was drawn last.
      requested_amount: Amount that this router asks other holders, through the
        ledger, to return.
      requested_until_s: Time at which this return request is withdrawn.
    """

    def __init__(self, ctx: node_context.NodeContext, workspace: str) -> None:
        self.ctx = ctx
        self.workspace = workspace
        self.ledger_client = ledger_client.LedgerClient(ctx, workspace)
        self.handovers = handover_store.HandoverStore(ctx, workspace)
        self.grants: dict[str, held_grant.HeldGrant] = {}
        self.takeovers: dict[str, takeover_lib.Takeover] = {}
        self.pending: list[pending_ask.PendingAsk] = []
        self.pending_recalls: list[
            tuple[int, incarnation.Incarnation, messages.RecallBudget]
        ] = []
        self.keeps_reserve = False
        self.reserve_id = ""
        self.requested_amount = 0
        self.requested_until_s = 0.0

    @property
    def is_first(self) -> bool:
        """Whether this router is first in rendezvous order."""
        return self.ctx.fleet.rendezvous_order(self.workspace)[:1] == (
            self.ctx.own,
        )

    @property
    def is_replacing_witness(self) -> bool:
        """Whether the witness of a held grant is being replaced."""
        return any(g.proposal is not None for g in self.grants.values())

    @property
    def ledger_is_short(self) -> bool:
        """Whether less is free in the ledger than available in held grants."""
        led = self.ledger_client.ledger
        return led is not None and led.free < sum(
            g.available for g in self.grants.values()
        )

    @property
    def ledger_has_all_billing(self) -> bool:
        """Whether the ledger has the totals of all billing logs."""
        in_ledger = (
            {}
            if self.ledger_client.ledger is None
            else self.ledger_client.ledger.grants
        )
        return all(
            held.id not in in_ledger
            or in_ledger[held.id].batches >= held.billing.batches
            for held in self.grants.values()
        )

    def is_ledger_fresh_for(self, ask: pending_ask.PendingAsk) -> bool:
        """Whether the ledger copy is recent enough to refuse an ask."""
        return (
            self.ledger_client.read_at_s >= ask.min_read_at_s
            and self.ledger_client.read_token >= ask.min_read_token
        )

    def primary(self) -> held_grant.HeldGrant | None:
        """Returns the primary grant if it is held here."""
        led = self.ledger_client.ledger
        return None if led is None else self.grants.get(led.primary)

    def is_primary(self, held: held_grant.HeldGrant) -> bool:
        """Whether a held grant is the primary grant."""
        led = self.ledger_client.ledger
        return led is not None and led.primary == held.id

    def current_requested_amount(self) -> int:
        """Returns the requested amount; 0 once the request has expired."""
        if self.requested_amount and self.ctx.now_s >= self.requested_until_s:
            self.requested_amount = 0
        return self.requested_amount
