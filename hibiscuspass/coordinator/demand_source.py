"""Gathers what the plan depends on from the platform."""

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

# Engines whose load is read per plan, in turn; bounds the control traffic.
_LOADS_PER_PLAN = 80
# Weight of the newest load report in the average.
_LOAD_GAIN = 0.3


@attrs.frozen
class Inputs:
    """Arguments of `planner.plan`."""

    engines: tuple[planner.EngineSlot, ...]
    models: tuple[planner.ModelDemand, ...]
    adapters: tuple[planner.AdapterDemand, ...]


class DemandSource:
    """Reads VM list, weights, workspaces, and the engines' load and state.

    What can't be read keeps its last value. Without a first value of each
    there are no inputs, so that nothing is unloaded by mistake.
    """

    def __init__(
        self,
        store: kv_store.KvStore,
        vms: vm_list_lib.VmList,
        weights: weight_store_lib.WeightStore,
        engines: Mapping[str, engine_lib.Engine],
        *,
        kv_timeout_s: float,
        timeout_s: float,
    ) -> None:
        self._store = store
        self._vms = vms
        self._weights = weights
        self._engines = engines
        self._kv_timeout_s = kv_timeout_s
        self._timeout_s = timeout_s
        self._listed: tuple[vm_list_lib.Vm, ...] | None = None
        self._offered: tuple[weight_store_lib.WeightInfo, ...] | None = None
        self._workspaces: tuple[workspace_lib.Workspace, ...] | None = None
        self._load: dict[str, float] = {}
        self._loaded: dict[str, tuple[str, ...]] = {}
        self._states: dict[str, desired.Desired] = {}
        self._turn = 0

    async def read_list(self) -> tuple[vm_list_lib.Vm, ...]:
        """Reads the VM list; returns the engines."""
        listed = await self._vms.fetch(timeout_s=self._timeout_s)
        if not isinstance(listed, refusal.Refusal):
            self._listed = tuple(
                vm for vm in listed if vm.role is vm_list_lib.VmRole.ENGINE
            )
        return self._listed or ()

    async def read_demand(self) -> None:
        """Reads the weights on offer and the workspaces."""
        offered = await self._weights.list_weights(timeout_s=self._timeout_s)
        if not isinstance(offered, refusal.Refusal):
            self._offered = offered
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

    async def read_engines(self, known: Iterable[str]) -> None:
        """Reads loads in turn, and the state of engines without a record."""
        names = sorted(self._engines)
        count = min(_LOADS_PER_PLAN, len(names))
        picked = [names[(self._turn + i) % len(names)] for i in range(count)]
        self._turn += count
        unknown = set(names) - set(known) - self._states.keys()
        await asyncio.gather(
            *(self._read_load(name) for name in picked),
            *(self._read_state(name) for name in unknown),
        )

    def inputs(self, records: Mapping[str, desired.Record]) -> Inputs | None:
        """Returns the inputs of the plan, None if something is unknown yet."""
        if self._listed is None or not self._offered or not self._workspaces:
            return None
        slots = []
        for vm in self._listed:
            record = records.get(vm.name)
            current = record.desired if record else self._states.get(vm.name)
            if current is None:
                # Its models are unknown; an order might unload them.
                continue
            slots.append(
                planner.EngineSlot(
                    vm.name,
                    vm.failure_domain,
                    leaving=vm.state is vm_list_lib.VmState.LEAVING,
                    current=current,
                )
            )
        return Inputs(tuple(slots), self._models(), self._adapters())

    def _models(self) -> tuple[planner.ModelDemand, ...]:
        wanted = {m for w in self._workspaces or () for m in w.models}
        requests: collections.Counter[str] = collections.Counter()
        for name, load in self._load.items():
            models = self._loaded.get(name, ())
            for model in models:
                requests[model] += load / len(models)  # type: ignore[assignment]
        versions = sorted(
            self._offered or (),
            key=lambda w: (w.model, version_key(w.version)),
        )
        demands = []
        for model, group in itertools.groupby(versions, lambda w: w.model):
            offered = tuple(group)
            demands.append(
                planner.ModelDemand(
                    model=model,
                    version=offered[-1].version,
                    size_bytes=max(w.size_bytes for w in offered),
                    requests=requests[model],
                    wanted=model in wanted,
                    offered=frozenset(w.version for w in offered),
                )
            )
        return tuple(demands)

    def _adapters(self) -> tuple[planner.AdapterDemand, ...]:
        models: dict[str, set[str]] = {}
        for workspace in self._workspaces or ():
            for adapter in workspace.adapters:
                models.setdefault(adapter, set()).update(workspace.models)
        return tuple(
            planner.AdapterDemand(a, frozenset(m))
            for a, m in sorted(models.items())
        )

    async def _read_load(self, name: str) -> None:
        report = await self._engines[name].load(timeout_s=self._timeout_s)
        if isinstance(report, refusal.Refusal):
            return
        now = float(report.running + report.waiting)
        old = self._load.get(name, now)
        self._load[name] = old + _LOAD_GAIN * (now - old)
        self._loaded[name] = report.models

    async def _read_state(self, name: str) -> None:
        state = await self._engines[name].state(timeout_s=self._timeout_s)
        if isinstance(state, refusal.Refusal):
            _log.warning(
                "engine state not read; leaving the engine out of the plan",
                backend=name,
                reason=state.reason.value,
            )
            return
        self._states[name] = desired.Desired(
            dict(state.models), tuple(sorted(state.adapters)), state.role
        )

    def forget(self, name: str) -> None:
        """Forgets an engine that is not listed any more."""
        for known in (self._load, self._loaded, self._states):
            known.pop(name, None)


def version_key(version: str) -> tuple[tuple[int, str], ...]:
    """Orders versions by their numbers, so that 10 comes after 9."""
    parts = re.findall(r"\d+|\D+", version)
    return tuple((int(p), "") if p.isdigit() else (-1, p) for p in parts)
