"""Guards the VM list and weight store adapters against outages and bad data."""

import pytest

from hibiscuspass.backends import http_vm_list
from hibiscuspass.backends import http_weight_store
from hibiscuspass.backends import vm_list
from hibiscuspass.backends import weight_store
from hibiscuspass.core import reason as reason_lib
from standins import platform
from tests import assertions

_TIMEOUT_S = 10.0
_SHORT_TIMEOUT_S = 0.2
_VM = {
    "name": "router-1",
    "address": "127.0.0.1:9000",
    "failure_domain": "fd-1",
    "region": "region-1",
    "role": "router",
    "state": "live",
}
_WEIGHT = {"model": "model-a", "version": "2", "size_bytes": 10}


class _Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
async def server(started, clock):
    return await started(
        platform.PlatformStandIn(
            vms=[dict(_VM)],
            weights=[_WEIGHT],
            loads_per_s=0.5,
            load_burst=2,
            monotonic_s=clock,
        )
    )


@pytest.fixture
async def vms(started, server):
    return await started(http_vm_list.make_http_vm_list(server.address))


@pytest.fixture
async def store(started, server):
    return await started(
        http_weight_store.make_http_weight_store(server.address)
    )


async def test_the_list_reports_live_leaving_and_removed_vms(vms, server):
    listed = await vms.fetch(timeout_s=_TIMEOUT_S)
    assert listed == (
        vm_list.Vm(
            "router-1",
            "127.0.0.1:9000",
            "fd-1",
            "region-1",
            vm_list.VmRole.ROUTER,
            vm_list.VmState.LIVE,
        ),
    )
    server.leave_vm("router-1")
    (leaving,) = await vms.fetch(timeout_s=_TIMEOUT_S)
    assert leaving.state is vm_list.VmState.LEAVING
    server.drop_vm("router-1")
    assert await vms.fetch(timeout_s=_TIMEOUT_S) == ()


async def test_a_lagging_list_returns_an_earlier_state(vms, server, clock):
    await server.inject(list_lag_s=30.0)
    clock.now_s = 100.0
    server.drop_vm("router-1")
    clock.now_s = 129.0
    assert len(await vms.fetch(timeout_s=_TIMEOUT_S)) == 1
    clock.now_s = 130.0
    assert await vms.fetch(timeout_s=_TIMEOUT_S) == ()


async def test_a_list_with_a_bad_entry_is_refused_as_a_whole(vms, server):
    server.set_vm({**_VM, "name": "router-2", "role": "unheard of"})
    # If the entry were skipped, the VM would appear to have been removed.
    assertions.assert_refused(
        await vms.fetch(timeout_s=_TIMEOUT_S), reason_lib.Reason.UNAVAILABLE
    )


async def test_loads_are_granted_at_the_stores_rate(store, server, clock):
    async def reserve():
        return await store.reserve_load("model-a", "2", timeout_s=_TIMEOUT_S)

    assert [await reserve() for _ in range(2)] == [None, None]
    refused = assertions.assert_refused(
        await reserve(), reason_lib.Reason.RATE_LIMITED
    )
    assert refused.retry_after_s == 2.0
    clock.now_s = 2.0
    assert await reserve() is None
    assert len(server.record()["loads"]) == 3


async def test_offered_weights_are_listed_and_others_not_found(store):
    assert await store.list_weights(timeout_s=_TIMEOUT_S) == (
        weight_store.WeightInfo("model-a", "2", 10),
    )
    assertions.assert_refused(
        await store.reserve_load("model-a", "9", timeout_s=_TIMEOUT_S),
        reason_lib.Reason.NOT_FOUND,
    )


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        ({"outage": "refuse"}, reason_lib.Reason.UNAVAILABLE),
        ({"outage": "hang"}, reason_lib.Reason.TIMEOUT),
        ({"frozen": True}, reason_lib.Reason.TIMEOUT),
    ],
    ids=str,
)
async def test_outages_are_refusals(vms, store, server, fault, reason):
    await server.inject(**fault)
    for outcome in (
        await vms.fetch(timeout_s=_SHORT_TIMEOUT_S),
        await store.list_weights(timeout_s=_SHORT_TIMEOUT_S),
        await store.reserve_load("model-a", "2", timeout_s=_SHORT_TIMEOUT_S),
    ):
        assertions.assert_refused(outcome, reason)
