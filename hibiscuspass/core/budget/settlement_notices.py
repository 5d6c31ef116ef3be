"""Notifies entry routers of settlements that are durable."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context


class SettlementNotices:
    """Collects notices, to send one message per entry router."""

    def __init__(self, ctx: node_context.NodeContext, grant_id: str) -> None:
        self._ctx = ctx
        self._grant_id = grant_id
        self._attempts: dict[incarnation.Incarnation, list[str]] = {}

    def add(self, entry: incarnation.Incarnation, attempt_id: str) -> None:
        """Queues the notice for an attempt."""
        self._attempts.setdefault(entry, []).append(attempt_id)

    def flush(self) -> None:
        """Sends the queued notices.

        A lost notice is resent when the entry router repeats its settlement.
        """
        for entry, attempt_ids in self._attempts.items():
            self._ctx.send(
                entry,
                messages.SettlementsDurable(
                    self._ctx.next_id(),
                    entry,
                    self._grant_id,
                    tuple(attempt_ids),
                ),
            )
        self._attempts.clear()
