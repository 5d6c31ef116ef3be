"""Tests of when a router checks the store beside its waiting poll."""

import random

import pytest

from hibiscuspass.core.membership import poll_guard

_CONTACT_S = 3.0
# Bound on the time until a change is in force, where the contact time is 3 s.
_APPLY_S = 2.0


def _guard(seed: int = 1) -> poll_guard.PollGuard:
    return poll_guard.PollGuard(_CONTACT_S, random.Random(seed))


def _due_s(guard: poll_guard.PollGuard) -> float:
    """Returns the time at which a check is due."""
    steps = (0.01 * n for n in range(10_000))
    return next(s for s in steps if guard.is_check_due(s))


@pytest.mark.parametrize("seed", range(20))
def test_check_is_due_within_the_bound_on_changes(seed: int) -> None:
    """The reply to a poll may be lost, also for all routers at once.

    In a compaction of the store no poll was answered, and routers refused a new
    route with 404 for 4 s (dba-routage, scale-2 with seed 832378168108).
    """
    guard = _guard(seed)
    guard.on_answer(5, now_s=0.0)
    assert 0.4 * _CONTACT_S < _due_s(guard) < _APPLY_S - 0.3


def test_answers_of_peers_spare_own_polls() -> None:
    """Short polls of hundreds of routers would be most calls of the store."""
    guard = _guard()
    guard.on_answer(5, now_s=0.0)
    for second in range(60):
        assert not guard.is_check_due(float(second))
        guard.on_announced(5, now_s=float(second))


@pytest.mark.parametrize("routers", [1, 9])
def test_routers_take_turns(routers: int) -> None:
    """The fleet polls at a rate that doesn't depend on its size."""
    guards = [_guard(seed) for seed in range(routers)]
    for guard in guards:
        guard.on_answer(5, now_s=0.0)
    polls = 0
    for step in range(3000):
        now_s = 0.02 * step
        for guard in guards:
            if guard.is_check_due(now_s):
                polls += 1
                guard.on_answer(5, now_s)
                for other in guards:
                    other.on_announced(5, now_s)
    assert polls <= 60.0 / (0.4 * _CONTACT_S)


def test_change_announced_by_a_peer_is_looked_for() -> None:
    """The reply with a change may be lost while peers receive theirs."""
    guard = _guard()
    guard.on_answer(5, now_s=0.0)
    guard.on_announced(6, now_s=1.0)
    assert not guard.is_check_due(1.05), "the own reply may be on its way"
    assert guard.is_check_due(1.15)
    guard.on_check(1.15)
    assert not guard.is_check_due(1.2), "the check needs time"
    guard.on_answer(6, now_s=1.3)
    assert not guard.is_check_due(2.0)


def test_announcement_without_a_change_is_checked_once() -> None:
    """A wrong announcement must not cause a stream of calls."""
    guard = _guard()
    guard.on_answer(5, now_s=0.0)
    guard.on_announced(99, now_s=0.1)
    assert guard.is_check_due(0.3)
    guard.on_check(0.3)
    guard.on_answer(5, now_s=0.31)
    assert not guard.is_check_due(0.6)
