"""Metrics of the request path."""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import itertools

import prometheus_client
from prometheus_client import core as prometheus_core

_FIRST_TOKEN_BUCKETS_S = (
    0.05, 0.1, 0.2, 0.4, 0.6, 0.81, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip
# Includes 27 ms, the target for the 95th percentile (design section 1.3).
_GAP_BUCKETS_S = (
    0.005, 0.01, 0.015, 0.02, 0.027, 0.035, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
)  # fmt: skip


class _EventHistogram:
    """Histogram without a lock for thousands of observations per second.

    `prometheus_client.Histogram.observe` takes a lock and several microseconds
    per call. No lock is needed here, because all calls come from the event
    loop's thread.
    """

    def __init__(self, name: str, help_text: str, bounds: tuple[float, ...]):
        self._name = name
        self._help = help_text
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    def observe(self, value: float) -> None:
        self._counts[bisect.bisect_left(self._bounds, value)] += 1
        self._sum += value

    def collect(self) -> Iterator[prometheus_core.HistogramMetricFamily]:
        totals = itertools.accumulate(self._counts)
        labels = [str(bound) for bound in self._bounds] + ["+Inf"]
        yield prometheus_core.HistogramMetricFamily(
            self._name,
            self._help,
            buckets=list(zip(labels, map(float, totals), strict=True)),
            sum_value=self._sum,
        )


class RouterMetrics:
    """Counters and histograms of one router process."""

    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        # By default each router has its own registry, because a test process
        # has several routers and names must be unique in a registry.
        self.registry = registry or prometheus_client.CollectorRegistry()
        self.held_bytes = prometheus_client.Gauge(
            "hibiscuspass_held_bytes",
            "Bytes of request bodies that the process keeps",
            registry=self.registry,
        )
        self.refused_bodies = prometheus_client.Counter(
            "hibiscuspass_refused_bodies",
            "Request bodies for which there was no memory",
            ["reason"],
            registry=self.registry,
        )
        self.requests = prometheus_client.Counter(
            "hibiscuspass_requests",
            "Requests by API, outcome and refusal reason.",
            ("api", "outcome", "reason"),
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            "hibiscuspass_first_token_seconds",
            "Time from the request to its first token event.",
            registry=self.registry,
            buckets=_FIRST_TOKEN_BUCKETS_S,
        )
        self.resumes = prometheus_client.Counter(
            "hibiscuspass_stream_resumes",
            "Resumed streams by the reason of the interruption.",
            ("reason",),
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            "hibiscuspass_dispatch_retries",
            "Dispatches to a further backend server.",
            registry=self.registry,
        )
        self.output_limited = prometheus_client.Counter(
            "hibiscuspass_output_limit_cuts",
            "Streams that the router ended at the output limit.",
            registry=self.registry,
        )
        self.open_streams = 0
        self.tokens = 0
        self._gaps = _EventHistogram(
            "hibiscuspass_token_gap_seconds",
            "Time between two token events of a stream.",
            _GAP_BUCKETS_S,
        )
        self.observe_gap = self._gaps.observe
        self.registry.register(self)

    def collect(self) -> Iterator[prometheus_core.Metric]:
        """Yields the metrics that don't use `prometheus_client` objects."""
        yield from self._gaps.collect()
        yield prometheus_core.GaugeMetricFamily(
            "hibiscuspass_open_streams",
            "Completions being relayed.",
            value=self.open_streams,
        )
        yield prometheus_core.CounterMetricFamily(
            "hibiscuspass_output_tokens",
            "Generated tokens relayed.",
            value=self.tokens,
        )

    def add_gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Exports a gauge whose value is read at each collection."""
        gauge = prometheus_client.Gauge(name, help_text, registry=self.registry)
        gauge.set_function(read)
