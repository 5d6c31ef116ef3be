"""Tests of what is accepted and sent while a router stops."""

import attrs
import pytest

from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import stop_schedule

_ROUTE = route_lib.Route(
    "order",
    "press.example",
    "/order/",
    route_lib.RequestKind.NON_IDEMPOTENT,
    timeout_s=8.0,
    target_latency_s=0.1,
    priority=0,
    shares=(),
)
_FAR_S = 1000.0


@pytest.mark.parametrize("grace_s", [0.5, 1.5, 4.0, 5.0, 8.0, 30.0])
def test_requests_are_cut_in_the_last_sixth_of_the_grace(grace_s):
    """With a short grace, requests were cut although there was time left."""
    schedule = stop_schedule.make_stop_schedule(0.0, grace_s)
    assert grace_s * 5 / 6 < schedule.cut_s < schedule.close_s < grace_s


@pytest.mark.parametrize("grace_s", [0.5, 1.5, 4.0, 5.0, 8.0, 30.0])
def test_accepted_requests_have_time_for_an_answer(grace_s):
    """With a short grace, requests were accepted until they were cut."""
    schedule = stop_schedule.make_stop_schedule(0.0, grace_s)
    assert schedule.accept_until_s < 3.0
    assert schedule.cut_s - schedule.accept_until_s >= grace_s / 2


def test_late_requests_are_sent_only_if_an_answer_can_be_expected():
    """Slow uploads reached a server just before the process ended."""
    schedule = stop_schedule.make_stop_schedule(0.0, 8.0)
    assert schedule.may_send(_ROUTE, _FAR_S, 6.4)
    assert not schedule.may_send(_ROUTE, _FAR_S, 6.6)
    slow = attrs.evolve(_ROUTE, target_latency_s=1.0)
    assert schedule.may_send(slow, _FAR_S, 4.9)
    assert not schedule.may_send(slow, _FAR_S, 5.1)


def test_requests_that_end_before_the_cut_by_themselves_are_sent():
    schedule = stop_schedule.make_stop_schedule(0.0, 8.0)
    assert schedule.may_send(_ROUTE, deadline_s=6.9, now_s=6.8)
