"""Guards the etcd adapter against lost replies, outages and stalls."""

import asyncio

import pytest

from hibiscuspass.backends import etcd_kv
from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state
from standins import kv as kv_stand_in
from tests import assertions

_TIMEOUT_S = 10.0
# Time limit of calls that fail because the server sends nothing.
_SHORT_TIMEOUT_S = 0.2


@pytest.fixture
async def server(started):
    return await started(kv_stand_in.KvStandIn(progress_s=0.05))


@pytest.fixture
async def store(started, server):
    return await started(
        etcd_kv.EtcdKv(
            f"http://{server.address}", watch_idle_s=_SHORT_TIMEOUT_S
        )
    )


async def _put(store, key, value=b"v", expected=0, **kwargs):
    result = await store.compare_and_swap(
        key, expected, value, timeout_s=_TIMEOUT_S, **kwargs
    )
    assert isinstance(result, kv_store.CasResult)
    return result


async def test_prefix_reads_return_only_matching_keys_in_order(store):
    for key in ("b/2", "a/9", "b/1", "c", "b"):
        await _put(store, key, key.encode())
    found = await store.get_prefix("b/", timeout_s=_TIMEOUT_S)
    assert [(e.key, e.value) for e in found.entries] == [
        ("b/1", b"b/1"),
        ("b/2", b"b/2"),
    ]
    everything = await store.get_prefix("", timeout_s=_TIMEOUT_S)
    assert len(everything.entries) == 5
    one = await store.get("a/9", timeout_s=_TIMEOUT_S)
    assert one.entries[0].revision <= one.revision
    absent = await store.get("none", timeout_s=_TIMEOUT_S)
    assert absent.entries == ()


async def test_a_second_create_fails_and_returns_the_first_value(store):
    first = await _put(store, "k", b"one")
    second = await _put(store, "k", b"two")
    assert second == kv_store.CasResult(
        False, 0, kv_store.KeyValue("k", b"one", first.revision)
    )


async def test_a_swap_at_an_old_revision_changes_nothing(store):
    first = await _put(store, "k", b"one")
    second = await _put(store, "k", b"two", first.revision)
    third = await _put(store, "k", b"three", first.revision)
    assert not third.succeeded
    assert third.current.revision == second.revision
    deleted = await _put(store, "k", None, second.revision)
    assert deleted.succeeded
    absent = await _put(store, "k", b"x", second.revision)
    assert absent == kv_store.CasResult(False, 0, None)


async def test_a_value_over_the_limit_is_refused_without_a_call(store, server):
    assertions.assert_refused(
        await store.compare_and_swap("k", 0, bytes(1_000_001), timeout_s=1),
        reason_lib.Reason.BODY_TOO_LARGE,
    )
    assert not server.calls


async def test_an_ended_lease_deletes_its_keys(store, server):
    lease = await store.grant_lease(60, timeout_s=_TIMEOUT_S)
    await _put(store, "k", lease_id=lease)
    assert await store.keep_alive(lease, timeout_s=_TIMEOUT_S) == 60
    await server.inject(expire_leases=True)
    assertions.assert_refused(
        await store.keep_alive(lease, timeout_s=_TIMEOUT_S),
        reason_lib.Reason.NOT_FOUND,
    )
    assert (await store.get("k", timeout_s=_TIMEOUT_S)).entries == ()
    assert await store.revoke_lease(lease, timeout_s=_TIMEOUT_S) is None
    assertions.assert_refused(
        await store.compare_and_swap(
            "k", 0, b"v", lease_id=lease, timeout_s=_TIMEOUT_S
        ),
        reason_lib.Reason.NOT_FOUND,
    )


async def test_a_watch_starts_at_its_revision_and_reports_deletions(store):
    await _put(store, "a/0")
    first = await _put(store, "a/1", b"one")
    await _put(store, "b/1")
    watch = store.watch("a/", first.revision)
    assert await anext(watch) == kv_store.WatchEvent(
        "a/1", b"one", first.revision
    )
    deleted = await _put(store, "a/1", None, first.revision)
    assert await anext(watch) == kv_store.WatchEvent(
        "a/1", None, deleted.revision
    )
    await watch.aclose()


async def _next_or_end(watch):
    return await asyncio.wait_for(anext(watch, None), _TIMEOUT_S)


@pytest.mark.parametrize(
    "fault",
    [
        {"drop_watches": True},
        {"stall_watches": True},
        {"silence_open_connections": True},
        {"frozen": True},
        {"outage": "refuse"},
    ],
    ids=str,
)
async def test_a_lost_watch_ends(store, server, fault):
    first = await _put(store, "a/1")
    watch = store.watch("a/", first.revision)
    assert (await anext(watch)).key == "a/1"
    await server.inject(**fault)
    assert await _next_or_end(watch) is None


async def test_a_watch_from_a_compacted_revision_ends(store, server):
    first = await _put(store, "a/1")
    server.state.compacted = first.revision
    watch = store.watch("a/", first.revision)
    assert await _next_or_end(watch) is None


async def test_an_idle_healthy_watch_stays_open(store, server):
    watch = store.watch("a/", 0)
    pending = asyncio.create_task(anext(watch, None))
    done, _ = await asyncio.wait([pending], timeout=_SHORT_TIMEOUT_S * 3)
    assert not done
    assert server.calls["/v3/watch"] == 1
    pending.cancel()


@pytest.mark.parametrize("mode", ["close", "hang"])
async def test_a_lost_reply_is_a_timeout_although_the_write_happened(
    store, server, mode
):
    await server.inject(lose_replies=1, lost_reply=mode)
    refused = assertions.assert_refused(
        await store.compare_and_swap("k", 0, b"v", timeout_s=_SHORT_TIMEOUT_S),
        reason_lib.Reason.TIMEOUT,
    )
    assert refused.run is run_state.RunState.UNKNOWN
    found = await store.get("k", timeout_s=_TIMEOUT_S)
    assert found.entries[0].value == b"v"
    assert server.calls["/v3/kv/txn"] == 1


async def test_a_refused_connection_is_unavailable(store, server):
    await server.inject(outage="refuse")
    assertions.assert_refused(
        await store.compare_and_swap("k", 0, b"v", timeout_s=_TIMEOUT_S),
        reason_lib.Reason.UNAVAILABLE,
    )
    await server.inject(outage="")
    assert (await _put(store, "k")).succeeded


async def test_a_hanging_service_is_a_timeout(store, server):
    await server.inject(outage="hang")
    assertions.assert_refused(
        await store.get("k", timeout_s=_SHORT_TIMEOUT_S),
        reason_lib.Reason.TIMEOUT,
    )


async def test_connections_that_stopped_responding_are_never_used_again(
    store, server
):
    await asyncio.gather(
        *(store.get(str(i), timeout_s=_TIMEOUT_S) for i in range(8))
    )
    await server.inject(silence_open_connections=True)
    # Several idle connections no longer respond; only the first call may fail.
    assertions.assert_refused(
        await store.get("k", timeout_s=_SHORT_TIMEOUT_S),
        reason_lib.Reason.TIMEOUT,
    )
    for _ in range(8):
        found = await store.get("k", timeout_s=_TIMEOUT_S)
        assert isinstance(found, kv_store.ReadResult)
