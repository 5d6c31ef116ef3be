"""Single changes that a holder makes to the ledger."""

from collections.abc import Iterable

from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import takeover as takeover_lib


def _or_same(
    led: ledger_lib.Ledger, new: ledger_lib.Ledger | refusal.Refusal
) -> ledger_lib.Ledger:
    return led if isinstance(new, refusal.Refusal) else new


def apply_takeovers(
    ctx: node_context.NodeContext,
    led: ledger_lib.Ledger,
    takeovers: Iterable[takeover_lib.Takeover],
    solo_limit: int,
) -> ledger_lib.Ledger:
    """Moves grants whose tables are installed to this router."""
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
            # Without a witness only a small amount may be at risk.
            table = t.committed_amount()
            g = new.grants[t.grant.id]
            new = _or_same(
                new,
                ledger_lib.set_amount(
                    new,
                    g.id,
                    g.operation,
                    min(g.amount, max(g.settled, table + solo_limit)),
                ),
            )
        led = new
    return led


def apply_held(
    led: ledger_lib.Ledger,
    held: held_grant.HeldGrant,
    give_back: int,
) -> ledger_lib.Ledger:
    """Closes, shrinks or moves one held grant."""
    if held.id not in led.grants or held.frozen:
        return led
    if held.ready_to_close:
        return _or_same(
            led,
            ledger_lib.close(led, held.id, held.operation, held.billing.logged),
        )
    target = max(held.confirmed_amount - give_back, led.grants[held.id].settled)
    if target < led.grants[held.id].amount:
        led = _or_same(
            led,
            ledger_lib.set_amount(led, held.id, held.operation, target),
        )
    if held.proposal is not None and held.proposal.installed:
        led = _or_same(
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


def record(
    led: ledger_lib.Ledger, held: held_grant.HeldGrant
) -> ledger_lib.Ledger:
    """Lets the ledger follow the billing log of a held grant."""
    return _or_same(
        led,
        ledger_lib.record_settlement(
            led,
            held.id,
            held.operation,
            held.billing.logged,
            held.billing.batches,
        ),
    )


def name_primary(
    led: ledger_lib.Ledger, held: held_grant.HeldGrant
) -> ledger_lib.Ledger:
    """Makes a held grant the primary one if there is none."""
    return _or_same(led, ledger_lib.name_primary(led, held.id, held.operation))


def enlarge(
    led: ledger_lib.Ledger, held: held_grant.HeldGrant, amount: int
) -> ledger_lib.Ledger:
    """Adds units to a held grant."""
    present = led.grants[held.id].amount
    return _or_same(
        led,
        ledger_lib.set_amount(led, held.id, held.operation, present + amount),
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
    """Draws a new grant."""
    return _or_same(
        led,
        ledger_lib.draw(
            led, grant_id, ctx.own, witness, amount, primary=primary
        ),
    )


def prune_wants(
    ctx: node_context.NodeContext, led: ledger_lib.Ledger, own_want: int
) -> ledger_lib.Ledger:
    """Sets this router's want and drops those of routers that are gone."""
    for key in list(led.wants):
        router = incarnation.parse(key)
        if router != ctx.own and ctx.fleet.is_gone(router):
            led = ledger_lib.want(led, router, 0)
    return ledger_lib.want(led, ctx.own, own_want)


def others_wants(
    ctx: node_context.NodeContext, led: ledger_lib.Ledger
) -> dict[incarnation.Incarnation, int]:
    """Returns the wants of other routers that may still be running."""
    wants = {incarnation.parse(k): v for k, v in led.wants.items()}
    return {
        r: v
        for r, v in wants.items()
        if r != ctx.own and not ctx.fleet.is_gone(r)
    }
