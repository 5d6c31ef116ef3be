"""Checks the state of open permits with their entry routers."""

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
    """Checks open permits, bills orphans and removes old rows of a grant.

    A permit is orphaned if its entry router is gone or not in the membership
    view. It is billed with its full hold unless the caller retries in time.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        held: held_grant.HeldGrant,
        *,
        taken_over: bool,
    ) -> None:
        self._ctx = ctx
        self._held = held
        self._next_at_s = (
            ctx.now_s
            if taken_over
            else ctx.now_s + ctx.timing.status_check_interval_s
        )
        # Open permits of a grant that was taken over, as long as their entry
        # routers don't know the new holder.
        self._unconfirmed = (
            {r.attempt_id for r in _open_rows(held)} if taken_over else set()
        )
        self._orphaned_since_s: dict[str, float] = {}
        self._billed_since_s: dict[str, float] = {}

    def pump(self) -> None:
        """Sends status checks and bills orphans if they are due."""
        if self._held.frozen:
            return
        if self._ctx.now_s < self._next_at_s:
            self._ctx.wake(self._held.workspace, self._next_at_s)
            return
        rows = _open_rows(self._held)
        open_attempts = {r.attempt_id for r in rows}
        self._unconfirmed &= open_attempts
        interval_s = self._ctx.timing.status_check_interval_s
        if self._unconfirmed:
            interval_s = min(interval_s, self._ctx.timing.append_retry_s)
        self._next_at_s = self._ctx.now_s + interval_s
        self._ctx.wake(self._held.workspace, self._next_at_s)
        self._send_status_checks(rows)
        self._bill_orphans(rows)
        self._remove_expired_rows()

    def on_status_answer(
        self, sender: incarnation.Incarnation, msg: messages.StatusAnswer
    ) -> None:
        """Handles an entry router's answer to a status check."""
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

    def _send_status_checks(self, rows: list[permit_row.PermitRow]) -> None:
        rows = sorted(rows, key=lambda r: r.entry)
        for entry, group in itertools.groupby(rows, key=lambda r: r.entry):
            if self._ctx.fleet.is_gone(entry):
                continue
            attempts = [r.attempt_id for r in group]
            for start in range(0, len(attempts), _MAX_ATTEMPTS_PER_CHECK):
                chunk = attempts[start : start + _MAX_ATTEMPTS_PER_CHECK]
                self._ctx.send(
                    entry,
                    messages.StatusCheck(
                        self._ctx.next_id(),
                        entry,
                        self._held.workspace,
                        self._held.id,
                        self._held.epoch,
                        tuple(chunk),
                    ),
                )

    def _bill_orphans(self, rows: list[permit_row.PermitRow]) -> None:
        now_s = self._ctx.now_s
        orphans = {
            r.attempt_id: r for r in rows if self._ctx.fleet.is_lost(r.entry)
        }
        self._orphaned_since_s = {
            a: self._orphaned_since_s.get(a, now_s) for a in orphans
        }
        window_s = self._ctx.timing.orphan_window_s
        for attempt_id, since_s in self._orphaned_since_s.items():
            self._unconfirmed.discard(attempt_id)
            if now_s >= since_s + window_s:
                row = orphans[attempt_id]
                self._held.finish(row, row.hold, permit_lib.CostKind.ESTIMATED)
                self._ctx.emit(
                    "permit.orphan_billed",
                    request_id=row.request_id,
                    workspace=self._held.workspace,
                    grant_id=self._held.id,
                    cost=row.hold,
                )

    def _remove_expired_rows(self) -> None:
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
                self._held.update_row(permit_row.as_removed(billed[request_id]))


def _open_rows(held: held_grant.HeldGrant) -> list[permit_row.PermitRow]:
    return [
        r
        for r in held.table.rows.values()
        if r.state is permit_row.RowState.OPEN
    ]
