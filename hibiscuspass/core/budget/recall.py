"""Asks other holders to return their unused budget."""

from collections.abc import Iterable

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context


class Recall:
    """One round of recall messages to other holders.

    Attributes:
      unanswered: Holders that have not answered yet.
      ends_at_s: Time at which the round ends in any case.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        workspace: str,
        holders: Iterable[incarnation.Incarnation],
        amount: int,
    ) -> None:
        self._ctx = ctx
        self.unanswered = set(holders)
        self.ends_at_s = ctx.now_s + ctx.timing.recall_wait_s
        for holder in sorted(self.unanswered):
            ctx.send(
                holder,
                messages.RecallBudget(ctx.next_id(), holder, workspace, amount),
            )
        ctx.wake(workspace, self.ends_at_s)

    @property
    def is_complete(self) -> bool:
        """Whether all holders have answered or the round has timed out."""
        return not self.unanswered or self._ctx.now_s >= self.ends_at_s
