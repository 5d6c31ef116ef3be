"""Tests of what an answer shows about its prompt."""

import pytest

from hibiscuspass.core.forwarding import prompt_trial

_Finding = prompt_trial.Finding


@pytest.mark.parametrize("events", [0, 1, 5])
def test_answer_that_broke_off_shows_no_sound_prompt(events):
    """The first event of a lost answer proved its prompt sound."""
    trial = prompt_trial.PromptTrial()
    assert not any(trial.on_event(0.1 * n) for n in range(events))
    assert trial.on_end(is_complete=False, has_framing=True) is _Finding.LOST


def test_complete_answer_shows_a_sound_prompt():
    trial = prompt_trial.PromptTrial()
    assert not trial.on_event(0.0)
    finding = trial.on_end(is_complete=True, has_framing=True)
    assert finding is _Finding.SOUND


def test_answer_that_ends_with_its_connection_is_ambiguous():
    """An engine that crashes closes its connections too."""
    trial = prompt_trial.PromptTrial()
    assert not trial.on_event(0.0)
    finding = trial.on_end(is_complete=True, has_framing=False)
    assert finding is _Finding.AMBIGUOUS


def test_complete_answer_without_events_shows_nothing():
    """A resumed run may have nothing left to write."""
    trial = prompt_trial.PromptTrial()
    assert trial.on_end(is_complete=True, has_framing=True) is None


def test_long_answer_shows_a_sound_prompt_once_before_its_end():
    trial = prompt_trial.PromptTrial()
    shown = [trial.on_event(0.1 * n) for n in range(100)]
    assert shown.count(True) == 1
    assert shown.index(True) in (20, 21)
    assert trial.on_end(is_complete=True, has_framing=True) is None


def test_suspended_router_takes_no_old_events_for_late_ones():
    """Events that wait in a socket's buffer may be older than the crash."""
    trial = prompt_trial.PromptTrial()
    assert not trial.on_event(0.0)
    assert not trial.on_event(8.0)
    assert trial.on_end(is_complete=False, has_framing=True) is _Finding.LOST
