"""Builds a router from its settings, and starts and stops it."""

from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Any
import uuid

import prometheus_client

from hibiscuspass.backends import adapters
from hibiscuspass.backends import engine
from hibiscuspass.backends import kv_client
from hibiscuspass.backends import prompt_blocks
from hibiscuspass.backends import service
from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation
from hibiscuspass.core.admission import byte_budget
from hibiscuspass.core.admission import factory as admission_factory
from hibiscuspass.core.budget import messages as budget_messages
from hibiscuspass.core.routing import factory as routing_factory
from hibiscuspass.peers import pynng_transport
from hibiscuspass.router import admission_gate
from hibiscuspass.router import backend_pool
from hibiscuspass.router import budget_runtime
from hibiscuspass.router import caller_api
from hibiscuspass.router import claims
from hibiscuspass.router import config_runtime
from hibiscuspass.router import engine_monitor
from hibiscuspass.router import fleet_runtime
from hibiscuspass.router import lifecycle
from hibiscuspass.router import loading_config
from hibiscuspass.router import metrics
from hibiscuspass.router import part_configs
from hibiscuspass.router import parts as parts_lib
from hibiscuspass.router import reserve_keeper
from hibiscuspass.router import retry_runtime
from hibiscuspass.settings import router as router_settings
from hibiscuspass.settings import tls
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib
from hibiscuspass.telemetry import timeline

_log = logs.get_logger(__name__)

# Longer common prefixes are rare, and hashing blocks the event loop and so all
# streams.
_MAX_PREFIX_BYTES = 128 * 1024
# Fraction of the shutdown grace period that is reserved for flushing billing
# records and returning grants, and its upper bound.
_DRAIN_FRACTION = 0.25
_MAX_DRAIN_S = 15.0
# Time for interrupted streams to send an error event.
_INTERRUPT_S = 1.0


class RouterProcess:
    """A router process with all its components."""

    def __init__(
        self, cfg: router_settings.RouterSettings, fleet_key: bytes
    ) -> None:
        self._cfg = cfg
        self.process = incarnation.Incarnation(
            cfg.process.name, uuid.uuid4().hex[:12]
        )
        logs.configure(cfg.logging, str(self.process))
        self._recorder = recorder_lib.Recorder(self.process)
        registry = prometheus_client.REGISTRY
        self._transport = pynng_transport.make_transport(
            self.process,
            cfg.peer_link.address,
            fleet_key,
            self._recorder,
            message_types=budget_messages.REPLY_TYPES,
            metrics_registry=registry,
        )
        timeline.register_timeline(
            self._transport, self._recorder, self.process
        )
        make_store = adapters.KV_STORES[cfg.key_value.adapter]
        self._store = make_store(cfg.key_value.address)
        self._kv = kv_client.make_kv_client(
            self._store,
            calls_per_s=cfg.key_value.calls_per_s,
            burst=cfg.key_value.burst,
            metrics_registry=registry,
        )
        self._vms = adapters.VM_LISTS[cfg.vm_list.adapter](cfg.vm_list.address)
        self._fleet = self._make_fleet()
        self._config = self._make_config()
        self._loading_config = loading_config.LoadingConfig(self._config)
        self._budget = self._make_budget()
        self._reserves = reserve_keeper.ReserveKeeper(
            self._config, self._config.changes(), self._budget.keep_reserves
        )
        self._backends = backend_pool.BackendPool(
            self._fleet, self._make_engine, self._make_service
        )
        self._routing = routing_factory.make_routing_policy(
            part_configs.routing(cfg, part_configs.random_seed())
        )
        self._monitor = engine_monitor.EngineMonitor(
            self._fleet,
            self._backends,
            self._routing,
            failure_domain=cfg.process.failure_domain,
            region=cfg.process.region,
            poll_interval_s=cfg.routing.load_poll_interval_s,
            report_backend=self._fleet.report_backend,
        )
        self._lifecycle = lifecycle.Lifecycle(
            lambda: self._config.is_ready() and self._monitor.is_ready()
        )
        self._metrics = metrics.RouterMetrics(registry)
        self._metrics.add_gauge(
            "hibiscuspass_open_calls",
            "Calls in progress.",
            lambda: self._lifecycle.open_calls,
        )
        self._api = caller_api.CallerApi(self._make_parts())

    def _make_fleet(self) -> fleet_runtime.FleetRuntime:
        cfg = self._cfg
        return fleet_runtime.make_fleet_runtime(
            part_configs.membership(cfg),
            self.process,
            self._transport,
            self._vms,
            peer_address=cfg.peer_link.address,
            failure_domain=cfg.process.failure_domain,
            region=cfg.process.region,
            recorder=self._recorder,
        )

    def _make_config(self) -> config_runtime.ConfigRuntime:
        cfg = self._cfg
        return config_runtime.make_config_runtime(
            process=self.process,
            place=cfg.process,
            peer_address=cfg.peer_link.address,
            store=self._kv.view("config", kv_client.Priority.NORMAL),
            transport=self._transport,
            fleet=self._fleet,
            recorder=self._recorder,
            cfg=cfg.config,
            kv_timeout_s=cfg.key_value.timeout_s,
            metrics_registry=prometheus_client.REGISTRY,
        )

    def _make_budget(self) -> budget_runtime.BudgetRuntime:
        return budget_runtime.make_budget_runtime(
            self.process,
            kv=self._kv.view("budget", kv_client.Priority.FOREGROUND),
            transport=self._transport,
            fleet=self._fleet,
            config=self._loading_config,
            recorder=self._recorder,
            timing=part_configs.budget_timing(self._cfg),
        )

    def _make_parts(self) -> parts_lib.Parts:
        cfg = self._cfg
        limits = part_configs.caller_limits(cfg)
        bodies = byte_budget.ByteBudget(part_configs.body_budget(cfg))
        self._metrics.held_bytes.set_function(lambda: bodies.held)
        return parts_lib.Parts(
            config=self._config,
            budget=self._budget,
            routing=self._routing,
            admission=admission_gate.AdmissionGate(
                admission_factory.make_admission_controller(
                    part_configs.admission(cfg)
                )
            ),
            retries=retry_runtime.make_retry_policy(
                cfg.retry, random.Random(part_configs.random_seed())
            ),
            backends=self._backends,
            claims=claims.ClaimStore(
                self._kv.view("claims", kv_client.Priority.FOREGROUND),
                self._lifecycle,
                timeout_s=limits.claim_timeout_s,
            ),
            lifecycle=self._lifecycle,
            recorder=self._recorder,
            metrics=self._metrics,
            models=part_configs.models(cfg),
            services=part_configs.services(cfg),
            limits=limits,
            hash_prefix=_hash_prefix,
            report_backend=self._fleet.report_backend,
            bodies=bodies,
        )

    def _make_engine(self, vm: vm_list.Vm) -> engine.Engine:
        make = adapters.ENGINES[self._cfg.backends.engine_adapter]
        return make(vm.name, vm.address)

    def _make_service(self, vm: vm_list.Vm) -> service.Service:
        make = adapters.SERVICES[self._cfg.backends.service_adapter]
        return make(vm.name, vm.address)

    async def start(self) -> None:
        """Starts all components, the caller API last.

        Raises:
          OSError: A port can't be bound or a TLS file can't be read.
        """
        await self._transport.start()
        await self._fleet.start()
        await self._config.start()
        self._budget.start()
        await self._monitor.start()
        listen = self._cfg.listen
        await self._api.start(
            listen.host, listen.port, tls.make_server_context(listen.tls)
        )
        self._recorder.emit("router.started")
        _log.info("router started", port=self._api.port)

    async def stop(self, grace_s: float) -> bool:
        """Stops gracefully within a time limit.

        The caller API stays open until the budget is drained, so that new
        callers get a refusal which says that their request was not run.

        Args:
          grace_s: Time for open calls to complete and for the budget to be
            drained, in seconds.

        Returns:
          Whether all billing records were flushed and all grants returned.
        """
        self._lifecycle.begin_stop()
        self._fleet.set_leaving()
        self._recorder.emit("router.stopping")
        _log.info("router stopping", open_calls=self._lifecycle.open_calls)
        drain_s = min(_DRAIN_FRACTION * grace_s, _MAX_DRAIN_S)
        completed = await self._lifecycle.finish(
            timeout_s=max(grace_s - drain_s - _INTERRUPT_S, 0.0),
            cut_s=_INTERRUPT_S,
        )
        self._reserves.close()
        flushed = await self._budget.drain(timeout_s=drain_s)
        await self._api.close()
        await self._monitor.close()
        await self._budget.close()
        await self._loading_config.close()
        await self._config.stop()
        await self._fleet.close()
        await self._backends.close()
        await self._vms.close()
        await self._transport.close()
        await self._store.close()
        _log.info("router stopped", completed=completed, flushed=flushed)
        return flushed


def _hash_prefix(body: Mapping[str, Any]) -> Sequence[int]:
    prompt = prompt_blocks.prompt_bytes(body)
    return prompt_blocks.block_hashes(prompt[:_MAX_PREFIX_BYTES])
