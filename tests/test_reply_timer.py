"""Tests of the log lines about slow replies of the store."""

import pytest
import structlog.testing

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.gateway import reply_timer

_READ = kv_store.ReadResult((kv_store.KeyValue("op/config", b"12345", 7),), 7)
_EVENTS = txn_store.PollResult(
    (
        kv_store.WatchEvent("op/config", b"123", 8),
        kv_store.WatchEvent("op/old", None, 9),
    ),
    9,
)
_CUT = refusal.Refusal(reason_lib.Reason.TIMEOUT, "no reply")


class _Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def _log_of(reply, begun_s, end_s):
    """Returns the log of a reply that arrives from `begun_s` to `end_s`."""
    clock = _Clock()
    timer = reply_timer.ReplyTimer("poll", "op/", clock)
    with structlog.testing.capture_logs() as logs:
        if begun_s is not None:
            clock.now_s = begun_s
            timer.on_reply(10)
        clock.now_s = end_s
        timer.on_end(reply)
    return logs


@pytest.mark.parametrize(("reply", "size"), [(_READ, 5), (_EVENTS, 3)])
def test_slow_transfer_is_logged_with_its_size(reply, size):
    (line,) = _log_of(reply, begun_s=2.0, end_s=2.9)
    assert line["event"] == "slow store reply"
    assert (line["wait_ms"], line["transfer_ms"]) == (2000, 900)
    assert (line["call"], line["prefix"], line["bytes"]) == (
        "poll",
        "op/",
        size,
    )


def test_incomplete_reply_is_logged():
    (line,) = _log_of(_CUT, begun_s=0.01, end_s=0.05)
    assert line["event"] == "store reply cut"


def test_long_wait_for_a_small_reply_is_not_logged():
    assert _log_of(_READ, begun_s=29.0, end_s=29.01) == []
    assert _log_of(_CUT, begun_s=None, end_s=30.6) == []
