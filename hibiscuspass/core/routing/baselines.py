"""Simple policies, mainly as baselines to compare the prefix-cost policy to."""

import abc
from collections.abc import Sequence
import random

from hibiscuspass.backends import engine
from hibiscuspass.core import refusal
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import engine_set
from hibiscuspass.core.routing import policy
from hibiscuspass.core.routing import prefix_index


class _Baseline(policy.RoutingPolicy):
    """Chooses among the engines that serve the model and accept work."""

    def __init__(self, cfg: config.RoutingConfig) -> None:
        self._cfg = cfg
        self._rng = random.Random(cfg.seed)
        self._engines = engine_set.EngineSet(cfg)

    @abc.abstractmethod
    def _pick(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
        now_s: float,
    ) -> engine_set.EngineRecord:
        """Picks one of the eligible engines."""

    def choose(
        self, query: policy.RouteQuery, now_s: float
    ) -> policy.Route | refusal.Refusal:
        """See base class."""
        records = self._engines.eligible(query)
        if isinstance(records, refusal.Refusal):
            return records
        name = self._pick(records, query, now_s).view.name
        return policy.Route(name, 0.0, 0)

    def on_dispatch(
        self, query: policy.RouteQuery, route: policy.Route, now_s: float
    ) -> None:
        """See base class."""

    def on_first_token(self, request_id: str, now_s: float) -> None:
        """See base class."""

    def on_finish(self, request_id: str, succeeded: bool, now_s: float) -> None:
        """See base class."""

    def on_load_report(self, report: engine.LoadReport, now_s: float) -> None:
        """See base class."""
        self._engines.on_load_report(report, now_s)

    def on_cache_event(self, event: engine.CacheEvent, now_s: float) -> None:
        """See base class."""

    def set_backends(
        self, backends: Sequence[policy.BackendView], now_s: float
    ) -> None:
        """See base class."""
        self._engines.set_backends(backends)


class RoundRobin(_Baseline):
    """Chooses the engines in rotation."""

    def __init__(self, cfg: config.RoutingConfig) -> None:
        super().__init__(cfg)
        self._request_count = self._rng.randrange(1 << 16)

    def _pick(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
        now_s: float,
    ) -> engine_set.EngineRecord:
        self._request_count += 1
        return records[self._request_count % len(records)]


class LeastLoad(_Baseline):
    """Chooses the engine with the fewest requests in its last load report."""

    def _pick(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
        now_s: float,
    ) -> engine_set.EngineRecord:
        return min(
            records, key=lambda r: (_reported_requests(r), self._rng.random())
        )


class PrefixAffinity(_Baseline):
    """Chooses the engine that has the longest prefix of the prompt cached."""

    def __init__(self, cfg: config.RoutingConfig) -> None:
        super().__init__(cfg)
        self._index = prefix_index.PrefixIndex(
            cfg.index_entries,
            cfg.index_entries_per_engine,
            cfg.index_entry_ttl_s,
        )

    def _pick(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
        now_s: float,
    ) -> engine_set.EngineRecord:
        return max(
            records,
            key=lambda r: (
                self._index.matched_blocks(
                    r.view.name, query.prompt_blocks, now_s
                ),
                self._rng.random(),
            ),
        )

    def on_cache_event(self, event: engine.CacheEvent, now_s: float) -> None:
        """See base class."""
        self._index.on_cache_event(event, now_s)

    def set_backends(
        self, backends: Sequence[policy.BackendView], now_s: float
    ) -> None:
        """See base class."""
        super().set_backends(backends, now_s)
        self._index.retain(v.name for v in backends)


def _reported_requests(record: engine_set.EngineRecord) -> int:
    report = record.load.report
    return report.running + report.waiting if report else 0
