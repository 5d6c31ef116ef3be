"""Guards the key-value service against too many calls from one process."""

import asyncio
import heapq
import itertools

import hypothesis
from hypothesis import strategies as st
import prometheus_client
import pytest

from hibiscuspass.backends import etcd_kv
from hibiscuspass.backends import kv_client
from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from standins import kv as kv_stand_in
from tests import assertions

_TIMEOUT_S = 10.0
_FOREGROUND = kv_client.Priority.FOREGROUND
_NORMAL = kv_client.Priority.NORMAL
_BACKGROUND = kv_client.Priority.BACKGROUND


class _Timers:
    """Clock with timers that moves only when `advance` is called."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._queue: list = []
        self._order = itertools.count()

    def __call__(self) -> float:
        return self.now_s

    def call_later(self, delay_s, callback) -> None:
        entry = (self.now_s + delay_s, next(self._order), callback)
        heapq.heappush(self._queue, entry)

    async def advance(self, by_s: float) -> None:
        await _settle()
        end_s = self.now_s + by_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._queue)
            callback()
            await _settle()
        self.now_s = end_s


async def _settle() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


class _Store(kv_store.KvStore):
    """Store that records calls; reads wait until `read_permitted` is set."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.read_permitted = asyncio.Event()
        self.read_permitted.set()
        self.revision = 1

    async def get(self, key, *, timeout_s):
        self.calls.append(f"get {key}")
        await self.read_permitted.wait()
        return kv_store.ReadResult((), self.revision)

    async def get_prefix(self, prefix, *, timeout_s):
        self.calls.append(f"get_prefix {prefix}")
        await self.read_permitted.wait()
        return kv_store.ReadResult((), self.revision)

    async def compare_and_swap(
        self, key, expected_revision, value, *, lease_id=0, timeout_s
    ):
        self.calls.append(f"compare_and_swap {key}")
        self.revision += 1
        return kv_store.CasResult(True, self.revision)

    async def grant_lease(self, ttl_s, *, timeout_s):
        self.calls.append("grant_lease")
        return 7

    async def keep_alive(self, lease_id, *, timeout_s):
        self.calls.append("keep_alive")
        return 10

    async def revoke_lease(self, lease_id, *, timeout_s):
        self.calls.append("revoke_lease")

    async def watch(self, prefix, from_revision):
        self.calls.append(f"watch {prefix}")
        yield kv_store.WatchEvent(prefix, b"", from_revision)


class _Rig:
    """A client on a fake store and clock."""

    def __init__(self, calls_per_s: float = 10.0, burst: int = 10) -> None:
        self.timers = _Timers()
        self.store = _Store()
        self.registry = prometheus_client.CollectorRegistry()
        self.client = kv_client.make_kv_client(
            self.store,
            calls_per_s=calls_per_s,
            burst=burst,
            purpose="ledger",
            priority=_FOREGROUND,
            metrics_registry=self.registry,
            monotonic_s=self.timers,
            call_later=self.timers.call_later,
        )

    def get(self, key, priority=_FOREGROUND, purpose="ledger"):
        view = self.client.view(purpose, priority)
        return asyncio.create_task(view.get(key, timeout_s=_TIMEOUT_S))

    async def use_up(self, calls: int) -> None:
        for number in range(calls):
            await self.get(f"used-{number}")
        self.store.calls.clear()

    def metric(self, name: str, **labels: str) -> float:
        value = self.registry.get_sample_value(
            f"hibiscuspass_kv_{name}", labels
        )
        return value or 0.0


async def test_every_call_is_counted_by_kind_and_purpose():
    rig = _Rig()
    view = rig.client.view("claims", _NORMAL)
    await view.get("k", timeout_s=1)
    await view.get_prefix("p", timeout_s=1)
    await view.compare_and_swap("k", 0, b"", timeout_s=1)
    lease = await view.grant_lease(10, timeout_s=1)
    await view.keep_alive(lease, timeout_s=1)
    await view.revoke_lease(lease, timeout_s=1)
    assert [e async for e in view.watch("p", 1)]
    kinds = [call.split()[0] for call in rig.store.calls]
    assert len(kinds) == 7
    for kind in kinds:
        assert rig.metric("calls_total", kind=kind, purpose="claims") == 1, kind
    assert rig.metric("open_watches") == 0


async def test_a_pending_watch_is_one_call_and_shown_as_open():
    rig = _Rig()
    watch = rig.client.watch("p", 1)
    await anext(watch)
    assert rig.metric("open_watches") == 1
    await watch.aclose()
    assert rig.metric("open_watches") == 0
    assert rig.metric("calls_total", kind="watch", purpose="ledger") == 1


async def test_background_calls_are_shed_while_foreground_calls_pass():
    rig = _Rig(burst=10)
    await rig.use_up(5)
    refused = assertions.assert_refused(
        await rig.get("b", _BACKGROUND, "polling"),
        reason_lib.Reason.RATE_LIMITED,
    )
    assert refused.retry_after_s == pytest.approx(0.1)
    for number in range(5):
        result = await rig.get(f"f{number}")
        assert isinstance(result, kv_store.ReadResult)
    assert not any("get b" in call for call in rig.store.calls)
    assert rig.metric("shed_calls_total", kind="get", purpose="polling") == 1
    assert rig.metric("calls_total", kind="get", purpose="polling") == 0


async def test_a_background_call_passes_at_its_suggested_delay():
    rig = _Rig(burst=10)
    await rig.use_up(5)
    refused = await rig.get("b", _BACKGROUND)
    await rig.timers.advance(refused.retry_after_s)
    assert isinstance(await rig.get("b", _BACKGROUND), kv_store.ReadResult)


async def test_waiting_calls_are_sent_in_order_of_priority():
    rig = _Rig(calls_per_s=10, burst=10)
    await rig.use_up(10)
    tasks = [rig.get("n1", _NORMAL)]
    await _settle()
    tasks += [rig.get("f1"), rig.get("f2")]
    await _settle()
    assert not rig.store.calls
    await rig.timers.advance(0.5)
    assert rig.store.calls == ["get f1", "get f2", "get n1"]
    assert all(isinstance(t.result(), kv_store.ReadResult) for t in tasks)


async def test_a_call_that_would_wait_too_long_is_refused_at_once():
    rig = _Rig(calls_per_s=10, burst=10)
    await rig.use_up(10)
    waiting = [rig.get(f"w{i}") for i in range(10)]
    await _settle()
    refused = assertions.assert_refused(
        await rig.get("last"), reason_lib.Reason.RATE_LIMITED
    )
    assert refused.retry_after_s == pytest.approx(1.1)
    await rig.timers.advance(1.0)
    assert len(rig.store.calls) == 10
    assert all(t.done() for t in waiting)


async def test_a_call_overtaken_until_its_wait_limit_is_refused():
    rig = _Rig(calls_per_s=10, burst=10)
    await rig.use_up(10)
    overtaken = rig.get("n", _NORMAL)
    urgent = []
    for number in range(6):
        await _settle()
        urgent.append(rig.get(f"f{number}"))
        await rig.timers.advance(0.1)
    assertions.assert_refused(await overtaken, reason_lib.Reason.RATE_LIMITED)
    assert "get n" not in rig.store.calls
    assert all(t.done() for t in urgent)


async def test_a_cancelled_waiting_call_uses_no_token():
    rig = _Rig(calls_per_s=10, burst=10)
    await rig.use_up(10)
    cancelled, kept = rig.get("a"), rig.get("b")
    await _settle()
    cancelled.cancel()
    await rig.timers.advance(0.1)
    assert rig.store.calls == ["get b"]
    assert isinstance(await kept, kv_store.ReadResult)


async def test_identical_concurrent_reads_are_sent_as_one_call():
    rig = _Rig()
    results = await asyncio.gather(
        *(rig.get("k") for _ in range(8)), rig.get("other")
    )
    assert all(isinstance(r, kv_store.ReadResult) for r in results)
    assert sorted(rig.store.calls) == ["get k", "get other"]
    assert rig.metric("coalesced_reads_total", purpose="ledger") == 7


async def test_a_read_does_not_join_one_that_was_sent_before_a_write():
    rig = _Rig()
    rig.store.read_permitted.clear()
    early = rig.get("k")
    await _settle()
    await rig.client.compare_and_swap("k", 1, b"new", timeout_s=1)
    late = rig.get("k")
    await _settle()
    # If the second read joined the first one, it could return the value from
    # before the caller's own write.
    assert rig.store.calls.count("get k") == 2
    rig.store.read_permitted.set()
    await asyncio.gather(early, late)


async def test_an_urgent_read_does_not_join_a_background_read():
    rig = _Rig(burst=10)
    await rig.use_up(5)
    background, foreground = rig.get("k", _BACKGROUND), rig.get("k")
    assertions.assert_refused(await background, reason_lib.Reason.RATE_LIMITED)
    assert isinstance(await foreground, kv_store.ReadResult)


async def test_cancelling_one_of_two_joined_reads_keeps_the_other():
    rig = _Rig()
    rig.store.read_permitted.clear()
    first, second = rig.get("k"), rig.get("k")
    await _settle()
    first.cancel()
    await _settle()
    rig.store.read_permitted.set()
    assert isinstance(await second, kv_store.ReadResult)
    assert rig.store.calls == ["get k"]


async def test_a_refused_watch_ends_at_once_and_is_not_sent():
    rig = _Rig(burst=10)
    await rig.use_up(5)
    view = rig.client.view("config", _BACKGROUND)
    assert [e async for e in view.watch("p", 1)] == []
    assert rig.store.calls == []


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(list(kv_client.Priority)),
            st.floats(0.0, 0.3),
        ),
        max_size=60,
    )
)
@hypothesis.settings(max_examples=50, deadline=None)
def test_the_rate_is_never_exceeded(arrivals):
    async def run() -> None:
        rig = _Rig(calls_per_s=10, burst=4)
        tasks = []
        for number, (priority, gap_s) in enumerate(arrivals):
            tasks.append(rig.get(f"k{number}", priority))
            await rig.timers.advance(gap_s)
            allowed = 4 + 10 * rig.timers.now_s
            assert len(rig.store.calls) <= allowed + 1e-6
        await rig.timers.advance(2.0)
        outcomes = [t.result() for t in tasks]
        sent = sum(isinstance(o, kv_store.ReadResult) for o in outcomes)
        assert sent == len(rig.store.calls)

    asyncio.run(run())


async def test_the_count_equals_the_calls_that_the_service_saw(started):
    server = await started(kv_stand_in.KvStandIn())
    store = await started(etcd_kv.make_etcd_kv(server.address))
    registry = prometheus_client.CollectorRegistry()
    client = kv_client.make_kv_client(store, metrics_registry=registry)
    created = await client.compare_and_swap("k", 0, b"v", timeout_s=_TIMEOUT_S)
    await client.get("k", timeout_s=_TIMEOUT_S)
    watch = client.watch("k", created.revision)
    await anext(watch)
    await watch.aclose()
    assert sum(server.calls.values()) == 3
    assert sum(
        sample.value
        for metric in registry.collect()
        for sample in metric.samples
        if sample.name == "hibiscuspass_kv_calls_total"
    ) == sum(server.calls.values())
