"""Metrics of configuration distribution."""

import prometheus_client


class ConfigMetrics:
    """Prometheus metrics of one configuration runtime."""

    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        # By default each runtime has its own registry, because a test process
        # has several runtimes and names must be unique in a registry.
        registry = registry or prometheus_client.CollectorRegistry()
        self.entries = prometheus_client.Counter(
            "hibiscuspass_config_entries_total",
            "Configuration entries received, by source and effect.",
            ["source", "effect"],
            registry=registry,
        )
        self.loads = prometheus_client.Counter(
            "hibiscuspass_config_loads_total",
            "Workspaces loaded on demand, by where they came from.",
            ["source"],
            registry=registry,
        )
        self.watches_lost = prometheus_client.Counter(
            "hibiscuspass_config_watches_lost_total",
            "Configuration watches that ended or fell behind.",
            registry=registry,
        )
        self.registered = prometheus_client.Gauge(
            "hibiscuspass_config_registered",
            "1 if the router is registered at the key-value service.",
            registry=registry,
        )
