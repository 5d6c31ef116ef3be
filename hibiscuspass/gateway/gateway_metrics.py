"""Counters and histograms of the gateway."""

import prometheus_client

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class GatewayMetrics:
    """Metrics of one process."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.registry = registry
        self._answers = prometheus_client.Counter(
            "hibiscuspass_gateway_answers",
            "Answers to callers by kind of route and outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self._latency = prometheus_client.Histogram(
            "hibiscuspass_gateway_latency_seconds",
            "Time from a request's head to the end of its answer.",
            ["kind"],
            buckets=_BUCKETS_S,
            registry=registry,
        )

    def on_answer(self, kind: str, outcome: str, latency_s: float) -> None:
        """Records the end of a request."""
        self._answers.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(latency_s)
