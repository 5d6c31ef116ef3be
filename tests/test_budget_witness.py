"""Tests that a witness refuses holders and messages of earlier epochs."""

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import timing
from hibiscuspass.core.budget import witness
from hibiscuspass.core.budget import witness_messages
from hibiscuspass.core.membership import fleet_view

_W, _OLD, _NEW = (incarnation.Incarnation(n, "1") for n in ("w", "old", "new"))
_ROW = permit_row.PermitRow("r", "a", _OLD, 5, False, "m")


@pytest.fixture
def role():
    ctx = node_context.NodeContext(_W, timing.BudgetTiming(), lambda _: None)
    new = witness.WitnessRole(ctx)
    new.ctx = ctx
    return new


def _append(role, sequence, sender=_OLD):
    role.on_append_rows(
        sender,
        witness_messages.AppendRows(
            1, _W, "g", "g", "w", sequence, (_ROW,), 0, 0
        ),
    )
    return role.ctx.out.pop().msg


def _install(role):
    role.on_install_table(
        _OLD,
        witness_messages.InstallTable(
            1, _W, "g", "g", "w", 1, permit_table.TableSnapshot()
        ),
    )


def _forget(role, sender):
    role.on_forget_table(sender, witness_messages.ForgetTable(1, _W, "g", "g"))


def test_sealed_epoch_takes_no_more_permits(role):
    """Guards against permits that are missing from a table taken over.

    A holder that was wrongly suspected goes on appending after the seal.
    """
    assert not _append(role, 1).sealed
    table = role.seal_epoch("g", "g", "w", _OLD)
    assert table.rows == (_ROW,)
    assert _append(role, 2).sealed


@pytest.mark.parametrize("used", [True, False])
def test_ended_epoch_does_not_start_again(role, used):
    """Guards against a holder that continues an epoch after a takeover.

    The holder was paused, or one of its messages arrives late. The witness must
    not start the ended epoch again with an empty table.
    """
    if used:
        _append(role, 1)
    role.seal_epoch("g", "g", "w", _OLD)
    _forget(role, _NEW)
    _install(role)
    assert _append(role, 1).sealed
    assert _append(role, 2).sealed
    assert role.seal_epoch("g", "g", "w", _OLD) is None


def test_returned_router_is_refused_after_its_epochs_were_discarded(role):
    """Guards against a router that returns after it was declared gone.

    If the platform lists its VM again, it still has its old grants, while the
    witness has discarded the ended epochs.
    """
    role.seal_epoch("g", "g", "w", _OLD)
    _forget(role, _NEW)
    gone = fleet_view.RouterMember(
        _OLD, "old", "d", "x", fleet_view.MemberState.GONE
    )
    role.ctx.fleet.update(fleet_view.FleetView((gone,)))
    role.discard_ended_tables()
    assert not role.tables
    _install(role)
    assert _append(role, 1).sealed
