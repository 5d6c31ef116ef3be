"""Tests that a holder acts on a row only after the witness acknowledged it.

A router that takes the grant over starts from the witness's table, so the
holder must not issue, bill or return anything that this table doesn't cover.
"""

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import timing
from hibiscuspass.core.budget import witness_messages
from hibiscuspass.core.membership import fleet_view

_H, _W, _E = (incarnation.Incarnation(n, "1") for n in ("h", "w", "e"))
_ASK = messages.Ask(7, _H, "r", "a", "w", 40, False, "m")
_SETTLE = messages.SettlePermit(
    8, _H, "w", "g", "r", "a", 10, permit_lib.CostKind.REPORTED
)


def _held(witness):
    ctx = node_context.NodeContext(_H, timing.BudgetTiming(), lambda _: None)
    live = fleet_view.MemberState.LIVE
    ctx.fleet.update(
        fleet_view.FleetView(
            tuple(
                fleet_view.RouterMember(r, r.name, r.name, "x", live)
                for r in (_H, _W, _E)
            )
        )
    )
    grant = grant_lib.Grant("g", _H, witness, 1, 100, operation="g")
    return ctx, held_grant.HeldGrant(ctx, "w", grant)


def _acknowledge(ctx, held):
    held.pump()
    appends = [
        a.msg for a in ctx.out if isinstance(a.msg, witness_messages.AppendRows)
    ]
    ctx.out.clear()
    held.on_rows_appended(
        _W,
        witness_messages.RowsAppended(
            1, "g", "g", "w", appends[-1].sequence, False
        ),
    )


def _granted(ctx):
    return [a.msg for a in ctx.out if isinstance(a.msg, messages.PermitGranted)]


def test_permit_is_handed_out_after_the_acknowledgement():
    """Guards against a permit in use that a takeover doesn't know.

    It comes about if the holder answers the ask before the append is
    acknowledged.
    """
    ctx, held = _held(_W)
    held.open(_E, _ASK)
    held.pump()
    assert not _granted(ctx)
    _acknowledge(ctx, held)
    assert [m.attempt_id for m in _granted(ctx)] == ["a"]


def test_settlement_is_billed_and_returned_after_the_acknowledgement():
    """Guards against billing twice and returning held units twice.

    After a takeover the witness's table still has an unacknowledged settlement
    as an open permit.
    """
    ctx, held = _held(_W)
    held.open(_E, _ASK)
    _acknowledge(ctx, held)
    assert held.returnable == 60
    held.settle(_E, _SETTLE)
    assert not held.billing.pending
    assert held.returnable == 0
    _acknowledge(ctx, held)
    assert held.billing.pending["r"].cost == 10
    assert held.returnable == 90


@pytest.mark.parametrize("cancelled", [True, False])
def test_solo_grant_does_not_bill_past_a_proposed_witness(cancelled):
    """Guards against billing a settlement that the proposed witness lacks.

    The proposal contains the table from before the settlement. If it is
    cancelled, the settlement must be billed after all.
    """
    _, held = _held(None)
    held.open(_E, _ASK)
    held.propose_witness()
    assert held.proposal is not None
    held.settle(_E, _SETTLE)
    assert not held.billing.pending
    assert held.returnable == 0
    if cancelled:
        held.cancel_proposal()
        assert held.billing.pending["r"].cost == 10


def test_unused_retry_leaves_the_permit_of_a_lost_router_open():
    """Guards against a request that ran and is never billed.

    A retry takes over the permit of an entry router that is gone and doesn't
    use it. The first attempt may have run, so its permit must become orphaned
    again instead of being released.
    """
    _, held = _held(None)
    held.open(_E, _ASK)
    retry = messages.Ask(9, _H, "r", "b", "w", 40, False, "m")
    held.reassign(held.table.rows["r"], _W, retry)
    assert held.table.rows["r"].attempt_id == "b"
    held.finish(held.table.rows["r"], 0, permit_lib.CostKind.REPORTED)
    row = held.table.rows["r"]
    assert (row.entry, row.attempt_id) == (_E, "a")
    assert row.state is permit_row.RowState.OPEN
