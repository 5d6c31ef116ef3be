"""Plans which engine serves which models, with few moves."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

from hibiscuspass.core.placement import config
from hibiscuspass.core.placement import desired


@attrs.frozen
class ModelDemand:
    """One model that the weight store offers.

    Attributes:
      model: Name.
      version: Version to load where none is loaded.
      size_bytes: Memory of its weights.
      requests: Requests in flight, averaged.
      wanted: Whether a workspace may use it. Other models stay where they are
        until their memory is needed.
      offered: Versions that may stay loaded.
    """

    model: str
    version: str
    size_bytes: int
    requests: float = 0.0
    wanted: bool = True
    offered: frozenset[str] = frozenset()


@attrs.frozen
class AdapterDemand:
    """One wanted adapter and the models it is used with."""

    adapter: str
    models: frozenset[str]


@attrs.frozen
class EngineSlot:
    """One engine that can be given models.

    Attributes:
      name: Name of the backend server.
      failure_domain: Its failure domain.
      leaving: Whether it must get no new work.
      current: Its desired state so far, None if it has none.
    """

    name: str
    failure_domain: str
    leaving: bool = False
    current: desired.Desired | None = None


def replicas_needed(
    demand: ModelDemand, engines: int, cfg: config.PlacementConfig
) -> int:
    """Returns the number of engines that should serve a model."""
    if not demand.wanted:
        return 0
    by_load = math.ceil(demand.requests / cfg.requests_per_engine)
    return min(engines, max(cfg.min_replicas, by_load))


class _Plan:
    def __init__(
        self,
        engines: Sequence[EngineSlot],
        demands: Mapping[str, ModelDemand],
        cfg: config.PlacementConfig,
    ) -> None:
        self.engines = {e.name: e for e in engines}
        self._demands = demands
        self._cfg = cfg
        # Models that are no longer wanted are left out; the others stay.
        self.placed = {
            e.name: set(e.current.models if e.current else ()) & demands.keys()
            for e in engines
        }
        for name in self.placed:
            self._fit(name)

    def _fit(self, name: str) -> None:
        """Drops models that a new version made too large."""
        for model in sorted(self.placed[name], key=self._size, reverse=True):
            if self.free_bytes(name) < 0:
                self.placed[name].discard(model)

    def _size(self, model: str) -> int:
        return self._demands[model].size_bytes

    def free_bytes(self, name: str) -> int:
        used = sum(self._size(m) for m in self.placed[name])
        return self._cfg.engine_memory_bytes - used

    def holders(self, model: str) -> list[str]:
        return sorted(n for n, models in self.placed.items() if model in models)

    def remove_surplus(self, model: str, needed: int) -> None:
        if not needed:
            return
        allowed = math.ceil(needed * self._cfg.surplus_factor)
        while len(self.holders(model)) > allowed:
            self.placed[self._most_replaceable(model)].discard(model)

    def _most_replaceable(self, model: str) -> str:
        holders = self.holders(model)
        domains = self._domains(holders)
        return max(
            holders,
            key=lambda n: (
                domains[self.engines[n].failure_domain],
                -self.free_bytes(n),
                n,
            ),
        )

    def _domains(self, names: Iterable[str]) -> collections.Counter[str]:
        return collections.Counter(
            self.engines[n].failure_domain for n in names
        )

    def add(self, model: str, needs: Mapping[str, int]) -> bool:
        """Adds one replica; returns False if no engine has room."""
        others = [n for n in self.placed if model not in self.placed[n]]
        domains = self._domains(self.holders(model))
        ranked = sorted(
            others,
            key=lambda n: (
                domains[self.engines[n].failure_domain],
                -self.free_bytes(n),
                n,
            ),
        )
        for name in ranked:
            if self.free_bytes(name) >= self._size(model):
                self.placed[name].add(model)
                return True
        return any(self._swap_in(name, model, needs) for name in ranked)

    def _swap_in(self, name: str, model: str, needs: Mapping[str, int]) -> bool:
        """Replaces models that have more replicas than they need."""
        spare = [
            m
            for m in sorted(self.placed[name], key=self._size)
            if len(self.holders(m)) > needs[m]
        ]
        removed: list[str] = []
        for other in spare:
            if self.free_bytes(name) >= self._size(model):
                break
            self.placed[name].discard(other)
            removed.append(other)
        if self.free_bytes(name) < self._size(model):
            self.placed[name].update(removed)
            return False
        self.placed[name].add(model)
        return True


def plan(
    engines: Sequence[EngineSlot],
    demands: Sequence[ModelDemand],
    adapters: Sequence[AdapterDemand],
    cfg: config.PlacementConfig,
) -> dict[str, desired.Desired]:
    """Returns the desired state of each engine.

    A model stays where it is as long as it is wanted and not far above its
    needed replicas. The first replica of each model comes before the second
    of any, so that under scarce memory every model that fits is served.
    """
    by_name = {d.model: d for d in demands}
    active = [e for e in engines if not e.leaving]
    state = _Plan(active, by_name, cfg)
    needs = {
        m: replicas_needed(d, len(active), cfg) for m, d in by_name.items()
    }
    for model, needed in needs.items():
        state.remove_surplus(model, needed)
    ranked = sorted(demands, key=lambda d: (-d.requests, d.model))
    for count in range(1, max(needs.values(), default=0) + 1):
        for demand in ranked:
            holders = len(state.holders(demand.model))
            if holders < min(count, needs[demand.model]):
                state.add(demand.model, needs)
    roles = _roles(state, needs, cfg)
    planned = {
        e.name: desired.Desired(
            models={
                m: _version(e, by_name[m]) for m in sorted(state.placed[e.name])
            },
            adapters=_adapters(state.placed[e.name], adapters, cfg),
            role=roles.get(e.name, desired.SERVE),
        )
        for e in active
    }
    # A leaving engine keeps its models, so that its streams can finish.
    for e in engines:
        if e.leaving and e.current is not None:
            planned[e.name] = attrs.evolve(e.current, role=desired.DRAIN)
    return planned


def _version(slot: EngineSlot, demand: ModelDemand) -> str:
    """Keeps a loaded version as long as it is offered."""
    current = slot.current.models.get(demand.model) if slot.current else None
    if current is not None and current in demand.offered:
        return current
    return demand.version


def _adapters(
    models: set[str],
    adapters: Sequence[AdapterDemand],
    cfg: config.PlacementConfig,
) -> tuple[str, ...]:
    usable = [a.adapter for a in adapters if a.models & models]
    return tuple(sorted(usable[: cfg.max_adapters]))


def _roles(
    state: _Plan, needs: Mapping[str, int], cfg: config.PlacementConfig
) -> dict[str, str]:
    """Splits roles on engines that serve a single model in great demand."""
    roles: dict[str, str] = {}
    if cfg.prefill_share <= 0:
        return roles
    for model in needs:
        holders = [n for n in state.holders(model) if len(state.placed[n]) == 1]
        if len(holders) < cfg.min_split_replicas:
            continue
        prefill = max(1, round(len(holders) * cfg.prefill_share))
        for index, name in enumerate(holders):
            roles[name] = desired.PREFILL if index < prefill else desired.DECODE
    return roles
