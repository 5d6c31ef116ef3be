"""Hands over the grants of a router before a planned stop."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import workspace_holder

WAKE_KEY = "\0drain"


class Drainer:
    """Hands over the primary grants and the grants with open permits.

    Other grants are closed by their `WorkspaceHolder`. A frozen grant stays
    frozen: its table has been sent away, so this router must not issue permits
    from it again.
    """

    def __init__(self, ctx: node_context.NodeContext) -> None:
        self._ctx = ctx
        self._round = 0
        self._next_at_s = float("-inf")
        self._done = False

    def pump(
        self,
        holders: dict[str, workspace_holder.WorkspaceHolder],
        *,
        other_roles_done: bool,
    ) -> None:
        """Sends due handovers; adds one `Drained` action when all are done.

        Args:
          holders: Holders by workspace.
          other_roles_done: Whether the other roles of this router are ready to
            stop.
        """
        if not self._ctx.draining or self._done:
            return
        if self._ctx.now_s >= self._next_at_s:
            self._next_at_s = self._ctx.now_s + self._ctx.timing.append_retry_s
            self._round += 1
            for holder in holders.values():
                if self._must_record_first(holder):
                    continue
                for held in holder.reconciler.freeze_for_handover():
                    self._hand_over(holder, held)
        self._ctx.wake(WAKE_KEY, self._next_at_s)
        if other_roles_done and not any(
            h.state.grants.keys() - h.state.handovers.stored
            for h in holders.values()
        ):
            self._done = True
            self._ctx.out.append(actions.Drained())

    def _must_record_first(
        self, holder: workspace_holder.WorkspaceHolder
    ) -> bool:
        """Whether to wait until the ledger has recorded the billing logs.

        A grant that is frozen earlier would leave the ledger behind its billing
        log. The wait is limited to some rounds.
        """
        return (
            self._round <= self._ctx.timing.append_tries
            and not holder.state.ledger_has_all_billing
        )

    def _hand_over(
        self,
        holder: workspace_holder.WorkspaceHolder,
        held: held_grant.HeldGrant,
    ) -> None:
        to = self._successor(held.workspace)
        if to is None:
            holder.state.handovers.save(held)
            return
        self._ctx.send(
            to,
            messages.HandOver(
                self._ctx.next_id(),
                to,
                held.workspace,
                held.id,
                held.operation,
                held.table.snapshot(),
            ),
        )

    def _successor(self, workspace: str) -> incarnation.Incarnation | None:
        order = [
            r
            for r in self._ctx.fleet.rendezvous_order(workspace)
            if r != self._ctx.own
        ]
        if not order:
            return None
        # The next router is tried after some unanswered messages.
        tries = self._ctx.timing.append_tries
        return order[(self._round // tries) % len(order)]
