"""Guards control programs over real links against the stand-ins."""

import asyncio
import contextlib
import signal

import attrs
import pytest

from hibiscuspass.admin import change_status
from hibiscuspass.admin import config_store
from hibiscuspass.admin import main as admin_main
from hibiscuspass.backends import etcd_kv
from hibiscuspass.backends import http_vm_list
from hibiscuspass.core import incarnation
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.peers import pynng_transport
from hibiscuspass.router import config_runtime
from hibiscuspass.settings import admin as admin_settings
from hibiscuspass.settings import config_sync
from hibiscuspass.settings import process as process_lib
from hibiscuspass.settings import secrets
from hibiscuspass.settings import structure
from hibiscuspass.telemetry import recorder as recorder_lib
from standins import kv
from standins import platform
from tests import config_fakes

_FLEET_KEY = bytes(range(32))
_LOCAL = "127.0.0.1:0"
# Bounds a wait by the number of looks, for slow machines as well.
_MAX_LOOKS = 400
_LOOK_S = 0.05


async def _eventually(condition):
    for _ in range(_MAX_LOOKS):
        if condition():
            return
        await asyncio.sleep(_LOOK_S)
    raise AssertionError("the condition did not come true")


@attrs.define
class _Router:
    runtime: config_runtime.ConfigRuntime
    transport: pynng_transport.PynngTransport
    etcd: etcd_kv.EtcdKv

    async def close(self):
        await self.runtime.abort()
        await self.transport.close()
        await self.etcd.close()


class _System:
    """Stand-ins of the platform and routers on real peer links."""

    def __init__(self):
        self.kv = kv.KvStandIn(host="127.0.0.1", port=0)
        self.platform = platform.PlatformStandIn(host="127.0.0.1", port=0)
        self.fleet = config_fakes.FakeFleet()
        self.routers = []
        process = incarnation.Incarnation("admin", "1")
        self.transport = pynng_transport.make_transport(
            process, _LOCAL, _FLEET_KEY, recorder_lib.Recorder(process)
        )

    async def start(self):
        await self.kv.start()
        await self.platform.start()
        self.etcd = etcd_kv.make_etcd_kv(self.kv.address)
        self.vms = http_vm_list.make_http_vm_list(self.platform.address)
        self.configs = config_store.ConfigStore(self.etcd, 1.0)
        self.tracker = change_status.ChangeTracker(
            self.etcd, self.vms, self.transport, 1.0, 1.0
        )

    async def stop(self):
        for router in self.routers:
            await router.close()
        await self.transport.close()
        await self.vms.close()
        await self.etcd.close()
        await self.platform.stop()
        await self.kv.stop()

    async def start_router(self, name):
        process = incarnation.Incarnation(name, "1")
        recorder = recorder_lib.Recorder(process)
        transport = pynng_transport.make_transport(
            process, _LOCAL, _FLEET_KEY, recorder
        )
        await transport.start()
        etcd = etcd_kv.make_etcd_kv(self.kv.address)
        runtime = config_runtime.make_config_runtime(
            process=process,
            place=process_lib.ProcessSettings(name, "127.0.0.1", "d", "r"),
            peer_address=transport.address,
            store=etcd,
            transport=transport,
            fleet=self.fleet,
            recorder=recorder,
            cfg=config_sync.ConfigSyncSettings(
                poll_interval_s=0.1, retry_interval_s=0.1
            ),
            kv_timeout_s=0.5,
        )
        router = _Router(runtime, transport, etcd)
        self.routers.append(router)
        self.fleet.routers += (
            config_fakes.make_router_member(str(process), transport.address),
        )
        await runtime.start()
        return runtime

    async def write(self, priority, seen=0):
        ws = workspace_lib.Workspace("bakery", priority=priority)
        return await self.configs.workspaces.put(
            "bakery", seen, record.Record(ws, "ines")
        )


@pytest.fixture
async def system():
    made = _System()
    await made.start()
    yield made
    await made.stop()


async def test_a_change_reaches_routers_by_watch_and_is_accepted(system):
    routers = [await system.start_router(n) for n in ("a", "b")]
    stored = await system.write(1)
    for router in routers:
        assert (await router.load("bakery")).priority == 1
    changed = await system.write(2, stored.revision)
    await _eventually(
        lambda: all(r.workspace("bakery").priority == 2 for r in routers)
    )
    status = await system.tracker.check("bakery", changed.revision)
    assert status.accepted, status
    assert [r.process for r in status.routers] == ["a/1", "b/1"]


async def test_a_router_starts_from_a_peer_during_an_outage(system):
    first = await system.start_router("a")
    stored = await system.write(1)
    await first.load("bakery")
    await system.kv.inject(outage="refuse")
    second = await system.start_router("b")
    assert second.is_ready()
    assert (await second.load("bakery")).priority == 1
    await system.kv.inject(outage="")
    changed = await system.write(2, stored.revision)
    status = await system.tracker.check("bakery", changed.revision)
    assert status.accepted, status
    assert "b/1" in [r.process for r in status.routers]
    await _eventually(lambda: second.workspace("bakery").priority == 2)


async def test_a_lost_watch_is_opened_again(system):
    router = await system.start_router("a")
    stored = await system.write(1)
    await router.load("bakery")
    await system.kv.inject(outage="refuse")
    await system.kv.inject(outage="")
    await system.write(2, stored.revision)
    await _eventually(lambda: router.workspace("bakery").priority == 2)


async def test_the_administration_program_starts_and_stops(system, tmp_path):
    token, operator = secrets.make_operator_token("ines")
    del token
    process = incarnation.Incarnation("admin-a", "1")
    cfg = structure.structure(
        {
            "process": {
                "name": "admin-a",
                "address": "127.0.0.1",
                "failure_domain": "d",
                "region": "r",
            },
            "listen": {"host": "127.0.0.1", "port": 18991},
            "peer_link": {
                "address": "127.0.0.1:18992",
                "fleet_key_file": "unused",
            },
            "key_value": {"address": f"http://{system.kv.address}"},
            "vm_list": {"address": f"http://{system.platform.address}"},
            "operators_file": "unused",
        },
        admin_settings.AdminSettings,
    )
    assert isinstance(cfg, admin_settings.AdminSettings), cfg
    program = admin_main.Admin(
        cfg, admin_settings.Operators((operator,)), _FLEET_KEY, process
    )
    task = asyncio.create_task(program.run())
    await _eventually(lambda: program.is_ready)
    signal.raise_signal(signal.SIGTERM)
    await task
    assert not program.is_ready
    with contextlib.suppress(NotImplementedError):
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
