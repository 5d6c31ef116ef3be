"""Finds out what became of open permits."""

import itertools

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_row

# Bounds the size of one message; ids are about 40 bytes each.
_MAX_ATTEMPTS_PER_CHECK = 500


class PermitChecks:
    """Status checks, orphans and forgetting for one grant."""

    def __init__(
        self,
        ctx: node_context.NodeContext,
        held: held_grant.HeldGrant,
        *,
        inherited: bool,
    ) -> None:
        self._ctx = ctx
        self._held = held
        self._next_at_s = (
            ctx.now_s
            if inherited
            else ctx.now_s + ctx.timing.status_check_interval_s
        )
        # Open permits of a grant that was taken over: their entry routers
        # don't know the new holder yet.
        self._unconfirmed = (
            {r.attempt_id for r in _open_rows(held)} if inherited else set()
        )
        self._gone_since_s: dict[str, float] = {}
        self._billed_since_s: dict[str, float] = {}

    def pump(self) -> None:
        """Sends checks and settles orphans if it is time."""
        if self._held.frozen:
            return
        if self._ctx.now_s < self._next_at_s:
            self._ctx.wake(self._held.workspace, self._next_at_s)
            return
        rows = _open_rows(self._held)
        present = {r.attempt_id for r in rows}
        self._unconfirmed &= present
        interval_s = self._ctx.timing.status_check_interval_s
        if self._unconfirmed:
            interval_s = min(interval_s, self._ctx.timing.append_retry_s)
        self._next_at_s = self._ctx.now_s + interval_s
        self._ctx.wake(self._held.workspace, self._next_at_s)
        self._ask_entries(rows)
        self._settle_orphans(rows)
        self._forget_old()

    def on_statuses(
        self, sender: incarnation.Incarnation, msg: messages.StatusAnswer
    ) -> None:
        """Takes in an entry router's answer."""
        if self._held.frozen:
            return
        by_attempt = {
            r.attempt_id: r for r in _open_rows(self._held) if r.entry == sender
        }
        for status in msg.statuses:
            self._unconfirmed.discard(status.attempt_id)
            row = by_attempt.get(status.attempt_id)
            if row is None:
                continue
            if status.void:
                self._held.finish(row, 0, permit_lib.CostKind.REPORTED)
            elif status.settled:
                self._held.finish(row, status.cost, status.kind)

    def _ask_entries(self, rows: list[permit_row.PermitRow]) -> None:
        rows = sorted(rows, key=lambda r: r.entry)
        for entry, group in itertools.groupby(rows, key=lambda r: r.entry):
            if self._ctx.fleet.is_gone(entry):
                continue
            attempts = [r.attempt_id for r in group]
            for start in range(0, len(attempts), _MAX_ATTEMPTS_PER_CHECK):
                part = attempts[start : start + _MAX_ATTEMPTS_PER_CHECK]
                self._ctx.send(
                    entry,
                    messages.StatusCheck(
                        self._ctx.next_id(),
                        entry,
                        self._held.workspace,
                        self._held.id,
                        self._held.epoch,
                        tuple(part),
                    ),
                )

    def _settle_orphans(self, rows: list[permit_row.PermitRow]) -> None:
        now_s = self._ctx.now_s
        gone = {
            r.attempt_id: r for r in rows if self._ctx.fleet.is_lost(r.entry)
        }
        self._gone_since_s = {a: self._gone_since_s.get(a, now_s) for a in gone}
        window_s = self._ctx.timing.orphan_window_s
        for attempt_id, since_s in self._gone_since_s.items():
            self._unconfirmed.discard(attempt_id)
            if now_s >= since_s + window_s:
                row = gone[attempt_id]
                self._held.finish(row, row.hold, permit_lib.CostKind.ESTIMATED)
                self._ctx.emit(
                    "permit.orphan_billed",
                    request_id=row.request_id,
                    workspace=self._held.workspace,
                    grant_id=self._held.id,
                    cost=row.hold,
                )

    def _forget_old(self) -> None:
        now_s = self._ctx.now_s
        billed = {
            r.request_id: r
            for r in self._held.table.rows.values()
            if r.state is permit_row.RowState.BILLED
        }
        self._billed_since_s = {
            i: self._billed_since_s.get(i, now_s) for i in billed
        }
        kept_s = self._ctx.timing.dedup_retention_s
        for request_id, since_s in self._billed_since_s.items():
            if now_s >= since_s + kept_s:
                self._held.put(permit_row.removed(billed[request_id]))


def _open_rows(held: held_grant.HeldGrant) -> list[permit_row.PermitRow]:
    return [
        r
        for r in held.table.rows.values()
        if r.state is permit_row.RowState.OPEN
    ]
