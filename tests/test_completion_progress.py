"""Guards the decisions on dispatch, resume, cost and idle timeout."""

import pytest

from hibiscuspass.backends import engine
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.dispatch import completion_progress
from hibiscuspass.core.dispatch import cost
from hibiscuspass.core.dispatch import early_refusal
from hibiscuspass.core.dispatch import idle_timeout
from hibiscuspass.core.dispatch import model_spec
from tests import backend_fakes

_NOT_FOUND = refusal.Refusal(reason.Reason.NOT_FOUND)


def _event(index: int, tokens: int = 1) -> engine.TokenEvent:
    return engine.TokenEvent(b"{}", tokens, index)


def _dispatched(
    limit: int = 10, **kwargs
) -> completion_progress.CompletionProgress:
    progress = completion_progress.CompletionProgress(limit, **kwargs)
    progress.on_dispatch("e1")
    return progress


def test_unreached_backend_is_excluded_from_the_next_dispatch():
    progress = _dispatched()
    assert progress.on_refusal(
        backend_fakes.unreachable_refusal()
    ) == completion_progress.Dispatch(frozenset({"e1"}), False)


def test_dispatches_are_bounded_and_the_failure_is_not_run():
    progress = _dispatched(max_dispatches=2)
    progress.on_refusal(backend_fakes.unreachable_refusal())
    progress.on_dispatch("e2")
    action = progress.on_refusal(backend_fakes.unreachable_refusal())
    assert isinstance(action, completion_progress.Fail)
    assert action.refused.run is run_state.RunState.NO


def test_later_refusal_does_not_hide_an_earlier_dispatch():
    """Guards against the answer "not run" when an engine may have run it.

    The first engine may have received the request; only the second one
    certainly did not.
    """
    progress = _dispatched(max_dispatches=2, max_resumes=0)
    assert isinstance(
        progress.on_refusal(backend_fakes.connection_lost_refusal()),
        completion_progress.Dispatch,
    )
    progress.on_dispatch("e2")
    action = progress.on_refusal(backend_fakes.unreachable_refusal())
    assert isinstance(action, completion_progress.Fail)
    assert action.refused.run is run_state.RunState.UNKNOWN


def test_each_event_resets_the_number_of_resumes():
    progress = _dispatched(max_resumes=1)
    for index in range(5):
        progress.on_event(_event(index))
        assert progress.on_refusal(
            backend_fakes.connection_lost_refusal()
        ) == completion_progress.Resume("e1", index + 1)
    action = progress.on_refusal(backend_fakes.connection_lost_refusal())
    assert isinstance(action, completion_progress.Dispatch)
    assert action.restart


def test_restart_does_not_count_the_tokens_of_the_lost_engine():
    progress = _dispatched(limit=2, max_resumes=0)
    progress.on_event(_event(0, tokens=2))
    progress.on_refusal(backend_fakes.connection_lost_refusal())
    progress.on_dispatch("e2")
    assert (
        progress.on_event(_event(0, tokens=2))
        is completion_progress.Verdict.RELAY
    )


def test_delivered_stream_never_restarts():
    """Guards against mixing the output of two engines in one stream."""
    progress = _dispatched(max_resumes=0)
    progress.on_event(_event(0))
    progress.delivered = True
    action = progress.on_refusal(backend_fakes.connection_lost_refusal())
    assert isinstance(action, completion_progress.Fail)
    assert action.refused.run is run_state.RunState.YES


@pytest.mark.parametrize(
    "refused", [_NOT_FOUND, backend_fakes.unreachable_refusal()]
)
def test_attached_request_is_never_dispatched(refused):
    """Guards against running a request that another attempt owns."""
    answer = refusal.Refusal(reason.Reason.IN_PROGRESS)
    progress = completion_progress.CompletionProgress(
        10, attached=answer, max_resumes=2
    )
    progress.on_earlier_run("e1")
    action: completion_progress.Action = completion_progress.Resume("e1", 0)
    steps = 0
    while isinstance(action, completion_progress.Resume):
        action = progress.on_refusal(refused)
        steps += 1
        assert steps < 10
    assert action == completion_progress.Fail(answer)


def test_event_beyond_the_limit_is_not_relayed():
    progress = _dispatched(limit=3)
    assert (
        progress.on_event(_event(0, tokens=2))
        is completion_progress.Verdict.RELAY
    )
    assert (
        progress.on_event(_event(1, tokens=2))
        is completion_progress.Verdict.LIMIT
    )
    assert progress.output_tokens == 2


def test_idle_timeout_follows_the_gaps_within_bounds():
    estimator = idle_timeout.IdleTimeoutEstimator(min_s=0.1, max_s=10.0)
    assert estimator.timeout_s() == 5.0
    for _ in range(50):
        estimator.observe(0.001)
    assert estimator.timeout_s() == 0.1
    for _ in range(50):
        estimator.observe(0.03)
    assert 0.3 < estimator.timeout_s() < 1.0
    estimator.observe(100.0)
    assert estimator.timeout_s() == 10.0


@pytest.mark.parametrize(
    ("value", "least"),
    [("\u00e9", 2), (None, 0), ({"a": ["\u00e9", 12]}, 5), (["x"] * 9, 9)],
)
def test_text_bytes_is_an_upper_bound(value, least):
    assert cost.text_bytes(value) >= least


def test_text_is_counted_exactly():
    assert cost.text_bytes("a\n\u00e9") == 4


def test_prompt_bound_covers_a_token_per_byte():
    spec = model_spec.ModelSpec("m", message_overhead_tokens=5)
    assert cost.prompt_bound(spec, 10, 2) == 20


def test_negative_usage_does_not_lower_the_cost():
    spec = model_spec.ModelSpec("m")
    assert cost.reported_cost(spec, engine.Usage(-5, 3), 100) == 3


@pytest.mark.parametrize("keyed", [False, True])
def test_run_state_before_the_lookup_depends_on_reason_and_key(keyed):
    invalid = refusal.Refusal(reason.Reason.INVALID_REQUEST)
    stopping = refusal.Refusal(reason.Reason.SHUTTING_DOWN)
    expected = run_state.RunState.UNKNOWN if keyed else run_state.RunState.NO
    assert (
        early_refusal.with_run_state(invalid, keyed).run
        is run_state.RunState.NO
    )
    assert early_refusal.with_run_state(stopping, keyed).run is expected
