"""Tests of following a prefix of the store through outages."""

import asyncio
from collections.abc import Sequence

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.gateway import follower as follower_lib
from hibiscuspass.gateway import store_probe
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
    """Counts reads, and can lose its history once."""

    def __init__(self) -> None:
        super().__init__()
        self.has_history = True
        self.reads = 0
        self.cheap_reads = 0

    async def get_prefix(self, prefix, *, stale_ok=False, **options):
        if stale_ok:
            self.cheap_reads += 1
        else:
            self.reads += 1
        return await super().get_prefix(prefix, stale_ok=stale_ok, **options)

    async def poll(self, prefix, after, **options):
        if not self.has_history:
            self.has_history = True
            return refusal.Refusal(reason_lib.Reason.STALE, "gone")
        return await super().poll(prefix, after, **options)


class _Peers(follower_lib.Peers):
    """Records what was announced."""

    def __init__(self) -> None:
        self.announced: list[tuple[str, int]] = []

    def announce(self, prefix: str, revision: int) -> None:
        self.announced.append((prefix, revision))


def _follower(
    store: memory_store.MemoryStore,
    recorder: _Recorder,
    peers: _Peers | None = None,
    contact_s: float = 3.0,
) -> follower_lib.Follower:
    return follower_lib.Follower(
        store,
        "op/",
        recorder,
        peers or _Peers(),
        store_probe.StoreProbe(store),
        contact_s=contact_s,
    )


async def _check_often(follower: follower_lib.Follower) -> None:
    while True:
        await asyncio.sleep(0.05)
        follower.check()


class _SilentStore(_Store):
    """Answers no poll while `is_silent`."""

    def __init__(self) -> None:
        super().__init__()
        self.is_silent = True
        self.polls = 0

    async def poll(self, prefix, after, *, timeout_s, **options):
        self.polls += 1
        if not self.is_silent:
            return await super().poll(
                prefix, after, timeout_s=timeout_s, **options
            )
        await asyncio.sleep(timeout_s)
        return refusal.Refusal(reason_lib.Reason.TIMEOUT, "no reply")


async def test_changes_during_an_outage_are_read_after_it() -> None:
    """A change made while polls fail must be seen after the outage."""
    store, recorder = _Store(), _Recorder()
    store.apply({}, {"op/config": b"1"})
    task = asyncio.create_task(_follower(store, recorder).run())
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
    task = asyncio.create_task(_follower(store, recorder).run())
    await asyncio.sleep(0.1)
    task.cancel()
    assert store.reads == 2
    assert recorder.reachability == [True]


async def test_store_that_refused_all_polls_was_read_without_a_pause() -> None:
    """The reads took all of the processor time that requests need."""

    class _RefusingStore(_Store):
        async def poll(self, prefix, after, **options):
            return refusal.Refusal(reason_lib.Reason.STALE, "gone")

    store, recorder = _RefusingStore(), _Recorder()
    store.apply({}, {"op/config": b"1"})
    task = asyncio.create_task(_follower(store, recorder).run())
    await asyncio.sleep(0.5)
    store.apply({}, {"op/config": b"2"})
    await asyncio.sleep(0.7)
    task.cancel()
    assert recorder.values[-1] == b"2"
    assert store.reads <= 6


async def test_reads_during_an_outage_are_few() -> None:
    """Retries in an outage must be few, since refused calls are charged too.

    Each of 195 routers read both prefixes about ten times in the two outages
    of a calm day, which was a third of the price of all calls.
    """
    store, recorder = _Store(), _Recorder()
    store.is_down = True
    task = asyncio.create_task(_follower(store, recorder).run())
    await asyncio.sleep(2.0)
    assert store.reads == 1
    assert 1 <= store.cheap_reads <= 10
    store.is_down = False
    await asyncio.sleep(0.6)
    task.cancel()
    assert store.reads == 2
    assert recorder.reachability == [False, True]


async def test_failed_reads_of_a_reachable_store_are_repeated() -> None:
    """A store may answer cheap reads and fail others."""
    store, recorder = _Store(), _Recorder()
    get_prefix = store.get_prefix

    async def fail_full_reads(prefix, *, stale_ok=False, **options):
        result = await get_prefix(prefix, stale_ok=stale_ok, **options)
        if stale_ok or store.reads > 2:
            return result
        return refusal.Refusal(reason_lib.Reason.UNAVAILABLE, "busy")

    store.get_prefix = fail_full_reads
    task = asyncio.create_task(_follower(store, recorder).run())
    await asyncio.sleep(2.0)
    task.cancel()
    assert store.reads == 3
    assert recorder.reachability == [False, True]


async def test_silent_poll_is_replaced_after_an_announcement() -> None:
    """A change must be seen although the poll that waits for it is dead.

    A router with a dead poll kept an old configuration and refused an existing
    route (dekaroute, scale-2 with seed 272737948693).
    """
    store, recorder = _SilentStore(), _Recorder()
    store.apply({}, {"op/config": b"1"})
    follower = _follower(store, recorder)
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.05)
    store.is_silent = False
    store.apply({}, {"op/config": b"2"})
    follower.check()
    assert recorder.values == [b"1"]
    follower.on_announced(store.revision, "127.0.0.1:1")
    await asyncio.sleep(0.3)
    follower.check()
    await asyncio.sleep(0.1)
    task.cancel()
    assert recorder.values[-1] == b"2"
    assert store.reads == 1, "the poll is repeated from the last revision"


async def test_silent_poll_is_replaced_within_the_contact_time() -> None:
    """A change must be seen although no router's poll was answered."""
    store, recorder = _SilentStore(), _Recorder()
    store.apply({}, {"op/config": b"1"})
    contact_s = 2.0
    follower = _follower(store, recorder, contact_s=contact_s)
    task = asyncio.create_task(follower.run())
    checks = asyncio.create_task(_check_often(follower))
    await asyncio.sleep(0.05)
    store.apply({}, {"op/config": b"2"})
    store.is_silent = False
    await asyncio.sleep(0.75 * contact_s)
    task.cancel()
    checks.cancel()
    assert recorder.values[-1] == b"2"


async def test_unreachable_store_leads_to_a_full_read() -> None:
    """Entries may lapse in an outage that a waiting poll does not notice."""
    store, recorder = _SilentStore(), _Recorder()
    store.apply({}, {"op/config": b"1"})
    follower = _follower(store, recorder)
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.05)
    follower.on_store_unreachable()
    await asyncio.sleep(0.05)
    task.cancel()
    assert store.reads == 2
    assert recorder.reachability == [True, False, True]


async def test_answers_are_announced_to_peers() -> None:
    """Peers need no polls of their own then, and learn of changes."""
    store, recorder, peers = _Store(), _Recorder(), _Peers()
    store.apply({}, {"op/config": b"1"})
    first = store.revision
    task = asyncio.create_task(_follower(store, recorder, peers).run())
    await asyncio.sleep(0.05)
    store.apply({}, {"op/config": b"2"})
    await asyncio.sleep(0.05)
    task.cancel()
    assert peers.announced[0] == ("op/", first)
    assert peers.announced[-1] == ("op/", store.revision)
