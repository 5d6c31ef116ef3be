"""Keeps the held grants of one workspace in line with the ledger."""

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


class GrantKeeper:
    """Adopts, follows, takes over and drops grants.

    Attributes:
      requeue: Takes asks that a dropped grant has not answered.
    """

    grant_type: type[held_grant.HeldGrant] = held_grant.HeldGrant

    def __init__(self, state: workspace_state.WorkspaceState) -> None:
        self._state = state
        self._ctx = state.ctx
        self._checks: dict[str, permit_checks.PermitChecks] = {}
        self.requeue: _Requeue = lambda sender, msg: None

    def on_statuses(
        self, sender: incarnation.Incarnation, msg: messages.StatusAnswer
    ) -> None:
        """Takes in an entry router's answer to a status check."""
        checks = self._checks.get(msg.grant_id)
        if checks is not None:
            checks.on_statuses(sender, msg)

    def start_takeover(
        self,
        grant: grant_lib.Grant,
        table: permit_table.TableSnapshot | None = None,
    ) -> None:
        """Begins to take a grant over from its holder."""
        known = self._state.takeovers.get(grant.id)
        if known is not None and (
            known.grant.operation == grant.operation and not known.failed
        ):
            return
        if known is not None and known.proposal and known.proposal.may_apply:
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

    def is_unrecoverable(self, t: takeover_lib.Takeover) -> bool:
        """Whether neither the witness nor the store has the table."""
        return t.failed and t.asked_store and not self._state.handovers.busy

    def on_fetched(self, result: kv_store.ReadResult | refusal.Refusal) -> None:
        """Takes a grant over with the table that its last holder stored."""
        fetched = self._state.handovers.on_read(result)
        if fetched is not None:
            self.start_takeover(*fetched)

    def pump(self) -> None:
        """Does what is due for grants and takeovers."""
        for held in list(self._state.grants.values()):
            self._checks[held.id].pump()
            self._retire_idle(held)
            self._seek_witness(held)
            held.pump()
        self._pump_takeovers()

    def absorb(self) -> None:
        """Follows a ledger that was read back or certainly written."""
        led = self._state.ledger_client.ledger
        present = {} if led is None else led.grants
        for held in list(self._state.grants.values()):
            self._follow(held, present.get(held.id))
        for g in present.values():
            if g.holder == self._ctx.own and g.id not in self._state.grants:
                self._adopt(g)
            elif self._ctx.fleet.is_gone(g.holder):
                # The witness may not know yet that it is the witness.
                self.start_takeover(g)
        for t in list(self._state.takeovers.values()):
            g_or_none = present.get(t.grant.id)
            if g_or_none is None or g_or_none.operation != t.grant.operation:
                del self._state.takeovers[t.grant.id]
            elif (
                t.proposal is not None
                and not self._state.ledger_client.write_outcome_unknown
            ):
                t.proposal.may_apply = False

    def expect(self, planned: ledger_lib.Ledger) -> None:
        """Prepares for a write whose outcome may stay open."""
        for held in self._state.grants.values():
            g = planned.grants.get(held.id)
            amount = 0 if g is None else g.amount
            if amount < held.usable:
                held.ceiling = amount
            if held.proposal is not None and (
                g is not None and g.operation == held.proposal.operation
            ):
                held.proposal.may_apply = True
        for t in self._state.takeovers.values():
            g = planned.grants.get(t.grant.id)
            if t.proposal is not None and (
                g is not None and g.operation == t.proposal.operation
            ):
                t.proposal.may_apply = True

    def states(self) -> tuple[messages.GrantState, ...]:
        """Returns the live state of all held grants."""
        return tuple(
            messages.GrantState(
                g.id,
                g.operation,
                self._ctx.own,
                g.amount,
                g.table.settled - g.claims.cost,
                g.table.held + g.claims.cost,
                g.table.open_count,
                0,
                live=True,
            )
            for g in self._state.grants.values()
        )

    def freeze_for_handover(self) -> list[held_grant.HeldGrant]:
        """Returns the grants that can't be closed; they are frozen now."""
        chosen = [
            g
            for g in self._state.grants.values()
            if self._state.is_primary(g) or g.table.open_count
        ]
        for g in chosen:
            g.frozen = True
        return chosen

    def _follow(
        self, held: held_grant.HeldGrant, g: grant_lib.Grant | None
    ) -> None:
        if g is None or g.holder != self._ctx.own:
            self._drop(held)
            return
        if held.proposal and g.operation == held.proposal.operation:
            held.activate(g)
        elif g.operation != held.operation:
            self._drop(held)
            return
        if not self._state.ledger_client.write_outcome_unknown:
            held.amount = g.amount
            held.ceiling = None
            if held.proposal is not None:
                held.proposal.may_apply = False

    def _adopt(self, g: grant_lib.Grant) -> None:
        t = self._state.takeovers.pop(g.id, None)
        if (
            t is not None
            and t.proposal is not None
            and (t.proposal.operation == g.operation)
        ):
            held = self.grant_type(
                self._ctx, self._state.workspace, g, t.proposal.table
            )
            held.closing = not self._state.is_primary(held)
            old = t.grant
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
            # Drawn by this incarnation and never used.
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
            self._ctx, held, inherited=g.operation != g.id
        )

    def _drop(self, held: held_grant.HeldGrant) -> None:
        del self._state.grants[held.id]
        del self._checks[held.id]
        self._forget_table(held)
        self._ctx.emit(
            "grant.dropped", workspace=self._state.workspace, grant_id=held.id
        )
        for sender, msg in held.waiters.all():
            self.requeue(sender, msg)

    def _forget_table(self, held: held_grant.HeldGrant) -> None:
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

    def _retire_idle(self, held: held_grant.HeldGrant) -> None:
        kept = held.is_reserve and not self._ctx.draining
        if held.closing or kept or self._state.is_primary(held):
            return
        if (
            self._state.ledger_client.busy
            or self._state.ledger_client.write_outcome_unknown
        ):
            # A write may be about to make it the primary grant.
            return
        idle_at_s = held.used_at_s + self._ctx.timing.idle_timeout_s
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

    def _seek_witness(self, held: held_grant.HeldGrant) -> None:
        """Turns a solo grant into a witnessed one when that is possible."""
        if held.witness is not None or held.closing or held.is_reserve:
            return
        if not self._state.ledger_client.failing:
            held.propose()
        elif held.proposal is not None and not held.proposal.may_apply:
            # No permit is issued during a proposal, and without the ledger it
            # can't succeed.
            held.cancel_proposal()

    def _pump_takeovers(self) -> None:
        for t in list(self._state.takeovers.values()):
            t.pump()
            if t.failed and not t.asked_store:
                t.asked_store = True
                self._state.handovers.fetch(t.grant)
            if t.failed and self._ctx.now_s >= t.retry_at_s:
                del self._state.takeovers[t.grant.id]
