"""Guards the order of events against clock skew between processes."""

from hibiscuspass.core import clock


def test_tick_increases_when_the_wall_clock_steps_back():
    hybrid = clock.HybridClock()
    first = hybrid.tick(1000)
    assert hybrid.tick(900) > first


def test_receipt_is_ordered_after_a_send_with_a_clock_that_is_ahead():
    hybrid = clock.HybridClock()
    sent = clock.Timestamp(5000, 3)
    assert hybrid.merge(sent, 1000) > sent
