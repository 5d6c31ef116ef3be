"""Reconciles the held grants of one workspace with the ledger."""

from collections.abc import Callable

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit_checks
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import takeover as takeover_lib
from hibiscuspass.core.budget import witness_messages
from hibiscuspass.core.budget import workspace_state

_Requeue = Callable[[incarnation.Incarnation, messages.Ask], None]


class GrantReconciler:
    """Adopts, updates, takes over and drops grants as the ledger demands.

    Attributes:
      requeue: Called with each ask that a dropped grant has not answered.
    """

    grant_type: type[held_grant.HeldGrant] = held_grant.HeldGrant

    def __init__(self, state: workspace_state.WorkspaceState) -> None:
        self._state = state
        self._ctx = state.ctx
        self._checks: dict[str, permit_checks.PermitChecks] = {}
        self.requeue: _Requeue = lambda sender, msg: None

    def on_status_answer(
        self, sender: incarnation.Incarnation, msg: messages.StatusAnswer
    ) -> None:
        """Handles an entry router's answer to a status check."""
        checks = self._checks.get(msg.grant_id)
        if checks is not None:
            checks.on_status_answer(sender, msg)

    def start_takeover(
        self,
        grant: grant_lib.Grant,
        table: permit_table.TableSnapshot | None = None,
    ) -> None:
        """Starts to take a grant over from its holder.

        Args:
          grant: Grant as the ledger contains it.
          table: Permit table of the grant; None if the witness must be asked
            for it.
        """
        existing = self._state.takeovers.get(grant.id)
        if existing is not None and (
            existing.grant.operation == grant.operation and not existing.failed
        ):
            return
        if (
            existing is not None
            and existing.proposal
            and existing.proposal.may_apply
        ):
            return
        if self._ctx.draining or grant.holder == self._ctx.own:
            return
        self._state.takeovers[grant.id] = takeover_lib.Takeover(
            self._ctx, self._state.workspace, grant, table
        )
        self._ctx.emit(
            "takeover.started",
            workspace=self._state.workspace,
            grant_id=grant.id,
        )

    def is_unrecoverable(self, takeover: takeover_lib.Takeover) -> bool:
        """Whether neither the witness nor the store has the table."""
        return (
            takeover.failed
            and takeover.store_queried
            and not self._state.handovers.busy
        )

    def on_table_fetched(
        self, result: kv_store.ReadResult | refusal.Refusal
    ) -> None:
        """Starts a takeover with the table that the last holder stored."""
        fetched = self._state.handovers.on_read(result)
        if fetched is not None:
            self.start_takeover(*fetched)

    def pump(self) -> None:
        """Performs the due actions of all grants and takeovers."""
        for held in list(self._state.grants.values()):
            self._checks[held.id].pump()
            self._close_if_idle(held)
            self._request_witness(held)
            held.pump()
        self._pump_takeovers()

    def apply_ledger(self) -> None:
        """Updates local state from a ledger that is certainly stored."""
        ledger = self._state.ledger_client.ledger
        open_grants = {} if ledger is None else ledger.grants
        for held in list(self._state.grants.values()):
            self._update_held(held, open_grants.get(held.id))
        for g in open_grants.values():
            if g.holder == self._ctx.own and g.id not in self._state.grants:
                self._adopt(g)
            elif self._ctx.fleet.is_gone(g.holder):
                # The witness may not know yet that it is the witness, so it may
                # not take the grant over itself.
                self.start_takeover(g)
        for takeover in list(self._state.takeovers.values()):
            current = open_grants.get(takeover.grant.id)
            if current is None or current.operation != takeover.grant.operation:
                del self._state.takeovers[takeover.grant.id]
            elif (
                takeover.proposal is not None
                and not self._state.ledger_client.write_outcome_unknown
            ):
                takeover.proposal.may_apply = False

    def prepare_write(self, planned: ledger_lib.Ledger) -> None:
        """Prepares local state for a write whose outcome may stay unknown."""
        for held in self._state.grants.values():
            g = planned.grants.get(held.id)
            amount = 0 if g is None else g.amount
            if amount < held.confirmed_amount:
                held.pending_amount = amount
            if held.proposal is not None and (
                g is not None and g.operation == held.proposal.operation
            ):
                held.proposal.may_apply = True
        for takeover in self._state.takeovers.values():
            g = planned.grants.get(takeover.grant.id)
            if takeover.proposal is not None and (
                g is not None and g.operation == takeover.proposal.operation
            ):
                takeover.proposal.may_apply = True

    def grant_states(self) -> tuple[messages.GrantState, ...]:
        """Returns the current state of all held grants, for a report."""
        return tuple(
            messages.GrantState(
                g.id,
                g.operation,
                self._ctx.own,
                g.amount,
                g.table.settled - g.claims.unresolved_cost,
                g.table.held + g.claims.unresolved_cost,
                g.table.open_count,
                0,
                live=True,
            )
            for g in self._state.grants.values()
        )

    def freeze_for_handover(self) -> list[held_grant.HeldGrant]:
        """Freezes and returns the grants that must be handed over.

        These are the primary grant and the grants with open permits.
        """
        chosen = [
            g
            for g in self._state.grants.values()
            if self._state.is_primary(g) or g.table.open_count
        ]
        for g in chosen:
            g.frozen = True
        return chosen

    def _update_held(
        self, held: held_grant.HeldGrant, g: grant_lib.Grant | None
    ) -> None:
        if g is None or g.holder != self._ctx.own:
            self._drop(held)
            return
        if held.proposal and g.operation == held.proposal.operation:
            held.activate_proposal(g)
        elif g.operation != held.operation:
            self._drop(held)
            return
        if not self._state.ledger_client.write_outcome_unknown:
            held.amount = g.amount
            held.pending_amount = None
            if held.proposal is not None:
                held.proposal.may_apply = False

    def _adopt(self, g: grant_lib.Grant) -> None:
        takeover = self._state.takeovers.pop(g.id, None)
        if (
            takeover is not None
            and takeover.proposal is not None
            and (takeover.proposal.operation == g.operation)
        ):
            held = self.grant_type(
                self._ctx, self._state.workspace, g, takeover.proposal.table
            )
            held.closing = not self._state.is_primary(held)
            old = takeover.grant
            if old.witness is not None:
                self._ctx.send(
                    old.witness,
                    witness_messages.ForgetTable(
                        self._ctx.next_id(), old.witness, g.id, old.operation
                    ),
                )
            self._ctx.emit(
                "takeover.done", workspace=self._state.workspace, grant_id=g.id
            )
        elif g.operation == g.id:
            # Drawn by this incarnation and not used yet.
            held = self.grant_type(self._ctx, self._state.workspace, g)
            held.is_reserve = g.id == self._state.reserve_id
        else:
            self._ctx.emit(
                "grant.unaccounted",
                workspace=self._state.workspace,
                grant_id=g.id,
            )
            return
        self._state.grants[g.id] = held
        self._checks[g.id] = permit_checks.PermitChecks(
            self._ctx, held, taken_over=g.operation != g.id
        )

    def _drop(self, held: held_grant.HeldGrant) -> None:
        del self._state.grants[held.id]
        del self._checks[held.id]
        self._send_forget(held)
        self._ctx.emit(
            "grant.dropped", workspace=self._state.workspace, grant_id=held.id
        )
        for sender, msg in held.waiters.all():
            self.requeue(sender, msg)

    def _send_forget(self, held: held_grant.HeldGrant) -> None:
        if held.witness is not None:
            self._ctx.send(
                held.witness,
                witness_messages.ForgetTable(
                    self._ctx.next_id(),
                    held.witness,
                    held.id,
                    held.operation,
                ),
            )

    def _close_if_idle(self, held: held_grant.HeldGrant) -> None:
        is_kept = held.is_reserve and not self._ctx.draining
        if held.closing or is_kept or self._state.is_primary(held):
            return
        if (
            self._state.ledger_client.busy
            or self._state.ledger_client.write_outcome_unknown
        ):
            # The write may make it the primary grant.
            return
        idle_at_s = held.last_used_at_s + self._ctx.timing.idle_timeout_s
        first = self._state.is_first
        if self._ctx.draining or (
            self._ctx.now_s >= idle_at_s
            and held.table.open_count == 0
            and not first
        ):
            held.closing = True
        elif not first:
            self._ctx.wake(
                self._state.workspace,
                max(
                    idle_at_s,
                    self._ctx.now_s + self._ctx.timing.status_check_interval_s,
                ),
            )

    def _request_witness(self, held: held_grant.HeldGrant) -> None:
        """Proposes a witness for a solo grant if one is available."""
        if held.witness is not None or held.closing or held.is_reserve:
            return
        if not self._state.ledger_client.failing:
            held.propose_witness()
        elif held.proposal is not None and not held.proposal.may_apply:
            # A proposal can't succeed without the ledger, and it keeps the
            # grant from issuing permits.
            held.cancel_proposal()

    def _pump_takeovers(self) -> None:
        for takeover in list(self._state.takeovers.values()):
            takeover.pump()
            if takeover.failed and not takeover.store_queried:
                takeover.store_queried = True
                self._state.handovers.fetch(takeover.grant)
            if takeover.failed and self._ctx.now_s >= takeover.retry_at_s:
                del self._state.takeovers[takeover.grant.id]
