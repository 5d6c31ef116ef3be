"""Tests of lists of entries and of their changes after a revision."""

import random

import pytest

from hibiscuspass.backends import kv_store
from hibiscuspass.core import entry_list
from hibiscuspass.core import refusal

_KEYS = [f"servers/{n}" for n in range(12)]


def _event(rng: random.Random, revision: int) -> kv_store.WatchEvent:
    value = None if rng.random() < 0.4 else b"%d" % rng.randrange(9)
    return kv_store.WatchEvent(rng.choice(_KEYS), value, revision)


@pytest.mark.parametrize("seed", range(50))
def test_changes_lead_to_the_later_list(seed: int) -> None:
    rng = random.Random(seed)
    earlier, later = entry_list.EntryList(), entry_list.EntryList()
    known = rng.randrange(30)
    for revision in range(1, 61):
        event = _event(rng, revision)
        later.on_event(event)
        if revision <= known:
            earlier.on_event(event)
    changes = later.changes_after(known)
    result = entry_list.apply_changes(earlier.entries, changes)
    assert not isinstance(result, refusal.Refusal)
    assert {e.key: e for e in result} == later.entries
    assert all(e.revision > known for e in changes.changed)


@pytest.mark.parametrize("seed", range(50))
def test_list_after_a_full_read_is_right_or_refused(seed: int) -> None:
    """A removal that a router missed shows only in its next full read."""
    rng = random.Random(seed)
    earlier, later = entry_list.EntryList(), entry_list.EntryList()
    for revision in range(1, 61):
        event = _event(rng, revision)
        later.on_event(event)
        if revision <= 20:
            earlier.on_event(event)
        if revision == 30:
            read = entry_list.EntryList()
            read.on_list(list(later.entries.values()))
            later = read
    result = entry_list.apply_changes(earlier.entries, later.changes_after(20))
    if not isinstance(result, refusal.Refusal):
        assert {e.key: e for e in result} == later.entries


def test_changes_of_another_list_are_refused() -> None:
    later = entry_list.EntryList()
    later.on_event(kv_store.WatchEvent("servers/a", b"1", 7))
    other = {"servers/b": kv_store.KeyValue("servers/b", b"2", 3)}
    result = entry_list.apply_changes(other, later.changes_after(5))
    assert isinstance(result, refusal.Refusal)
    whole = entry_list.apply_changes(other, later.changes_after(0))
    assert whole == (kv_store.KeyValue("servers/a", b"1", 7),)


def test_changes_of_a_long_list_are_few() -> None:
    later = entry_list.EntryList()
    later.on_list(
        [kv_store.KeyValue(f"servers/{n}", b"x" * 150, n) for n in range(4000)]
    )
    later.on_event(kv_store.WatchEvent("servers/17", None, 4001))
    later.on_event(kv_store.WatchEvent("servers/18", b"y", 4002))
    changes = later.changes_after(4000)
    assert [e.key for e in changes.changed] == ["servers/18"]
    assert changes.removed == ("servers/17",)


def test_number_of_removals_that_are_kept_is_limited() -> None:
    later = entry_list.EntryList()
    for revision in range(1, 5001):
        later.on_event(
            kv_store.WatchEvent(f"servers/{revision}", None, revision)
        )
    assert len(later.changes_after(1).removed) == entry_list._MAX_REMOVED
