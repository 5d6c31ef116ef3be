"""Tests of following a prefix of the store through outages."""

import asyncio
from collections.abc import Sequence

import pytest

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.gateway import follower as follower_lib
from hibiscuspass.gateway import process
from tests import memory_store


class _Recorder(follower_lib.Subscriber):
    def __init__(self) -> None:
        self.values: list[bytes | None] = []
        self.reachability: list[bool] = []

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        self.values += [e.value for e in entries]

    def on_event(self, event: kv_store.WatchEvent) -> None:
        self.values.append(event.value)

    def on_reachability_changed(self, is_reachable: bool) -> None:
        self.reachability.append(is_reachable)


class _Store(memory_store.MemoryStore):
    """Counts full reads, and can lose its history once."""

    def __init__(self) -> None:
        super().__init__()
        self.has_history = True
        self.reads = 0

    async def get_prefix(self, prefix, *, timeout_s, stale_ok=False):
        self.reads += 1
        return await super().get_prefix(prefix, timeout_s=timeout_s)

    async def poll(self, prefix, after, *, wait_s, timeout_s):
        if not self.has_history:
            self.has_history = True
            return refusal.Refusal(reason_lib.Reason.STALE, "gone")
        return await super().poll(
            prefix, after, wait_s=wait_s, timeout_s=timeout_s
        )


async def test_changes_during_an_outage_are_read_after_it() -> None:
    """A change made while polls fail must be seen after the outage."""
    store, recorder = _Store(), _Recorder()
    store.apply({}, {"op/config": b"1"})
    task = asyncio.create_task(
        follower_lib.Follower(store, "op/", recorder, 0.1).run()
    )
    await asyncio.sleep(0.05)
    store.is_down = True
    await asyncio.sleep(0.1)
    store.apply({}, {"op/config": b"2"})
    store.is_down = False
    await asyncio.sleep(1.2)
    task.cancel()
    assert recorder.values[0] == b"1"
    assert recorder.values[-1] == b"2"
    assert recorder.reachability == [True, False, True]


async def test_lost_history_is_replaced_by_a_read() -> None:
    """A poll refused because its history is gone must lead to a full read."""
    store, recorder = _Store(), _Recorder()
    store.apply({}, {"op/config": b"1"})
    store.has_history = False
    task = asyncio.create_task(
        follower_lib.Follower(store, "op/", recorder, 0.1).run()
    )
    await asyncio.sleep(0.1)
    task.cancel()
    assert store.reads == 2
    assert recorder.reachability == [True]


async def test_reads_during_an_outage_are_few() -> None:
    """Retries in an outage must be few, since refused calls are charged too."""
    store, recorder = _Store(), _Recorder()
    store.is_down = True
    task = asyncio.create_task(
        follower_lib.Follower(store, "op/", recorder, 0.1).run()
    )
    await asyncio.sleep(1.5)
    task.cancel()
    assert 1 <= store.reads <= 30


@pytest.mark.parametrize("contact_s", [3.0, 4.0])
def test_silent_poll_ends_within_the_contact_time(contact_s: float) -> None:
    """A poll on a dead connection must end within the contact time.

    Polls held for four thirds of it left a router with an old configuration, so
    that it refused an existing route (dekaroute, scale-2 with seed
    272737948693).
    """
    hold_s = process._POLL_WAIT_SHARE * contact_s
    assert hold_s + follower_lib._POLL_MARGIN_S < contact_s
