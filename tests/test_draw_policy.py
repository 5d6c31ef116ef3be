"""Sizes of draws and returns, and tokens reserved for urgent requests."""

import attrs
import pytest

from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import draw_policy
from hibiscuspass.core.prepaid import lending
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.core.prepaid import store_record
from tests import memory_store

_CFG = draw_policy.DrawConfig()
_STATE = draw_policy.WorkspaceState(
    prepaid=1_000_000,
    drawn_by_all=100_000,
    available=0,
    rate_per_s=1000.0,
    typical_tokens=2000,
    routers=4,
)


def _change(**changes: float) -> int:
    state = attrs.evolve(_STATE, **changes)
    return draw_policy.planned_change(state, _CFG)


def test_draw_covers_an_outage() -> None:
    """In an outage of the store only tokens drawn before can be used."""
    assert _change() == _CFG.outage_s * 1000


def test_sufficient_tokens_cause_no_write() -> None:
    """A router near its target must not write; store calls are limited."""
    assert _change(available=int(0.9 * _CFG.outage_s * 1000)) == 0


def test_one_router_draws_only_part_of_the_remaining_tokens() -> None:
    """A crash of one router must not lose most of the remaining tokens."""
    drawn = _change(drawn_by_all=960_000, rate_per_s=1e6)
    assert 0 < drawn <= 2 * _CFG.held_share * 40_000 / 4


def test_idle_router_returns_tokens() -> None:
    """Tokens must not stay at a router that gets few requests."""
    assert _change(available=300_000, rate_per_s=10.0) < -200_000


def test_tokens_above_a_lowered_amount_are_returned() -> None:
    """Tokens drawn before the amount was lowered must not be used."""
    assert _change(available=50_000, prepaid=80_000) == -20_000


@pytest.mark.parametrize(
    ("drawn_by_all", "least", "most"),
    [(990_000, 5000, 10_000), (996_000, 4000, 4000), (1_000_000, 0, 0)],
)
def test_urgent_draw_covers_the_request_or_takes_the_rest(
    drawn_by_all: int, least: int, most: int
) -> None:
    """The last undrawn tokens must serve requests together with loans.

    Otherwise up to a large request per workspace stayed undrawn, 4% of the
    small ones, while requests were refused.
    """
    state = attrs.evolve(_STATE, drawn_by_all=drawn_by_all)
    drawn = draw_policy.urgent_draw(state, 5000, _CFG)
    assert least <= drawn <= most


@pytest.mark.parametrize("initial_per_s", [0.0, 500.0, 5000.0])
def test_usage_rate_follows_the_first_requests(initial_per_s: float) -> None:
    """Tokens for an outage 6 s after the first request must last through it.

    An average that began at half of the real rate had reached three quarters
    of it by then, and the tokens of the busiest workspace ended after 8 s.
    """
    rate = draw_policy.UsageRate(10.0, 0.0, initial_per_s)
    assert rate.per_s(12.0) == initial_per_s
    for step in range(61):
        rate.add(100, 12.0 + step / 10)
    assert 600.0 <= rate.per_s(18.0) <= 2400.0
    for step in range(61, 400):
        rate.add(100, 12.0 + step / 10)
    assert rate.per_s(52.0) == pytest.approx(1000.0, rel=0.05)


def _accounts(name: str = "router-1") -> accounts_lib.PrepaidAccounts:
    accounts = accounts_lib.PrepaidAccounts(
        incarnation.Incarnation(name, "1"), "10.0.0.1:7000", _CFG
    )
    accounts.routers = 2
    return accounts


def _draw(
    accounts: accounts_lib.PrepaidAccounts,
    store: memory_store.MemoryStore,
    tokens: int,
) -> None:
    txn = accounts.ledger.plan({"press": tokens}, accounts.used())
    outcome = store.apply(txn.expected, txn.writes)
    assert isinstance(outcome, txn_store.Committed)
    accounts.ledger.on_committed(txn, outcome.revision)
    accounts.sync_drawn(0.0)


def test_scarce_tokens_go_to_urgent_requests() -> None:
    """Low-priority requests must not use the tokens of urgent ones."""
    accounts, store = _accounts(), memory_store.MemoryStore()
    accounts.set_prepaid_amounts({"press": 60_000})
    _draw(accounts, store, 60_000)
    for step in range(20):
        hold = accounts.hold("press", 500, 0, step * 0.5)
        assert hold is not None
        accounts.settle(hold, 500, step * 0.5)
    reserved = accounts.reserve("press", 1, 10.0)
    assert reserved > 0
    assert accounts.reserve("press", 0, 10.0) == 0
    available = accounts.available("press")
    assert accounts.hold("press", available - reserved + 1, 1, 10.0) is None
    assert accounts.hold("press", available - reserved, 1, 10.0) is not None
    assert accounts.hold("press", reserved, 0, 10.0) is not None


def test_loans_for_less_urgent_requests_leave_the_reserve() -> None:
    """Loans for low-priority requests must not reduce the reserve."""
    accounts, store = _accounts(), memory_store.MemoryStore()
    accounts.set_prepaid_amounts({"press": 60_000})
    _draw(accounts, store, 50_000)
    for step in range(20):
        accounts.hold("press", 500, 0, step * 0.5)
    peer = incarnation.Incarnation("router-2", "1")
    available, reserved = (
        accounts.available("press"),
        accounts.reserve("press", 1, 10.0),
    )
    lender = lending.Lending(
        accounts, incarnation.Incarnation("router-1", "1"), "10.0.0.1:7000"
    )
    lent = lender.lend(peer, messages.Borrow("press", 90_000, 0, 1), 10.0)
    assert lent.totals["press"] == available - reserved
    urgent = lender.lend(peer, messages.Borrow("press", 90_000, 0, 0), 10.0)
    assert urgent.totals["press"] == available


def test_rates_survive_a_restart() -> None:
    """After a crash of all routers, old records must set the usage rates."""
    old = store_record.RouterRecord(
        "10.0.0.1:7000", rates={"press": {0: 300.0, 1: 2000.0}}
    )
    accounts = _accounts()
    accounts.set_prepaid_amounts({"press": 1_000_000})
    accounts.load_usage_rates([old, old])
    assert accounts.reserve("press", 1, 0.0) == 0
    assert accounts.planned_changes(0.0)["press"] == pytest.approx(
        _CFG.outage_s * 2300.0, rel=0.01
    )


def test_reserve_survives_a_restart_when_few_tokens_remain() -> None:
    """After a crash of all routers, urgent requests still come first."""
    old = store_record.RouterRecord("a:1", rates={"press": {0: 600.0}})
    accounts = _accounts()
    accounts.set_prepaid_amounts({"press": 3000})
    accounts.load_usage_rates([old])
    assert accounts.reserve("press", 1, 0.0) == pytest.approx(
        _CFG.reserve_s * 300.0, rel=0.01
    )


def test_urgent_requests_come_first_while_limits_apply() -> None:
    """Low-priority requests must not use up the headroom of urgent ones.

    In the first seconds of an outage of the store, only the tokens below the
    usage limit can be used.
    """
    accounts, store = _accounts(), memory_store.MemoryStore()
    accounts.set_prepaid_amounts({"press": 100_000})
    accounts.hold("press", 0, 0, 0.0)
    accounts.hold("press", 0, 1, 0.0)
    for now_s in (0.0, 1.0, 2.0):
        txn = accounts.ledger.plan(
            {"press": 20_000}, accounts.used(), None, accounts.limits(now_s, 1)
        )
        outcome = store.apply(txn.expected, txn.writes)
        assert isinstance(outcome, txn_store.Committed)
        accounts.ledger.on_committed(txn, outcome.revision)
        accounts.sync_drawn(now_s)
        assert accounts.hold("press", 800, 0, now_s)
        assert accounts.hold("press", 3000, 1, now_s)
    # The last write is 0.2 s old, so the store counts as reachable.
    assert accounts.reserve("press", 1, 2.2) == 0
    reserved = accounts.reserve("press", 1, 3.6)
    assert reserved > 0
    available = accounts.available("press")
    assert accounts.remaining("press") > available
    assert accounts.hold("press", available - reserved + 1, 1, 3.6) is None
    assert accounts.hold("press", available, 0, 3.6) is not None
    # After the limits expired, all drawn tokens are available.
    assert accounts.reserve("press", 1, 9.0) == 0
    assert accounts.available("press") == accounts.remaining("press")


def test_assumed_rate_lasts_until_the_first_request() -> None:
    """Routers start some time before the first requests of a fleet.

    The assumed rate had decayed by then, and an early outage of the store found
    all routers with few tokens.
    """
    rate = draw_policy.UsageRate(10.0, 0.0, 500.0)
    assert rate.per_s(16.0) == 500.0
    rate.add(0, 16.0)
    assert rate.per_s(26.0) < 250.0


def test_lenders_hold_tokens_for_whole_requests() -> None:
    """A holder of a small workspace must be able to lend for a request."""
    state = draw_policy.WorkspaceState(
        prepaid=1_000_000,
        drawn_by_all=0,
        available=0,
        rate_per_s=100.0,
        typical_tokens=9000,
        routers=5,
    )
    cfg = draw_policy.DrawConfig()
    lender = attrs.evolve(state, has_borrowers=True)
    assert draw_policy.target_tokens(state, cfg) < 2 * 9000
    assert draw_policy.target_tokens(lender, cfg) >= 3 * 9000
    scarce = attrs.evolve(lender, drawn_by_all=990_000)
    assert draw_policy.target_tokens(scarce, cfg) <= 0.3 * 10_000
