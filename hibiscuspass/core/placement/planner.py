"""Plans which engine serves which models while moving few models."""

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
    """Demand for one model of the weight store.

    Attributes:
      model: Name of the model.
      version: Version to load on engines without a loaded version.
      size_bytes: Memory that the weights take.
      requests: Average number of requests in flight.
      is_used: Whether a workspace may use the model. Unused models stay loaded
        until their memory is needed.
      available_versions: Versions in the weight store; an engine keeps its
        loaded version if it is one of these.
    """

    model: str
    version: str
    size_bytes: int
    requests: float = 0.0
    is_used: bool = True
    available_versions: frozenset[str] = frozenset()


@attrs.frozen
class AdapterDemand:
    """An adapter that workspaces may use and the models it is used with."""

    adapter: str
    models: frozenset[str]


@attrs.frozen
class EngineInfo:
    """An engine to plan for.

    Attributes:
      name: Name of the backend server.
      failure_domain: Failure domain of the backend server.
      leaving: Whether the engine is leaving and must get no new work.
      current: Desired state of the previous plan, or the state that the engine
        reports; None if there is neither.
    """

    name: str
    failure_domain: str
    leaving: bool = False
    current: desired.DesiredState | None = None


def count_needed_replicas(
    demand: ModelDemand, engines: int, cfg: config.PlacementConfig
) -> int:
    """Returns the number of replicas that a model needs."""
    if not demand.is_used:
        return 0
    by_load = math.ceil(demand.requests / cfg.requests_per_engine)
    return min(engines, max(cfg.min_replicas, by_load))


class _PlanBuilder:
    """Assignment of models to engines while a plan is made."""

    def __init__(
        self,
        engines: Sequence[EngineInfo],
        demands: Mapping[str, ModelDemand],
        cfg: config.PlacementConfig,
    ) -> None:
        self.engines = {e.name: e for e in engines}
        self._demands = demands
        self._cfg = cfg
        # Models stay on their engines unless the weight store no longer has
        # them.
        self.models_by_engine = {
            e.name: set(e.current.models if e.current else ()) & demands.keys()
            for e in engines
        }
        for name in self.models_by_engine:
            self._drop_oversized_models(name)

    def _drop_oversized_models(self, name: str) -> None:
        """Drops the largest models until the rest fit into memory.

        A new version of a model can be larger than the previous one.
        """
        for model in sorted(
            self.models_by_engine[name], key=self._size_bytes, reverse=True
        ):
            if self.free_bytes(name) < 0:
                self.models_by_engine[name].discard(model)

    def _size_bytes(self, model: str) -> int:
        return self._demands[model].size_bytes

    def free_bytes(self, name: str) -> int:
        used = sum(self._size_bytes(m) for m in self.models_by_engine[name])
        return self._cfg.engine_memory_bytes - used

    def engines_with(self, model: str) -> list[str]:
        return sorted(
            n for n, models in self.models_by_engine.items() if model in models
        )

    def remove_surplus(self, model: str, needed: int) -> None:
        if not needed:
            return
        allowed = math.ceil(needed * self._cfg.surplus_factor)
        while len(self.engines_with(model)) > allowed:
            self.models_by_engine[self._most_replaceable_engine(model)].discard(
                model
            )

    def _most_replaceable_engine(self, model: str) -> str:
        """Returns the engine to remove a replica from.

        Prefers the failure domain with the most replicas, then the engine with
        the least free memory.
        """
        replicas = self.engines_with(model)
        domains = self._count_domains(replicas)
        return max(
            replicas,
            key=lambda n: (
                domains[self.engines[n].failure_domain],
                -self.free_bytes(n),
                n,
            ),
        )

    def _count_domains(self, names: Iterable[str]) -> collections.Counter[str]:
        return collections.Counter(
            self.engines[n].failure_domain for n in names
        )

    def add_replica(
        self, model: str, needed_replicas: Mapping[str, int]
    ) -> bool:
        """Adds one replica; returns False if no engine has enough memory."""
        others = [
            n
            for n in self.models_by_engine
            if model not in self.models_by_engine[n]
        ]
        domains = self._count_domains(self.engines_with(model))
        ranked = sorted(
            others,
            key=lambda n: (
                domains[self.engines[n].failure_domain],
                -self.free_bytes(n),
                n,
            ),
        )
        for name in ranked:
            if self.free_bytes(name) >= self._size_bytes(model):
                self.models_by_engine[name].add(model)
                return True
        return any(
            self._replace_surplus_models(name, model, needed_replicas)
            for name in ranked
        )

    def _replace_surplus_models(
        self, name: str, model: str, needed_replicas: Mapping[str, int]
    ) -> bool:
        """Replaces models with surplus replicas on an engine.

        Returns False and changes nothing if that frees too little memory.
        """
        spare = [
            m
            for m in sorted(self.models_by_engine[name], key=self._size_bytes)
            if len(self.engines_with(m)) > needed_replicas[m]
        ]
        removed: list[str] = []
        for other in spare:
            if self.free_bytes(name) >= self._size_bytes(model):
                break
            self.models_by_engine[name].discard(other)
            removed.append(other)
        if self.free_bytes(name) < self._size_bytes(model):
            self.models_by_engine[name].update(removed)
            return False
        self.models_by_engine[name].add(model)
        return True


def plan(
    engines: Sequence[EngineInfo],
    demands: Sequence[ModelDemand],
    adapters: Sequence[AdapterDemand],
    cfg: config.PlacementConfig,
) -> dict[str, desired.DesiredState]:
    """Returns the desired state of each engine by name.

    A model stays where it is unless it has too many surplus replicas or its
    memory is needed. All first replicas are placed before any second replica,
    so that under scarce memory every model that fits is served.
    """
    by_name = {d.model: d for d in demands}
    active = [e for e in engines if not e.leaving]
    builder = _PlanBuilder(active, by_name, cfg)
    needed_replicas = {
        m: count_needed_replicas(d, len(active), cfg)
        for m, d in by_name.items()
    }
    for model, needed in needed_replicas.items():
        builder.remove_surplus(model, needed)
    ranked = sorted(demands, key=lambda d: (-d.requests, d.model))
    for count in range(1, max(needed_replicas.values(), default=0) + 1):
        for demand in ranked:
            replicas = len(builder.engines_with(demand.model))
            if replicas < min(count, needed_replicas[demand.model]):
                builder.add_replica(demand.model, needed_replicas)
    roles = _assign_roles(builder, needed_replicas, cfg)
    planned = {
        e.name: desired.DesiredState(
            models={
                m: _choose_version(e, by_name[m])
                for m in sorted(builder.models_by_engine[e.name])
            },
            adapters=_choose_adapters(
                builder.models_by_engine[e.name], adapters, cfg
            ),
            role=roles.get(e.name, desired.SERVE),
        )
        for e in active
    }
    # A leaving engine keeps its models so that its streams can finish.
    for e in engines:
        if e.leaving and e.current is not None:
            planned[e.name] = attrs.evolve(e.current, role=desired.DRAIN)
    return planned


def _choose_version(engine: EngineInfo, demand: ModelDemand) -> str:
    """Returns the loaded version if it is still available.

    Otherwise returns the version of `demand`.
    """
    current = (
        engine.current.models.get(demand.model) if engine.current else None
    )
    if current is not None and current in demand.available_versions:
        return current
    return demand.version


def _choose_adapters(
    models: set[str],
    adapters: Sequence[AdapterDemand],
    cfg: config.PlacementConfig,
) -> tuple[str, ...]:
    usable = [a.adapter for a in adapters if a.models & models]
    return tuple(sorted(usable[: cfg.max_adapters]))


def _assign_roles(
    builder: _PlanBuilder,
    needed_replicas: Mapping[str, int],
    cfg: config.PlacementConfig,
) -> dict[str, str]:
    """Splits prefill and decode among the engines that serve one model only.

    Returns:
      Roles by engine name, without the engines that keep the default role.
    """
    roles: dict[str, str] = {}
    if cfg.prefill_share <= 0:
        return roles
    for model in needed_replicas:
        replicas = [
            n
            for n in builder.engines_with(model)
            if len(builder.models_by_engine[n]) == 1
        ]
        if len(replicas) < cfg.min_split_replicas:
            continue
        prefill = max(1, round(len(replicas) * cfg.prefill_share))
        for index, name in enumerate(replicas):
            roles[name] = desired.PREFILL if index < prefill else desired.DECODE
    return roles
