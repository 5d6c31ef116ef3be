"""Guards against retry storms and requests to failing backend servers."""

import random

import pytest

from hibiscuspass.core.retry import backoff
from hibiscuspass.core.retry import ejection
from hibiscuspass.core.retry import retry_budget


def test_retries_stay_a_fixed_share_of_requests():
    cfg = retry_budget.RetryBudgetConfig(ratio=0.1, floor_per_s=0.0, burst=5)
    budget = retry_budget.RetryBudget(cfg, now_s=0.0)
    retries = 0
    for step in range(1000):
        budget.on_request(step * 0.001)
        retries += budget.try_spend(step * 0.001)
    assert retries <= 5 + 0.1 * 1000


def test_idle_router_earns_retries_over_time():
    cfg = retry_budget.RetryBudgetConfig(ratio=0.0, floor_per_s=1.0, burst=1)
    budget = retry_budget.RetryBudget(cfg, now_s=0.0)
    assert budget.try_spend(0.0)
    assert not budget.try_spend(0.5)
    assert budget.try_spend(1.6)


def test_backoff_grows_to_its_bound_and_is_reproducible():
    cfg = backoff.BackoffConfig(base_s=0.1, factor=2.0, max_s=0.4)
    delays = [
        backoff.Backoff(cfg, random.Random(7)).delay_s(n) for n in range(1, 9)
    ]
    again = [
        backoff.Backoff(cfg, random.Random(7)).delay_s(n) for n in range(1, 9)
    ]
    assert delays == again
    assert delays[2] == pytest.approx(4 * delays[0])
    assert max(delays) <= 0.4
    with pytest.raises(ValueError, match="attempt 0"):
        backoff.Backoff(cfg, random.Random(7)).delay_s(0)


def _tracker(count: int = 4) -> ejection.EjectionTracker:
    tracker = ejection.EjectionTracker(
        ejection.EjectionConfig(), random.Random(1)
    )
    tracker.retain([f"engine-{n}" for n in range(count)])
    return tracker


def test_failures_in_a_row_eject_and_the_weight_returns_gradually():
    tracker = _tracker()
    for _ in range(2):
        tracker.on_failure("engine-0", 0.0)
    tracker.on_success("engine-0", 0.0)
    tracker.on_failure("engine-0", 0.0)
    assert tracker.weight("engine-0", 0.0) == 1.0
    for _ in range(2):
        tracker.on_failure("engine-0", 0.0)
    weights = [tracker.weight("engine-0", t / 2) for t in range(20)]
    assert weights[0] == 0.0
    assert weights[-1] == 1.0
    assert weights == sorted(weights)
    assert any(0 < w < 1 for w in weights)


def test_a_failure_during_the_ramp_ejects_for_longer():
    tracker = _tracker()
    tracker.eject("engine-0", 0.0)
    returned_s = next(
        t / 10 for t in range(100) if tracker.weight("engine-0", t / 10) > 0
    )
    tracker.on_failure("engine-0", returned_s)
    second_s = next(
        t / 10
        for t in range(200)
        if tracker.weight("engine-0", returned_s + t / 10) > 0
    )
    assert second_s > returned_s


def test_at_most_half_of_the_backends_are_ejected():
    tracker = _tracker()
    ejected = [tracker.eject(f"engine-{n}", 0.0) for n in range(4)]
    assert ejected == [True, True, False, False]
