"""Changes that a holder plans for the ledger.

A change that the ledger refuses leaves it as it is.
"""

from collections.abc import Iterable

from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import takeover as takeover_lib


def _or_unchanged(
    led: ledger_lib.Ledger, new: ledger_lib.Ledger | refusal.Refusal
) -> ledger_lib.Ledger:
    return led if isinstance(new, refusal.Refusal) else new


def apply_takeovers(
    ctx: node_context.NodeContext,
    led: ledger_lib.Ledger,
    takeovers: Iterable[takeover_lib.Takeover],
    solo_limit: int,
) -> ledger_lib.Ledger:
    """Moves grants to this router whose takeovers are ready."""
    for t in takeovers:
        if not t.ready:
            continue
        assert t.proposal is not None
        new = ledger_lib.take_over(
            led,
            t.grant.id,
            t.proposal.from_operation,
            t.proposal.operation,
            ctx.own,
            t.proposal.witness,
        )
        if isinstance(new, refusal.Refusal):
            continue
        if t.proposal.witness is None:
            # Without a witness, a failure of this router may lose the records
            # of what it spends from now on; `solo_limit` bounds that amount.
            committed = t.committed_amount()
            g = new.grants[t.grant.id]
            new = _or_unchanged(
                new,
                ledger_lib.set_amount(
                    new,
                    g.id,
                    g.operation,
                    min(g.amount, max(g.settled, committed + solo_limit)),
                ),
            )
        led = new
    return led


def update_held_grant(
    led: ledger_lib.Ledger,
    held: held_grant.HeldGrant,
    return_amount: int,
) -> ledger_lib.Ledger:
    """Closes or shrinks a held grant, or changes its witness."""
    if held.id not in led.grants or held.frozen:
        return led
    if held.ready_to_close:
        return _or_unchanged(
            led,
            ledger_lib.close(led, held.id, held.operation, held.billing.logged),
        )
    target = max(
        held.confirmed_amount - return_amount, led.grants[held.id].settled
    )
    if target < led.grants[held.id].amount:
        led = _or_unchanged(
            led,
            ledger_lib.set_amount(led, held.id, held.operation, target),
        )
    if held.proposal is not None and held.proposal.installed:
        led = _or_unchanged(
            led,
            ledger_lib.change_witness(
                led,
                held.id,
                held.operation,
                held.proposal.operation,
                held.proposal.witness,
            ),
        )
    return led


def record_settlement(
    led: ledger_lib.Ledger, held: held_grant.HeldGrant
) -> ledger_lib.Ledger:
    """Copies the totals of a held grant's billing log to the ledger."""
    return _or_unchanged(
        led,
        ledger_lib.record_settlement(
            led,
            held.id,
            held.operation,
            held.billing.logged,
            held.billing.batches,
        ),
    )


def set_primary(
    led: ledger_lib.Ledger, held: held_grant.HeldGrant
) -> ledger_lib.Ledger:
    """Makes a held grant the primary grant if there is none."""
    return _or_unchanged(
        led, ledger_lib.set_primary(led, held.id, held.operation)
    )


def enlarge_grant(
    led: ledger_lib.Ledger, held: held_grant.HeldGrant, amount: int
) -> ledger_lib.Ledger:
    """Adds units to a held grant."""
    current = led.grants[held.id].amount
    return _or_unchanged(
        led,
        ledger_lib.set_amount(led, held.id, held.operation, current + amount),
    )


def open_grant(
    ctx: node_context.NodeContext,
    led: ledger_lib.Ledger,
    amount: int,
    witness: incarnation.Incarnation | None,
    grant_id: str,
    *,
    primary: bool,
) -> ledger_lib.Ledger:
    """Draws a new grant for this router."""
    return _or_unchanged(
        led,
        ledger_lib.draw(
            led, grant_id, ctx.own, witness, amount, primary=primary
        ),
    )


def update_return_requests(
    ctx: node_context.NodeContext, led: ledger_lib.Ledger, own_amount: int
) -> ledger_lib.Ledger:
    """Sets this router's return request; drops those of gone routers."""
    for key in list(led.wants):
        router = incarnation.parse(key)
        if router != ctx.own and ctx.fleet.is_gone(router):
            led = ledger_lib.request_return(led, router, 0)
    return ledger_lib.request_return(led, ctx.own, own_amount)


def return_requests_of_others(
    ctx: node_context.NodeContext, led: ledger_lib.Ledger
) -> dict[incarnation.Incarnation, int]:
    """Returns the requests of other routers that may still be running."""
    requested = {incarnation.parse(k): v for k, v in led.wants.items()}
    return {
        r: v
        for r, v in requested.items()
        if r != ctx.own and not ctx.fleet.is_gone(r)
    }
