"""Tests of when a waiting poll of the store is replaced."""

import pytest

from hibiscuspass.core.membership import poll_guard

_CONTACT_S = 3.0


def test_heard_peers_allow_long_polls() -> None:
    """Short polls of hundreds of routers would be most calls of the store."""
    guard = poll_guard.PollGuard(_CONTACT_S)
    assert guard.start(5, witnesses=3, now_s=0.0) >= 25.0
    assert not guard.should_restart(3, 20.0)


@pytest.mark.parametrize("witnesses", [0, 1])
def test_polls_without_witnesses_end_within_the_contact_time(
    witnesses: int,
) -> None:
    """Without peers, only the end of the poll shows a lost connection."""
    guard = poll_guard.PollGuard(_CONTACT_S)
    assert guard.start(5, witnesses, now_s=0.0) < _CONTACT_S


def test_long_poll_is_replaced_when_the_peers_fall_silent() -> None:
    """A router that loses its peers can't rely on their announcements."""
    guard = poll_guard.PollGuard(_CONTACT_S)
    guard.start(5, witnesses=3, now_s=0.0)
    assert guard.should_restart(1, _CONTACT_S)
    guard.start(5, witnesses=1, now_s=_CONTACT_S)
    assert not guard.should_restart(1, _CONTACT_S + 0.1)


def test_change_announced_by_a_peer_replaces_the_poll() -> None:
    """The reply with a change may be lost while peers receive theirs."""
    guard = poll_guard.PollGuard(_CONTACT_S)
    guard.start(5, witnesses=3, now_s=0.0)
    guard.on_announced(6, now_s=10.0)
    assert not guard.should_restart(3, 10.1), "the own reply may be on its way"
    assert guard.should_restart(3, 10.5)
    guard.start(5, witnesses=3, now_s=10.5)
    assert not guard.should_restart(3, 10.6), "the new poll needs time"
    guard.start(6, witnesses=3, now_s=10.7)
    assert not guard.should_restart(3, 20.0)


def test_changes_that_were_read_do_not_replace_the_poll() -> None:
    """Peers repeat their announcements with each heartbeat."""
    guard = poll_guard.PollGuard(_CONTACT_S)
    guard.start(6, witnesses=3, now_s=0.0)
    for second in range(5):
        guard.on_announced(6, now_s=float(second))
    assert not guard.should_restart(3, 6.0)
