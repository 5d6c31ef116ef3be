"""Collects the inputs of the placement planner from the platform."""

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import re

import attrs

from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import kv_store
from hibiscuspass.backends import vm_list as vm_list_lib
from hibiscuspass.backends import weight_store as weight_store_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import record as config_record
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.placement import desired
from hibiscuspass.core.placement import planner
from hibiscuspass.telemetry import logs

_log = logs.get_logger(__name__)

# Engines whose load is read before each plan, in rotation. Limits the control
# traffic.
_LOAD_READS_PER_PLAN = 80
# Weight of the newest load report in the average.
_LOAD_GAIN = 0.3


@attrs.frozen
class PlannerInputs:
    """Arguments of `planner.plan`."""

    engines: tuple[planner.EngineInfo, ...]
    models: tuple[planner.ModelDemand, ...]
    adapters: tuple[planner.AdapterDemand, ...]


class DemandSource:
    """Reads the VM list, weights, workspaces, and loads and states of engines.

    If a source can't be read, its last values are kept. There are no planner
    inputs until the VM list, the weights and the workspaces have been read, so
    that an incomplete plan doesn't unload models.
    """

    def __init__(
        self,
        store: kv_store.KvStore,
        vm_list: vm_list_lib.VmList,
        weight_store: weight_store_lib.WeightStore,
        engines: Mapping[str, engine_lib.Engine],
        *,
        kv_timeout_s: float,
        timeout_s: float,
    ) -> None:
        self._store = store
        self._vm_list = vm_list
        self._weight_store = weight_store
        self._engines = engines
        self._kv_timeout_s = kv_timeout_s
        self._timeout_s = timeout_s
        self._listed_engines: tuple[vm_list_lib.Vm, ...] | None = None
        self._available_weights: (
            tuple[weight_store_lib.WeightInfo, ...] | None
        ) = None
        self._workspaces: tuple[workspace_lib.Workspace, ...] | None = None
        self._mean_requests: dict[str, float] = {}
        self._loaded_models: dict[str, tuple[str, ...]] = {}
        self._reported_states: dict[str, desired.DesiredState] = {}
        self._next_load_index = 0

    async def read_vm_list(self) -> tuple[vm_list_lib.Vm, ...]:
        """Reads the VM list and returns the engines in it."""
        listed = await self._vm_list.fetch(timeout_s=self._timeout_s)
        if not isinstance(listed, refusal.Refusal):
            self._listed_engines = tuple(
                vm for vm in listed if vm.role is vm_list_lib.VmRole.ENGINE
            )
        return self._listed_engines or ()

    async def read_demand(self) -> None:
        """Reads the available weights and the enabled workspaces."""
        available = await self._weight_store.list_weights(
            timeout_s=self._timeout_s
        )
        if not isinstance(available, refusal.Refusal):
            self._available_weights = available
        stored = await self._store.get_prefix(
            keys.WORKSPACES, timeout_s=self._kv_timeout_s
        )
        if isinstance(stored, refusal.Refusal):
            return
        records = [config_record.decode(e.value) for e in stored.entries]
        self._workspaces = tuple(
            r.workspace
            for r in records
            if isinstance(r, config_record.Record) and r.workspace.enabled
        )

    async def read_engines(self, recorded: Iterable[str]) -> None:
        """Reads some loads in rotation and the states of unrecorded engines.

        Args:
          recorded: Names of the engines that have a placement record.
        """
        names = sorted(self._engines)
        count = min(_LOAD_READS_PER_PLAN, len(names))
        picked = [
            names[(self._next_load_index + i) % len(names)]
            for i in range(count)
        ]
        self._next_load_index += count
        unknown = set(names) - set(recorded) - self._reported_states.keys()
        await asyncio.gather(
            *(self._read_load(name) for name in picked),
            *(self._read_state(name) for name in unknown),
        )

    def planner_inputs(
        self, records: Mapping[str, desired.PlacementRecord]
    ) -> PlannerInputs | None:
        """Returns the planner inputs, or None if a source was never read."""
        if (
            self._listed_engines is None
            or not self._available_weights
            or not self._workspaces
        ):
            return None
        engines = []
        for vm in self._listed_engines:
            record = records.get(vm.name)
            current = (
                record.desired if record else self._reported_states.get(vm.name)
            )
            if current is None:
                # The loaded models of this engine are unknown, so an order
                # might unload them.
                continue
            engines.append(
                planner.EngineInfo(
                    vm.name,
                    vm.failure_domain,
                    leaving=vm.state is vm_list_lib.VmState.LEAVING,
                    current=current,
                )
            )
        return PlannerInputs(
            tuple(engines), self._model_demands(), self._adapter_demands()
        )

    def _model_demands(self) -> tuple[planner.ModelDemand, ...]:
        used_models = {m for w in self._workspaces or () for m in w.models}
        requests: collections.Counter[str] = collections.Counter()
        for name, load in self._mean_requests.items():
            models = self._loaded_models.get(name, ())
            for model in models:
                requests[model] += load / len(models)  # type: ignore[assignment]
        versions = sorted(
            self._available_weights or (),
            key=lambda w: (w.model, version_key(w.version)),
        )
        demands = []
        for model, group in itertools.groupby(versions, lambda w: w.model):
            weight_infos = tuple(group)
            demands.append(
                planner.ModelDemand(
                    model=model,
                    version=weight_infos[-1].version,
                    size_bytes=max(w.size_bytes for w in weight_infos),
                    requests=requests[model],
                    is_used=model in used_models,
                    available_versions=frozenset(
                        w.version for w in weight_infos
                    ),
                )
            )
        return tuple(demands)

    def _adapter_demands(self) -> tuple[planner.AdapterDemand, ...]:
        models: dict[str, set[str]] = {}
        for workspace in self._workspaces or ():
            for adapter in workspace.adapters:
                models.setdefault(adapter, set()).update(workspace.models)
        return tuple(
            planner.AdapterDemand(a, frozenset(m))
            for a, m in sorted(models.items())
        )

    async def _read_load(self, name: str) -> None:
        report = await self._engines[name].load_report(
            timeout_s=self._timeout_s
        )
        if isinstance(report, refusal.Refusal):
            return
        current_requests = float(report.running + report.waiting)
        previous = self._mean_requests.get(name, current_requests)
        self._mean_requests[name] = previous + _LOAD_GAIN * (
            current_requests - previous
        )
        self._loaded_models[name] = report.models

    async def _read_state(self, name: str) -> None:
        state = await self._engines[name].state(timeout_s=self._timeout_s)
        if isinstance(state, refusal.Refusal):
            _log.warning(
                "engine state not read; leaving the engine out of the plan",
                backend=name,
                reason=state.reason.value,
            )
            return
        self._reported_states[name] = desired.DesiredState(
            dict(state.models), tuple(sorted(state.adapters)), state.role
        )

    def forget(self, name: str) -> None:
        """Forgets an engine that is no longer in the VM list."""
        for by_name in (
            self._mean_requests,
            self._loaded_models,
            self._reported_states,
        ):
            by_name.pop(name, None)


def version_key(version: str) -> tuple[tuple[int, str], ...]:
    """Returns a sort key that compares numbers in versions: 9 before 10."""
    parts = re.findall(r"\d+|\D+", version)
    return tuple((int(p), "") if p.isdigit() else (-1, p) for p in parts)
