"""Prometheus metrics of the peer links."""

import prometheus_client


class PeerMetrics:
    """Counters and gauges of one transport."""

    def __init__(
        self, registry: prometheus_client.CollectorRegistry | None = None
    ) -> None:
        # Tests run several transports in one process. A private registry by
        # default prevents duplicate metric names; programs pass their own.
        registry = registry or prometheus_client.CollectorRegistry()
        self.sent_bytes = prometheus_client.Counter(
            "hibiscuspass_peer_sent_bytes",
            "Bytes of messages sent to peers.",
            registry=registry,
        )
        self.received_bytes = prometheus_client.Counter(
            "hibiscuspass_peer_received_bytes",
            "Bytes of messages received from peers.",
            registry=registry,
        )
        self.rejected = prometheus_client.Counter(
            "hibiscuspass_peer_rejected_messages",
            "Received messages that were not accepted.",
            ["reason"],
            registry=registry,
        )
        self.requests = prometheus_client.Counter(
            "hibiscuspass_peer_requests",
            "Requests to peers by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.dials = prometheus_client.Counter(
            "hibiscuspass_peer_dials",
            "Connections opened to peers.",
            registry=registry,
        )
        self.links = prometheus_client.Gauge(
            "hibiscuspass_peer_links",
            "Open connections to peers.",
            registry=registry,
        )
