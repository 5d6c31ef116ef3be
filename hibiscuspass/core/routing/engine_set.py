"""Set of the engines that a router may choose from."""

from collections.abc import Sequence

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import engine_load
from hibiscuspass.core.routing import policy

# Limits the memory of the lists that are cached by model and adapter, because
# callers can send any names.
_MAX_CACHED_LISTS = 256


@attrs.define
class EngineRecord:
    """Membership information and load of one engine."""

    view: policy.BackendView
    load: engine_load.EngineLoad

    def serves(self, query: policy.RouteQuery) -> bool:
        """Returns whether the model and adapter of the query are loaded."""
        report = self.load.report
        return (
            report is not None
            and query.model in report.models
            and (not query.adapter or query.adapter in report.adapters)
        )

    def accepts_work(self) -> bool:
        """Returns whether membership and load report both allow new work."""
        report = self.load.report
        return self.view.accepts_work and not (report and report.draining)


class EngineSet:
    """Engines known from membership, and their loads.

    Attributes:
      records: Engines by name.
    """

    def __init__(self, cfg: config.RoutingConfig) -> None:
        self._cfg = cfg
        self._unix_clock_offset_s = cfg.unix_minus_monotonic_s
        self.records: dict[str, EngineRecord] = {}
        # Engines by the model and adapter that they serve. Cleared when the
        # engines, their models or their adapters change.
        self._serving_cache: dict[tuple[str, str], list[EngineRecord]] = {}

    def set_backends(self, backends: Sequence[policy.BackendView]) -> None:
        """Replaces the set; engines that remain keep their load."""
        self._serving_cache = {}
        previous = self.records
        self.records = {
            view.name: EngineRecord(
                view,
                previous[view.name].load
                if view.name in previous
                else engine_load.EngineLoad(
                    self._cfg.max_report_age_s,
                    self._cfg.queue_decay_s,
                    self._cfg.request_decay_s,
                ),
            )
            for view in backends
        }

    def on_load_report(self, report: engine.LoadReport, now_s: float) -> None:
        """Records a load report and converts its time to the local clock.

        If the engine's clock is ahead, the report may be from the future. It
        then counts as measured now.
        """
        record = self.records.get(report.engine)
        if record is None:
            return
        previous = record.load.report
        measured_s = min(
            now_s, report.measured_at_s - self._unix_clock_offset_s
        )
        record.load.on_report(report, measured_s)
        if (
            previous is None
            or previous.models != report.models
            or previous.adapters != report.adapters
        ):
            self._serving_cache = {}

    def eligible(
        self, query: policy.RouteQuery
    ) -> list[EngineRecord] | refusal.Refusal:
        """Returns the engines that may serve a request.

        Returns:
          At least one engine, or a refusal that says why there is none.
        """
        key = (query.model, query.adapter)
        serving = self._serving_cache.get(key)
        if serving is None:
            serving = [r for r in self.records.values() if r.serves(query)]
            if len(self._serving_cache) >= _MAX_CACHED_LISTS:
                self._serving_cache = {}
            self._serving_cache[key] = serving
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
