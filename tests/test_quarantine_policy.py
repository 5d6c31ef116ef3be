"""Tests of quarantines that are short because a cause isn't certain."""

import random

import pytest

from hibiscuspass.core.forwarding import crash_reports
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import quarantine as quarantine_lib
from hibiscuspass.core.forwarding import quarantine_policy
from hibiscuspass.core.forwarding import request as request_lib

_CAUSE = frozenset({"deadly"})
_SHORT_S = quarantine_policy.SHORT_S


def _reports(crashes: int) -> crash_reports.CrashReports:
    reports = crash_reports.CrashReports()
    for n in range(crashes):
        reports.add(f"engine-{n}", ["deadly"], now_s=n, events=0)
        for k in range(9):
            reports.add(f"engine-{n}", [f"thing-{n}-{k}"], n, events=20)
    return reports


def _decide(policy, reports, now_s, answers):
    suspects = reports.suspects(now_s)
    proof = messages.Proof([], [answers] * len(suspects))
    return policy.decide(suspects, [proof], now_s)


def _prompt(*part_ids: str) -> list[request_lib.PromptPart]:
    return [request_lib.PromptPart(p, 10) for p in part_ids]


def test_cause_is_certain_only_with_answers():
    """While all engines are down, a common sound part is not answered."""
    reports = _reports(4)
    policy = quarantine_policy.QuarantinePolicy(reports)
    (decision,) = _decide(policy, reports, 4.0, answers=0)
    assert decision == quarantine_policy.Decision(_CAUSE, _SHORT_S)
    assert not decision.is_final
    (decision,) = _decide(
        quarantine_policy.QuarantinePolicy(reports), reports, 4.0, answers=9
    )
    assert decision == quarantine_policy.Decision(
        _CAUSE, quarantine_policy.LONG_S
    )
    assert decision.is_final


def test_second_quarantine_needs_one_more_crash():
    """Answers to others prove nothing while the part itself is refused."""
    reports = _reports(4)
    policy = quarantine_policy.QuarantinePolicy(reports)
    assert _decide(policy, reports, 4.0, answers=0)
    assert _decide(policy, reports, 14.0, answers=200) == []
    reports.add("engine-last", ["deadly"], 15.0, events=0)
    (decision,) = _decide(policy, reports, 15.0, answers=200)
    assert decision.is_final


@pytest.mark.parametrize("fleet_size", [1, 9])
def test_few_requests_are_sent_after_a_short_quarantine(fleet_size):
    """Requests that had waited would crash all engines again at once."""
    routers = [
        quarantine_lib.Quarantine(lambda: fleet_size, random.Random(n))
        for n in range(fleet_size)
    ]
    sends = []
    for router in routers:
        router.on_announced([_CAUSE], 0.0, _SHORT_S)
    for step in range(2000):
        now_s = step / 100
        for router in routers:
            parts = _prompt("deadly", "own")
            if router.find(parts, now_s) is None:
                # The check before the send itself counts it.
                assert router.find(parts, now_s, is_send=True) is None
                assert router.find(parts, now_s) == _CAUSE
                sends.append(now_s)
    assert min(sends) >= _SHORT_S
    # About two a second in the fleet.
    most = 2 * (20 - _SHORT_S)
    assert 0.5 * most <= len(sends) <= most + fleet_size


def test_probation_ends():
    quarantine = quarantine_lib.Quarantine()
    quarantine.on_announced([_CAUSE], 0.0, _SHORT_S)
    assert quarantine.left_s(_CAUSE, 2.0) == _SHORT_S - 2.0
    for _ in range(5):
        assert quarantine.find(_prompt("deadly"), 60.0, is_send=True) is None


def test_answer_ends_a_short_quarantine():
    """A sound part that many requests have must not be refused for long."""
    quarantine = quarantine_lib.Quarantine()
    both = frozenset({"deadly", "system"})
    quarantine.on_announced([both], 0.0, _SHORT_S)
    assert quarantine.on_sound(["system", "thing"]) == []
    assert quarantine.find(_prompt("deadly", "system"), 1.0) == both
    assert quarantine.on_sound(["system", "deadly", "own"]) == [both]
    assert quarantine.find(_prompt("deadly", "system"), 1.0) is None


def test_later_announcement_extends_a_quarantine():
    """Two routers decide; the second may know more than the first."""
    quarantine = quarantine_lib.Quarantine()
    quarantine.on_announced([_CAUSE], 0.0)
    quarantine.on_announced([_CAUSE], 1.0, _SHORT_S)
    assert quarantine.find(_prompt("deadly"), 50.0) == _CAUSE
    quarantine.on_list([_CAUSE], 50.0)
    assert quarantine.on_sound(["deadly"]) == [_CAUSE]
    assert quarantine.find(_prompt("deadly"), 51.0) == _CAUSE
