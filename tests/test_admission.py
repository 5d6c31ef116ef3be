"""Guards admission against starvation, late refusals and exceeded limits."""

import collections

import hypothesis
from hypothesis import strategies as st

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import config
from hibiscuspass.core.admission import controller
from hibiscuspass.core.admission import factory
from tests import assertions


def _request(
    request_id: str,
    workspace: str = "discs",
    *,
    priority: int = 5,
    limit: int = 100,
    deadline_s: float = 10.0,
) -> controller.AdmissionRequest:
    return controller.AdmissionRequest(
        request_id, workspace, priority, limit, deadline_s
    )


def _admitted(decisions: tuple[controller.Decision, ...]) -> list[str]:
    return [
        d.request_id
        for d in decisions
        if isinstance(d.outcome, controller.Admitted)
    ]


def test_a_large_workspace_does_not_starve_a_small_one():
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=1)
    )
    assert isinstance(ctl.admit(_request("r0"), 0.0), controller.Admitted)
    for n in range(20):
        ctl.admit(_request(f"big-{n}", "big"), 0.0)
    for n in range(3):
        ctl.admit(_request(f"small-{n}", "small"), 0.0)
    served, current = [], "r0"
    for _ in range(6):
        (current,) = _admitted(ctl.release(current, 0.1))
        served.append(current.partition("-")[0])
    assert collections.Counter(served) == {"big": 3, "small": 3}


def test_higher_priority_is_served_first():
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=1)
    )
    ctl.admit(_request("r0"), 0.0)
    ctl.admit(_request("low", priority=1), 0.0)
    ctl.admit(_request("high", "other", priority=9), 0.0)
    assert _admitted(ctl.release("r0", 0.1)) == ["high"]


def test_workspace_limit_does_not_block_other_workspaces():
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=2)
    )
    ctl.admit(_request("a0", "a", limit=1), 0.0)
    assert isinstance(
        ctl.admit(_request("a1", "a", limit=1), 0.0), controller.Queued
    )
    assert isinstance(ctl.admit(_request("b0", "b"), 0.0), controller.Admitted)
    assert _admitted(ctl.release("b0", 0.1)) == []
    assert _admitted(ctl.release("a0", 0.2)) == ["a1"]


def test_queued_request_is_refused_at_its_deadline():
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=1)
    )
    ctl.admit(_request("r0"), 0.0)
    ctl.admit(_request("r1", deadline_s=1.0), 0.0)
    assert ctl.expire(0.9) == ()
    (decision,) = ctl.expire(1.0)
    assert decision.request_id == "r1"
    assertions.assert_refused(decision.outcome, reason_lib.Reason.DEADLINE)


def test_expected_wait_beyond_the_deadline_is_refused_at_once():
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=1)
    )
    ctl.admit(_request("r0"), 0.0)
    ctl.release("r0", 2.0)
    ctl.admit(_request("r1"), 2.0)
    assert isinstance(ctl.admit(_request("r2"), 2.0), controller.Queued)
    outcome = ctl.admit(_request("r3", deadline_s=1.0), 2.0)
    assertions.assert_refused(outcome, reason_lib.Reason.DEADLINE)


def test_idle_time_before_a_burst_does_not_cause_refusals():
    """Guards against counting the time between requests as service time."""
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=1)
    )
    for n in range(40):
        ctl.admit(_request(f"r{n}"), n * 600.0)
        ctl.release(f"r{n}", n * 600.0 + 0.1)
    ctl.admit(_request("x0"), 30_000.0)
    outcome = ctl.admit(_request("x1", deadline_s=1.0), 30_000.0)
    assert isinstance(outcome, controller.Queued)


def test_full_queue_displaces_the_lowest_priority():
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=1, max_queued=1)
    )
    ctl.admit(_request("r0"), 0.0)
    ctl.admit(_request("low", priority=1), 0.0)
    assertions.assert_refused(
        ctl.admit(_request("equal", priority=1), 0.0),
        reason_lib.Reason.OVERLOADED,
    )
    outcome = ctl.admit(_request("high", priority=2), 0.0)
    assert isinstance(outcome, controller.Queued)
    (decision,) = ctl.expire(0.0)
    assert decision.request_id == "low"
    assertions.assert_refused(decision.outcome, reason_lib.Reason.OVERLOADED)


def test_queue_limit_of_one_workspace():
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=1, max_queued_per_workspace=1)
    )
    ctl.admit(_request("r0"), 0.0)
    ctl.admit(_request("r1"), 0.0)
    assertions.assert_refused(
        ctl.admit(_request("r2"), 0.0), reason_lib.Reason.CONCURRENCY_LIMIT
    )


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from("abc"),
            st.integers(0, 2),
            st.integers(0, 30),
        ),
        max_size=80,
    )
)
def test_each_request_gets_one_outcome_and_limits_hold(steps):
    """Guards against lost or repeated decisions and exceeded limits."""
    ctl = factory.make_admission_controller(
        config.AdmissionConfig(max_running=3, max_queued=4)
    )
    running: dict[str, str] = {}
    waiting: dict[str, str] = {}

    def apply(decisions: tuple[controller.Decision, ...]) -> None:
        for decision in decisions:
            workspace = waiting.pop(decision.request_id)
            if isinstance(decision.outcome, controller.Admitted):
                running[decision.request_id] = workspace

    for now, (action, workspace, priority, pick) in enumerate(steps):
        if action == 0:
            request_id = f"r{now}"
            outcome = ctl.admit(
                _request(request_id, workspace, priority=priority, limit=2),
                now,
            )
            if isinstance(outcome, controller.Admitted):
                running[request_id] = workspace
            elif isinstance(outcome, controller.Queued):
                waiting[request_id] = workspace
            else:
                assert isinstance(outcome, refusal.Refusal)
        elif action == 1 and (running or waiting):
            names = sorted(running) + sorted(waiting)
            request_id = names[pick % len(names)]
            is_running = request_id in running
            (running if is_running else waiting).pop(request_id)
            apply(ctl.release(request_id, now))
        apply(ctl.expire(now))
        assert len(running) <= 3
        assert all(
            n <= 2 for n in collections.Counter(running.values()).values()
        )
        assert len(waiting) <= 4
    apply(ctl.expire(len(steps) + 11.0))
    assert not waiting
