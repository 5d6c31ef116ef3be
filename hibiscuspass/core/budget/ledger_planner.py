"""Plans the next value of a workspace's ledger for one holder."""

from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_edits
from hibiscuspass.core.budget import pending_ask
from hibiscuspass.core.budget import workspace_state
from hibiscuspass.core.configuration import workspace as workspace_lib


class LedgerPlanner:
    """Combines all due changes of a holder into one ledger write."""

    def __init__(self, state: workspace_state.WorkspaceState) -> None:
        self._state = state
        self._ctx = state.ctx
        self._record_due_s = 0.0

    def plan(self, led: ledger_lib.Ledger) -> ledger_lib.Ledger:
        """Returns the next ledger; an equal one if nothing is due."""
        policy = self._ctx.policy(self._state.workspace)
        solo_limit = policy.solo_grant_limit if policy else 0
        new = ledger_edits.apply_takeovers(
            self._ctx, led, self._state.takeovers.values(), solo_limit
        )
        # A draining router copies all billing totals before it stops.
        totals_due = self._ctx.draining or self._ctx.now_s >= self._record_due_s
        deficit = self._deficit(new)
        for held in sorted(
            self._state.grants.values(), key=lambda g: g.is_reserve
        ):
            own = self._own_deficit(new) if held.is_reserve else 0
            to_return = self._amount_to_return(held, deficit + own)
            deficit = max(0, deficit - to_return)
            new = ledger_edits.update_held_grant(new, held, to_return)
        new = self._draw(new, policy)
        if totals_due:
            for held in self._state.grants.values():
                new = ledger_edits.record_settlement(new, held)
        if new == led and not self._own_request_changes(led):
            if totals_due:
                self._record_due_s = (
                    self._ctx.now_s + self._ctx.timing.record_interval_s
                )
            return led
        # The ledger is written anyway, so the billing totals are included.
        for held in self._state.grants.values():
            new = ledger_edits.record_settlement(new, held)
        return ledger_edits.update_return_requests(
            self._ctx, new, self._state.current_requested_amount()
        )

    def _own_request_changes(self, led: ledger_lib.Ledger) -> bool:
        return (
            led.wants.get(str(self._ctx.own), 0)
            != self._state.current_requested_amount()
        )

    def _deficit(self, led: ledger_lib.Ledger) -> int:
        """Returns what other routers request beyond the free amount."""
        requested = ledger_edits.return_requests_of_others(self._ctx, led)
        for _, sender, msg in self._state.pending_recalls:
            requested[sender] = max(requested.get(sender, 0), msg.amount)
        if not requested:
            return 0
        if self._state.pending and min(requested) > self._ctx.own:
            # Both routers lack budget. The order of their names decides which
            # one returns, so that the remaining budget ends up at one router.
            return 0
        return max(0, sum(requested.values()) - led.free)

    def _own_deficit(self, led: ledger_lib.Ledger) -> int:
        """Returns what the smallest ask lacks that a recall did not serve.

        The reserve is returned to cover this amount, so the amount available in
        it is not counted.
        """
        needs = [
            a.msg.worst_case
            for a in self._state.pending
            if a.stage is pending_ask.AskStage.RECALLED
        ]
        if not needs:
            return 0
        target = self._grant_to_enlarge(led)
        available = 0 if target is None else target.available
        return max(0, min(needs) - available - led.free)

    def _amount_to_return(
        self, held: held_grant.HeldGrant, deficit: int
    ) -> int:
        if held.closing:
            # A grant without open permits is closed as a whole.
            return held.returnable if held.table.open_count else 0
        if deficit <= 0:
            return 0
        # Returning half of the available amount makes another recall less
        # likely.
        half = 0 if held.is_reserve else held.available // 2
        return min(held.returnable, max(deficit, half))

    def _draw(
        self,
        led: ledger_lib.Ledger,
        policy: workspace_lib.Workspace | None,
    ) -> ledger_lib.Ledger:
        """Draws the reserve if needed, and budget for the pending asks.

        Only the primary grant serves keyed asks. They are therefore not counted
        while another router holds it.
        """
        if policy is None or self._ctx.draining:
            return led
        led = self._draw_reserve(led, policy)
        holds_primary = led.primary in self._state.grants
        needs = [
            a.msg.worst_case
            for a in self._state.pending
            if not a.msg.keyed or holds_primary or not led.primary
        ]
        if not needs:
            return led
        target = self._grant_to_enlarge(led)
        available = 0 if target is None else target.available
        free = led.free
        if (
            target is not None
            and not led.primary
            and (any(a.msg.keyed for a in self._state.pending))
        ):
            led = ledger_edits.set_primary(led, target)
        if free < max(1, min(needs) - available) or sum(needs) <= available:
            return led
        share = int(free * policy.grant_fraction)
        if ledger_edits.return_requests_of_others(self._ctx, led):
            share = 0
        amount = min(free, max(sum(needs) - available, share))
        if target is not None:
            return ledger_edits.enlarge_grant(led, target, amount)
        return self._open_grant(led, policy, amount, min(needs))

    def _grant_to_enlarge(
        self, led: ledger_lib.Ledger
    ) -> held_grant.HeldGrant | None:
        usable = [
            g
            for g in self._state.grants.values()
            if g.can_issue and not g.is_reserve
        ]
        return max(usable, key=lambda g: g.id == led.primary, default=None)

    def _open_grant(
        self,
        led: ledger_lib.Ledger,
        policy: workspace_lib.Workspace,
        amount: int,
        min_amount: int,
    ) -> ledger_lib.Ledger:
        if self._state.is_replacing_witness:
            return led
        grant_id = self._ctx.unique_name("g")
        witness = self._ctx.choose_witness(grant_id)
        if witness is None:
            solo = sum(
                g.amount
                for g in led.grants.values()
                if g.witness is None and g.holder == self._ctx.own
            )
            amount = min(amount, policy.solo_grant_limit - solo)
            if amount < min_amount:
                return led
        keyed = any(a.msg.keyed for a in self._state.pending)
        first = self._state.is_first
        return ledger_edits.open_grant(
            self._ctx,
            led,
            amount,
            witness,
            grant_id,
            primary=not led.primary and (keyed or first),
        )

    def _draw_reserve(
        self, led: ledger_lib.Ledger, policy: workspace_lib.Workspace
    ) -> ledger_lib.Ledger:
        reserve = policy.reserve_per_failure_domain
        if not (self._state.keeps_reserve and reserve):
            return led
        if (
            self._state.reserve_id in led.grants
            or self._state.reserve_id in self._state.grants
        ):
            return led
        if not self._ctx.fleet.is_first_in_domain(self._state.workspace):
            return led
        if led.free < 2 * reserve:
            return led
        self._state.reserve_id = self._ctx.unique_name("g")
        # The reserve serves a failure domain that is cut off from the others,
        # so its witness must be in the same failure domain.
        witness = self._ctx.choose_witness(
            self._state.reserve_id, same_domain=True
        )
        if self._ctx.fleet.is_alone_in_domain:
            witness = None if reserve <= policy.solo_grant_limit else witness
        elif witness is None:
            return led
        return ledger_edits.open_grant(
            self._ctx,
            led,
            reserve,
            witness,
            self._state.reserve_id,
            primary=False,
        )
