"""Tests of the coordinator program with its real adapters and stand-ins."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

import pytest
import pytest_asyncio

from hibiscuspass.backends import etcd_kv
from hibiscuspass.coordinator import demand_source
from hibiscuspass.coordinator import main as coordinator_main
from hibiscuspass.core import incarnation
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import workspace
from hibiscuspass.core.placement import leadership
from hibiscuspass.settings import coordinator as coordinator_settings
from hibiscuspass.settings import structure
from standins import engine
from standins import kv
from standins import platform

_POLLS = 600
_POLL_S = 0.05


class _System:
    def __init__(self) -> None:
        self.kv = kv.KvStandIn()
        self.engines = [
            engine.EngineStandIn(models={"draft": "1"}) for _ in range(3)
        ]
        self.platform = platform.PlatformStandIn(
            weights=[
                {"model": "draft", "version": "1", "size_bytes": 10},
                {"model": "orders", "version": "9", "size_bytes": 10},
                {"model": "orders", "version": "10", "size_bytes": 10},
            ],
            loads_per_s=20.0,
        )
        self.running: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        for standin in (self.kv, self.platform, *self.engines):
            await standin.start()
        for n, server in enumerate(self.engines):
            self.platform.set_vm(
                {
                    "name": f"e{n}",
                    "address": server.address,
                    "failure_domain": f"fd{n}",
                    "region": "r",
                    "role": "engine",
                }
            )
        store = etcd_kv.make_etcd_kv(self.kv.address)
        new = workspace.Workspace("discs", models=("draft", "orders"))
        await store.compare_and_swap(
            keys.workspace("discs"),
            0,
            record.encode(record.Record(new)),
            timeout_s=5.0,
        )
        await store.close()

    def start_coordinator(self, name: str) -> asyncio.Task[None]:
        cfg = structure.structure(
            {
                "process": {
                    "name": name,
                    "address": "127.0.0.1",
                    "failure_domain": "fd0",
                    "region": "r",
                },
                "listen": {"host": "127.0.0.1", "port": 1},
                "peer_link": {
                    "address": "127.0.0.1:1",
                    "fleet_key_file": "unused",
                },
                "key_value": {
                    "address": f"http://{self.kv.address}",
                    "calls_per_s": 100.0,
                },
                "vm_list": {"address": f"http://{self.platform.address}"},
                "weight_store": {"address": f"http://{self.platform.address}"},
                "lease_ttl_s": 1,
                "reconcile_interval_s": 0.1,
            },
            coordinator_settings.CoordinatorSettings,
        )
        assert isinstance(cfg, coordinator_settings.CoordinatorSettings), cfg
        coordinator = coordinator_main.CoordinatorProgram(
            cfg,
            b"k" * 32,
            incarnation.Incarnation(name, "a"),
            plan_interval_s=0.2,
        )
        task = asyncio.create_task(coordinator.run_tasks())
        self.running.append(task)
        return task

    def leader(self) -> str:
        entry = self.kv.state.get(leadership.LEADER_KEY.encode())
        return entry.value.decode().partition("/")[0] if entry else ""

    def count_engines_with(self, model: str, version: str) -> int:
        return sum(e.orders.models.get(model) == version for e in self.engines)

    async def stop(self) -> None:
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
        for standin in (self.kv, self.platform, *self.engines):
            await standin.stop()


@pytest_asyncio.fixture
async def system() -> AsyncIterator[_System]:
    system = _System()
    await system.start()
    yield system
    await system.stop()


async def _wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(_POLLS):
        if condition():
            return
        await asyncio.sleep(_POLL_S)
    raise AssertionError("condition not reached")


async def test_models_are_placed_and_the_standby_takes_over(system):
    """Guards against models that stay unplaced or are lost with a leader.

    After the leader stops, a delayed order of its term unloads the models of an
    engine that ignores fencing tokens. The new leader must load them again.
    """
    first = system.start_coordinator("first")
    await _wait_until(lambda: system.leader() == "first")
    await _wait_until(lambda: system.count_engines_with("orders", "10") == 2)
    assert system.count_engines_with("draft", "1") == 3
    second = system.start_coordinator("second")
    first.cancel()
    await _wait_until(lambda: system.leader() == "second")

    await system.engines[0].inject(ignore_fence=True)
    stale = {
        "fence": 1,
        "generation": 1,
        "models": {},
        "adapters": [],
        "role": "serve",
    }
    system.engines[0].orders.apply(stale, check_fence=False)
    await _wait_until(lambda: system.count_engines_with("draft", "1") == 3)
    await _wait_until(lambda: system.count_engines_with("orders", "10") == 2)
    assert not second.done()


async def test_leaving_engine_drains_and_its_model_is_replaced(system):
    """Guards against the loss of a replica when an engine leaves."""
    system.start_coordinator("first")
    await _wait_until(lambda: system.count_engines_with("orders", "10") == 2)
    index = next(
        n
        for n, e in enumerate(system.engines)
        if e.orders.models.get("orders") == "10"
    )
    system.platform.leave_vm(f"e{index}")
    await _wait_until(lambda: system.engines[index].orders.role == "drain")
    await _wait_until(lambda: system.count_engines_with("orders", "10") == 3)


async def test_nothing_is_unloaded_while_the_demand_is_unknown(system):
    """Guards against unloading all models because of an empty plan.

    The list of weights is empty, as if the weight store could not be read.
    """
    system.platform.weights = []
    system.start_coordinator("first")
    await _wait_until(lambda: system.leader() == "first")
    for _ in range(40):
        await asyncio.sleep(_POLL_S)
    assert system.count_engines_with("draft", "1") == 3
    assert all(not e.order_log for e in system.engines)


@pytest.mark.parametrize(
    ("older", "newer"), [("9", "10"), ("1.9", "1.10"), ("a1", "a2")]
)
def test_versions_are_ordered_by_their_numbers(older, newer):
    """Guards against loading version 9 instead of 10 in text order."""
    assert demand_source.version_key(older) < demand_source.version_key(newer)
