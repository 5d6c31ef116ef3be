"""Tests the ledger's invariants and the idempotence of its transitions."""

import attrs
import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from tests import assertions

_A = incarnation.Incarnation("a", "1")
_B = incarnation.Incarnation("b", "1")
_Reason = reason_lib.Reason


def _ledger():
    led = ledger_lib.top_up(ledger_lib.Ledger("w"), "t", 100)
    return ledger_lib.draw(led, "g", _A, _B, 60)


_CHANGES = {
    "top_up": lambda led: ledger_lib.top_up(led, "t2", 10),
    "draw": lambda led: ledger_lib.draw(led, "h", _B, None, 10),
    "enlarge": lambda led: ledger_lib.set_amount(led, "g", "g", 80),
    "return": lambda led: ledger_lib.set_amount(led, "g", "g", 20),
    "record": lambda led: ledger_lib.record_settlement(led, "g", "g", 5, 1),
    "take_over": lambda led: ledger_lib.take_over(led, "g", "g", "o", _B, _A),
    "change_witness": lambda led: ledger_lib.change_witness(
        led, "g", "g", "o", None
    ),
    "name_primary": lambda led: ledger_lib.set_primary(led, "g", "g"),
    "close": lambda led: ledger_lib.close(led, "g", "g", 30),
    "charge": lambda led: ledger_lib.charge(led, "g", "g", 5, 55),
    "want": lambda led: ledger_lib.request_return(led, _B, 7),
}


@pytest.mark.parametrize("change", _CHANGES.values(), ids=_CHANGES)
def test_repeated_change_takes_effect_once(change):
    """Guards against a second effect of a write whose reply was lost."""
    once = change(_ledger())
    assert isinstance(once, ledger_lib.Ledger)
    assert once != _ledger()
    assert change(once) == once


@pytest.mark.parametrize("change", _CHANGES.values(), ids=_CHANGES)
def test_stored_form_keeps_every_field(change):
    """Guards against a field that is lost or changed in the stored JSON."""
    led = change(_ledger())
    assert ledger_codec.decode(ledger_codec.encode(led)) == led


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (
            lambda led: ledger_lib.draw(led, "h", _B, None, 41),
            _Reason.BUDGET_EXHAUSTED,
        ),
        (
            lambda led: ledger_lib.set_amount(led, "g", "g", 101),
            _Reason.BUDGET_EXHAUSTED,
        ),
        (lambda led: ledger_lib.top_up(led, "t", 99), _Reason.CONFLICT),
        (lambda led: ledger_lib.top_up(led, "u", 0), _Reason.INVALID_REQUEST),
        (
            lambda led: ledger_lib.set_amount(led, "g", "old", 10),
            _Reason.STALE,
        ),
        (
            lambda led: ledger_lib.take_over(led, "g", "old", "o", _B, None),
            _Reason.STALE,
        ),
        (
            lambda led: ledger_lib.close(led, "g", "g", 61),
            _Reason.INVALID_REQUEST,
        ),
        (
            lambda led: ledger_lib.charge(led, "g", "g", 0, -1),
            _Reason.INVALID_REQUEST,
        ),
        (
            lambda led: ledger_lib.set_amount(led, "x", "x", 1),
            _Reason.NOT_FOUND,
        ),
        (
            lambda led: ledger_lib.close(
                ledger_lib.set_primary(led, "g", "g"), "g", "g", 0
            ),
            _Reason.CONFLICT,
        ),
    ],
)
def test_change_that_would_break_a_rule_is_refused(change, reason):
    assertions.assert_refused(change(_ledger()), reason)


def test_charge_of_primary_grant_allows_another_primary():
    """Guards against keyed requests that are always refused.

    This happens if a charged grant stays the primary grant, since its table is
    lost.
    """
    led = ledger_lib.set_primary(_ledger(), "g", "g")
    led = ledger_lib.charge(led, "g", "g", 0, 60)
    assert led.primary == ""
    assert led.free == 40


def test_overdrawn_ledger_is_not_read():
    """Guards against spending from a corrupted stored value."""
    value = ledger_codec.encode(_ledger())
    with pytest.raises(ledger_lib.InvariantError):
        ledger_codec.decode(value.replace(b'"amount":60', b'"amount":160'))


def test_overdrawn_ledger_is_not_created():
    """Guards against a transition that spends more than was prepaid."""
    with pytest.raises(ledger_lib.InvariantError):
        attrs.evolve(_ledger(), settled=41)
