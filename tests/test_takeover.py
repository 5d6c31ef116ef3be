"""What a next start takes over, and when it must not."""

import attrs
import pytest

from hibiscuspass.core.prepaid import draw_policy
from hibiscuspass.core.prepaid import holders
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import takeover
from hibiscuspass.core.prepaid import usage_limit

_CFG = draw_policy.DrawConfig()
_STATE = draw_policy.WorkspaceState(
    prepaid=1_000_000,
    drawn_by_all=100_000,
    available=10_000,
    rate_per_s=500.0,
    typical_tokens=1000,
    routers=10,
)


@pytest.mark.parametrize(
    ("own_s", "exact_s", "by_clock_s", "peers", "expected"),
    [
        (9.0, [5.0, 2.0], [], 5, 2.0),
        # Clocks don't matter where a peer has run all the time.
        (0.1, [5.0], [0.1], 5, 5.0),
        (1.0, [], [2.0, 3.0], 5, 3.0),
        # One right clock is enough to prevent a takeover.
        (0.5, [], [0.5, 30.0], 5, 30.0),
        (30.0, [], [0.5, 0.5], 5, 30.0),
        (1.0, [], [2.0], 5, None),
        (1.0, [], [2.0], 1, 2.0),
        (1.0, [], [], 5, None),
        # Without peers there is no second clock.
        (1.0, [], [], 0, None),
    ],
)
def test_age_is_bounded_by_peers(
    own_s: float,
    exact_s: list[float],
    by_clock_s: list[float],
    peers: int,
    expected: float | None,
) -> None:
    """A clock that stepped back must not make used tokens look unused."""
    evidence = takeover.Evidence(exact_s, by_clock_s)
    assert takeover.age_bound(own_s, evidence, peers) == expected


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [(None, False), (1.0, True), (3.6, True), (3.9, False), (20.0, False)],
)
def test_old_records_are_not_taken_over(
    age_s: float | None, expected: bool
) -> None:
    """A router that was out of reach for long has used more than its limit."""
    record = store_record.RouterRecord("h:1", seal_s=4.0)
    assert takeover.do_limits_hold(record, age_s) == expected


def test_records_without_limits_are_not_taken_over() -> None:
    """A record without a seal says nothing about what was used."""
    record = store_record.RouterRecord("h:1", drawn={"press": 5})
    assert not takeover.do_limits_hold(record, 0.0)


def test_only_what_lies_beyond_the_limits_is_unused() -> None:
    """Tokens below a limit may have been used; returned ones are gone."""
    record = store_record.RouterRecord(
        "h:1", drawn={"a": 100, "b": 50, "c": -7}, limits={"a": 30, "b": 60}
    )
    assert takeover.unused_tokens(record) == {"a": 70}


def test_history_answers_with_the_newest_earlier_write() -> None:
    """A write after the revision in question proves nothing."""
    record = store_record.RouterRecord(
        "h:1", sent_ms=9000, previous_revision=40, previous_ms=5000
    )
    history = takeover.history_of({60: record})
    assert history.sent_before(39) is None
    assert history.sent_before(59) == 5.0
    assert history.sent_before(60) == 9.0


@pytest.mark.parametrize("routers", [1, 9, 62, 300])
def test_evidence_fits_into_the_sealed_time(routers: int) -> None:
    """A record is at most two intervals and a restart old."""
    interval_s = usage_limit.interval_s(routers)
    assert usage_limit.duration_s(routers) > 2 * interval_s
    assert routers / interval_s <= 41.0


def test_little_room_near_the_end_of_the_prepaid_amount() -> None:
    """Tokens that a loss of all routers costs are missed there."""
    ample = usage_limit.headroom(_STATE, 4.0, 0.0, _CFG)
    scarce = usage_limit.headroom(
        attrs.evolve(_STATE, drawn_by_all=1_000_000, available=2000),
        4.0,
        0.0,
        _CFG,
    )
    assert ample >= 4.0 * 500
    assert scarce * _STATE.routers <= _CFG.max_lost_share * _STATE.prepaid


def test_small_fleets_share_all_workspaces() -> None:
    """Nothing is gained by holders while each router may be one."""
    names = [f"router-{n}" for n in range(holders.MAX_HOLDERS)]
    assert set(holders.holders("press", names)) == set(names)


def test_holders_stay_when_another_router_leaves() -> None:
    """A change of all holders would move all drawn tokens."""
    names = [f"router-{n}" for n in range(62)]
    for workspace in ("a", "b", "c", "d"):
        before = holders.holders(workspace, names)
        gone = before[3]
        after = holders.holders(workspace, [n for n in names if n != gone])
        assert set(before) - {gone} <= set(after)
        assert len(after) == holders.MAX_HOLDERS


def test_routers_that_hold_nothing_do_not_draw() -> None:
    """Draws of all routers for all workspaces would flood the store."""
    state = attrs.evolve(_STATE, available=0, is_holder=False)
    assert draw_policy.planned_change(state, _CFG) == 0
    # A request that no holder can serve still gets its tokens.
    assert draw_policy.urgent_draw(state, 700, _CFG) >= 700
