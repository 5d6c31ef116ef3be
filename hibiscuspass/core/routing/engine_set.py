"""The engines that a router may choose from."""

from collections.abc import Sequence

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import engine_load
from hibiscuspass.core.routing import policy

# Bounds the memory of lists by model and adapter, which callers can name.
_MAX_SERVING = 256


@attrs.define
class EngineRecord:
    """One engine: what membership says and what its load looks like."""

    view: policy.BackendView
    load: engine_load.EngineLoad

    def serves(self, query: policy.RouteQuery) -> bool:
        """Returns whether model and adapter are loaded."""
        report = self.load.report
        return (
            report is not None
            and query.model in report.models
            and (not query.adapter or query.adapter in report.adapters)
        )

    def accepts_work(self) -> bool:
        """Returns whether no source says that the engine is leaving."""
        report = self.load.report
        return self.view.accepts_work and not (report and report.draining)


class EngineSet:
    """Known engines by name."""

    def __init__(self, cfg: config.RoutingConfig) -> None:
        self._cfg = cfg
        self._offset_s = cfg.unix_minus_monotonic_s
        self.records: dict[str, EngineRecord] = {}
        # Engines by model and adapter, rebuilt after a change.
        self._serving: dict[tuple[str, str], list[EngineRecord]] = {}

    def set_backends(self, backends: Sequence[policy.BackendView]) -> None:
        """Replaces the set; kept engines keep their load."""
        self._serving = {}
        old = self.records
        self.records = {
            view.name: EngineRecord(
                view,
                old[view.name].load
                if view.name in old
                else engine_load.EngineLoad(
                    self._cfg.max_report_age_s,
                    self._cfg.queue_memory_s,
                    self._cfg.batch_memory_s,
                ),
            )
            for view in backends
        }

    def on_load_report(self, report: engine.LoadReport, now_s: float) -> None:
        """Takes in a load report; its time is mapped to the local clock.

        A report from the future shows that the engine's clock is ahead; it is
        taken as measured now.
        """
        record = self.records.get(report.engine)
        if record is None:
            return
        old = record.load.report
        measured_s = min(now_s, report.at_s - self._offset_s)
        record.load.on_report(report, measured_s)
        if (
            old is None
            or old.models != report.models
            or old.adapters != report.adapters
        ):
            self._serving = {}

    def eligible(
        self, query: policy.RouteQuery
    ) -> list[EngineRecord] | refusal.Refusal:
        """Returns the engines that may serve a request, at least one."""
        key = (query.model, query.adapter)
        serving = self._serving.get(key)
        if serving is None:
            serving = [r for r in self.records.values() if r.serves(query)]
            if len(self._serving) >= _MAX_SERVING:
                self._serving = {}
            self._serving[key] = serving
        if not serving:
            return refusal.Refusal(
                reason_lib.Reason.NO_BACKEND,
                f"no known engine has model {query.model!r}"
                + (f" and adapter {query.adapter!r}" if query.adapter else ""),
                retry_after_s=1.0,
            )
        accepting = [
            r
            for r in serving
            if r.accepts_work() and r.view.name not in query.excluded
        ]
        if not accepting:
            return refusal.Refusal(
                reason_lib.Reason.NO_BACKEND,
                f"all {len(serving)} engines with model {query.model!r} are "
                "leaving, ejected or already tried",
                retry_after_s=1.0,
            )
        return accepting
