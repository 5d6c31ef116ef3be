"""The coordinator program, `hibiscuspass-coordinator`."""

import asyncio
import secrets as random_secrets
import sys
import time

import prometheus_client

from hibiscuspass.backends import adapters
from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import kv_client
from hibiscuspass.backends import vm_list as vm_list_lib
from hibiscuspass.coordinator import demand_source
from hibiscuspass.coordinator import shell as shell_lib
from hibiscuspass.core import incarnation
from hibiscuspass.core.placement import config as placement_config
from hibiscuspass.core.placement import coordinator
from hibiscuspass.core.placement import planner
from hibiscuspass.peers import pynng_transport
from hibiscuspass.settings import coordinator as coordinator_settings
from hibiscuspass.settings import program
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import http
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib
from hibiscuspass.telemetry import signals
from hibiscuspass.telemetry import timeline

_START_ID_BYTES = 4
# Weights and workspaces are read only before every sixth plan, because the
# workspaces can take megabytes.
_PLANS_PER_DEMAND_READ = 6
_PLAN_INTERVAL_S = 10.0
# Interval while this process doesn't lead or can't plan yet.
_RETRY_INTERVAL_S = 1.0

_log = logs.get_logger(__name__)


class CoordinatorProgram:
    """Connects the components of a coordinator process and runs them."""

    def __init__(
        self,
        cfg: coordinator_settings.CoordinatorSettings,
        fleet_key: bytes,
        process: incarnation.Incarnation,
        *,
        plan_interval_s: float = _PLAN_INTERVAL_S,
    ) -> None:
        self._cfg = cfg
        self._plan_interval_s = plan_interval_s
        recorder = recorder_lib.Recorder(process)
        registry = prometheus_client.CollectorRegistry()
        make_store = adapters.KV_STORES[cfg.key_value.adapter]
        self._key_value = make_store(cfg.key_value.address)
        store = kv_client.make_kv_client(
            self._key_value,
            calls_per_s=cfg.key_value.calls_per_s,
            burst=cfg.key_value.burst,
            purpose="coordinator",
            metrics_registry=registry,
        )
        self._vm_list = adapters.VM_LISTS[cfg.vm_list.adapter](
            cfg.vm_list.address
        )
        make_weights = adapters.WEIGHT_STORES[cfg.weight_store.adapter]
        self._weight_store = make_weights(cfg.weight_store.address)
        self._transport = pynng_transport.make_transport(
            process,
            cfg.peer_link.address,
            fleet_key,
            recorder,
            metrics_registry=registry,
        )
        timeline.register_timeline(self._transport, recorder, process)
        self._engines: dict[str, engine_lib.Engine] = {}
        self._addresses: dict[str, str] = {}
        self._coordinator = coordinator.Coordinator(
            str(process), cfg.lease_ttl_s, cfg.reconcile_interval_s
        )
        timeout_s = cfg.weight_store.timeout_s
        self._demand_source = demand_source.DemandSource(
            store,
            self._vm_list,
            self._weight_store,
            self._engines,
            kv_timeout_s=cfg.key_value.timeout_s,
            timeout_s=timeout_s,
        )
        self._executor = shell_lib.ActionExecutor(
            self._coordinator,
            store,
            self._weight_store,
            self._engines,
            recorder,
            kv_timeout_s=cfg.key_value.timeout_s,
            timeout_s=timeout_s,
        )
        leads = prometheus_client.Gauge(
            "hibiscuspass_coordinator_leads",
            "Whether this process believes that it leads.",
            registry=registry,
        )
        leads.set_function(lambda: float(self._coordinator.fence is not None))
        self._app = http.make_app(lambda: self._is_ready, registry)
        self._is_ready = False

    async def run(self) -> None:
        """Runs the coordinator and its HTTP server until a stop signal."""
        await self._transport.start()
        runner = await http.serve(self._app, self._cfg.listen)
        task = asyncio.create_task(self.run_tasks())
        self._is_ready = True
        _log.info("coordinator is ready", port=self._cfg.listen.port)
        try:
            await signals.wait_for_stop()
        finally:
            self._is_ready = False
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await runner.cleanup()
            await self._transport.close()
        _log.info("coordinator has stopped")

    async def run_tasks(self) -> None:
        """Runs leadership and planning, without listeners, until cancelled."""
        tasks = [
            asyncio.create_task(self._executor.run()),
            asyncio.create_task(self._plan_periodically()),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for engine in self._engines.values():
                await engine.close()
            await self._weight_store.close()
            await self._vm_list.close()
            await self._key_value.close()

    async def _plan_periodically(self) -> None:
        plans = 0
        while True:
            has_plan = False
            if self._coordinator.fence is not None:
                started_s = time.monotonic()
                try:
                    has_plan = await self._update_plan(
                        plans % _PLANS_PER_DEMAND_READ == 0
                    )
                except Exception:
                    # A failure of one plan must not end the loop.
                    _log.exception("planning failed")
                plans = plans + 1 if has_plan else 0
                _log.debug(
                    "planning finished", took_s=time.monotonic() - started_s
                )
            await asyncio.sleep(
                self._plan_interval_s if has_plan else _RETRY_INTERVAL_S
            )

    async def _update_plan(self, read_demand: bool) -> bool:
        """Sets a new plan; returns False if an input is still unknown."""
        await self._update_clients(await self._demand_source.read_vm_list())
        if read_demand:
            await self._demand_source.read_demand()
        records = self._coordinator.records()
        if records is None:
            return False
        await self._demand_source.read_engines(records)
        planner_inputs = self._demand_source.planner_inputs(records)
        if planner_inputs is None:
            return False
        self._coordinator.set_plan(
            planner.plan(
                planner_inputs.engines,
                planner_inputs.models,
                planner_inputs.adapters,
                placement_config.PlacementConfig(),
            )
        )
        return True

    async def _update_clients(self, listed: tuple[vm_list_lib.Vm, ...]) -> None:
        """Opens clients for new engines and closes those of removed ones.

        The client of an engine whose address changed is replaced.
        """
        addresses = {vm.name: vm.address for vm in listed}
        for name in [n for n in self._engines if n not in addresses]:
            self._demand_source.forget(name)
            await self._engines.pop(name).close()
        make_engine = adapters.ENGINES[self._cfg.backends.engine_adapter]
        for name, address in addresses.items():
            if self._addresses.get(name) != address and name in self._engines:
                await self._engines.pop(name).close()
            if name not in self._engines:
                self._engines[name] = make_engine(name, address)
        self._addresses = addresses


async def _start(cfg: coordinator_settings.CoordinatorSettings) -> int:
    process = incarnation.Incarnation(
        cfg.process.name, random_secrets.token_hex(_START_ID_BYTES)
    )
    logs.configure(cfg.logging, str(process))
    try:
        fleet_key = secrets.read_fleet_key(cfg.peer_link.fleet_key_file)
    except (OSError, ValueError) as exc:
        print(f"fleet key: {exc}", file=sys.stderr)
        return program.EXIT_BAD_SETTINGS
    await CoordinatorProgram(cfg, fleet_key, process).run()
    return program.EXIT_OK


def main() -> None:
    """Entry point of the program."""
    sys.exit(
        program.run_program(
            "hibiscuspass-coordinator",
            coordinator_settings.CoordinatorSettings,
            _start,
            asyncio.run,
        )
    )


if __name__ == "__main__":
    main()
