"""Administration parts and routers on real peer links with stand-ins."""

import asyncio

import attrs

from hibiscuspass.admin import change_status
from hibiscuspass.admin import config_store
from hibiscuspass.admin import ledger_store
from hibiscuspass.admin import report_gatherer
from hibiscuspass.backends import etcd_kv
from hibiscuspass.backends import http_vm_list
from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.peers import pynng_transport
from hibiscuspass.peers import request_transport
from hibiscuspass.router import budget_runtime
from hibiscuspass.router import config_runtime
from hibiscuspass.settings import config_sync
from hibiscuspass.settings import process as process_lib
from hibiscuspass.telemetry import recorder as recorder_lib
from standins import kv
from standins import platform
from tests import config_fakes

FLEET_KEY = bytes(range(32))
_LOCAL = "127.0.0.1:0"
# Waits are bounded by the number of polls instead of by time, so that a slow
# machine does not fail them.
_MAX_POLLS = 400
_POLL_INTERVAL_S = 0.05


async def eventually(condition):
    """Waits until a condition holds.

    Raises:
      AssertionError: The condition did not hold within all polls.
    """
    for _ in range(_MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise AssertionError("the condition did not come true")


@attrs.define
class Router:
    """The configuration and budget runtimes of one router."""

    runtime: config_runtime.ConfigRuntime
    transport: request_transport.RequestTransport
    etcd: etcd_kv.EtcdKv
    budgets: budget_runtime.BudgetRuntime

    async def close(self):
        await self.budgets.close()
        await self.runtime.abort()
        await self.transport.close()
        await self.etcd.close()


class System:
    """Stand-ins of key-value service and platform, and their routers."""

    def __init__(self):
        self.kv = kv.KvStandIn(host="127.0.0.1", port=0)
        self.platform = platform.PlatformStandIn(host="127.0.0.1", port=0)
        self.fleet = config_fakes.FakeFleet()
        self.routers = []
        process = incarnation.Incarnation("admin", "1")
        self.transport = pynng_transport.make_transport(
            process, _LOCAL, FLEET_KEY, recorder_lib.Recorder(process)
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

        self.ledgers = ledger_store.LedgerStore(
            self.etcd, incarnation.Incarnation("admin", "1"), 1.0
        )
        self.reports = report_gatherer.ReportGatherer(
            self.ledgers, self.etcd, self.vms, self.transport, 1.0, 2.0
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
            process,
            _LOCAL,
            FLEET_KEY,
            recorder,
            message_types=messages.MESSAGE_TYPES,
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
        budgets = budget_runtime.make_budget_runtime(
            process,
            kv=etcd,
            transport=transport,
            fleet=self.fleet,
            config=runtime,
            recorder=recorder,
        )
        router = Router(runtime, transport, etcd, budgets)
        self.routers.append(router)
        self.fleet.routers += (
            config_fakes.make_router_member(str(process), transport.address),
        )
        await runtime.start()
        budgets.start()
        return runtime

    async def write_workspace(self, priority, seen_revision=0):
        ws = workspace_lib.Workspace("bakery", priority=priority)
        return await self.configs.workspaces.put(
            "bakery", seen_revision, record.Record(ws, "ines")
        )
