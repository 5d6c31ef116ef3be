"""Returns and hands over everything before a planned stop."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import workspace_holder

WAKE_KEY = "\0drain"


class Drainer:
    """Hands over grants with open permits and the primary grants.

    Other grants are closed by their holder object. A frozen grant stays frozen:
    its table has been given away, so this router must not issue from it again.
    """

    def __init__(self, ctx: node_context.NodeContext) -> None:
        self._ctx = ctx
        self._turn = 0
        self._next_at_s = float("-inf")
        self._done = False

    def pump(
        self,
        holders: dict[str, workspace_holder.WorkspaceHolder],
        *,
        other_roles_done: bool,
    ) -> None:
        """Sends what is due; emits `Drained` once at the end."""
        if not self._ctx.draining or self._done:
            return
        if self._ctx.now_s >= self._next_at_s:
            self._next_at_s = self._ctx.now_s + self._ctx.timing.append_retry_s
            self._turn += 1
            for holder in holders.values():
                if self._must_record_first(holder):
                    continue
                for held in holder.keeper.freeze_for_handover():
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
        """Whether a frozen grant would keep the ledger behind its log."""
        return (
            self._turn <= self._ctx.timing.append_tries
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
        # The next one is tried after some unanswered messages.
        tries = self._ctx.timing.append_tries
        return order[(self._turn // tries) % len(order)]
