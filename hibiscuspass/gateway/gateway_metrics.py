"""Counters and histograms of the gateway."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from hibiscuspass.core.forwarding import availability
from hibiscuspass.gateway import engine_estimates

# Returns the number of backend servers by service and state.
CountServers = Callable[[], Mapping[tuple[str, availability.Availability], int]]

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class GatewayMetrics:
    """Metrics of one gateway process."""

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

        self._sends = prometheus_client.Counter(
            "hibiscuspass_gateway_sends",
            "Sends to backend servers by what is known of their run.",
            ["outcome"],
            registry=registry,
        )
        self._draws = prometheus_client.Counter(
            "hibiscuspass_gateway_draws",
            "Writes of the prepaid ledger by outcome.",
            ["outcome"],
            registry=registry,
        )
        self._borrowed = prometheus_client.Counter(
            "hibiscuspass_gateway_borrowed_tokens",
            "Prepaid tokens borrowed from peers.",
            registry=registry,
        )
        self._store_calls = prometheus_client.Counter(
            "hibiscuspass_gateway_store_calls",
            "Calls of the metadata store by operation and prefix of the keys.",
            ["purpose"],
            registry=registry,
        )
        self._version = prometheus_client.Gauge(
            "hibiscuspass_gateway_config_version",
            "Version of the configuration in force.",
            registry=registry,
        )

        self._server_signs = prometheus_client.Counter(
            "hibiscuspass_gateway_server_signs",
            "Answers in which backend servers said whether they are available.",
            ["sign"],
            registry=registry,
        )
        self._permits = prometheus_client.Counter(
            "hibiscuspass_gateway_permits",
            "Permits asked for to send to servers that name a limit.",
            ["outcome"],
            registry=registry,
        )
        self._caller_refusals = prometheus_client.Counter(
            "hibiscuspass_gateway_caller_refusals",
            "Requests and connections that a client limit ended, by reason.",
            ["reason"],
            registry=registry,
        )
        self._limited = prometheus_client.Gauge(
            "hibiscuspass_gateway_limited_servers",
            "Backend servers that name a limit, as this router knows them.",
            registry=registry,
        )
        self._cold = prometheus_client.Gauge(
            "hibiscuspass_gateway_cold_servers",
            "Cold backend servers whose requests are limited.",
            registry=registry,
        )
        self._evacuated = prometheus_client.Gauge(
            "hibiscuspass_gateway_evacuated_domains",
            "Failure domains that the operator evacuates.",
            registry=registry,
        )

        self._admissions = prometheus_client.Counter(
            "hibiscuspass_gateway_admissions",
            "Requests by the decision of admission control.",
            ["decision"],
            registry=registry,
        )
        self._admission_wait = prometheus_client.Histogram(
            "hibiscuspass_gateway_admission_wait_seconds",
            "Waits for a place at a plain service whose servers are full.",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._expected_room = prometheus_client.Histogram(
            "hibiscuspass_gateway_expected_room_seconds",
            "Expected times until a service has room, of refused requests.",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._era = prometheus_client.Gauge(
            "hibiscuspass_gateway_store_era",
            "Newest known era of the metadata store; -1 if it names none.",
            registry=registry,
        )
        self._written_again = prometheus_client.Counter(
            "hibiscuspass_gateway_records_written_again",
            "Records written again after the store was restored, by kind.",
            ["kind"],
            registry=registry,
        )
        self._counted_as_used = prometheus_client.Gauge(
            "hibiscuspass_gateway_tokens_counted_as_used",
            "Undrawn tokens that can't be drawn since the store was restored.",
            registry=registry,
        )

    def follow_cold_servers(self, count: Callable[[], int]) -> None:
        """Adds the number of cold backend servers.

        Args:
          count: Called each time the metrics are read.
        """
        self._cold.set_function(count)

    def follow_evacuated_domains(self, count: Callable[[], int]) -> None:
        """Adds the number of failure domains that are evacuated.

        Args:
          count: Called each time the metrics are read.
        """
        self._evacuated.set_function(count)

    def follow_callers(
        self, held_bytes: Callable[[], int], connections: Callable[[], int]
    ) -> None:
        """Adds what callers make the process keep.

        Args:
          held_bytes: Called for the bytes of bodies and answers.
          connections: Called for the number of connections.
        """
        prometheus_client.Gauge(
            "hibiscuspass_gateway_held_bytes",
            "Bytes of bodies and answers that requests make the process keep.",
            registry=self.registry,
        ).set_function(held_bytes)
        prometheus_client.Gauge(
            "hibiscuspass_gateway_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        ).set_function(connections)

    def on_caller_refused(self, reason: str) -> None:
        """Records a request or connection that a client limit ended.

        Args:
          reason: "total", "key", "request", "dropped", "connection",
            "idle_connection", "long_head", "slow_head" or "unread_answer".
        """
        self._caller_refusals.labels(reason).inc()

    def follow_store_era(self, era: Callable[[], int | None]) -> None:
        """Adds the era of the store.

        Args:
          era: Called each time the metrics are read.
        """

        def number() -> float:
            current = era()
            return -1 if current is None else current

        self._era.set_function(number)

    def on_written_again(self, kind: str) -> None:
        """Records that a record was written after the store was restored.

        Args:
          kind: "member", "quarantine", "fleet_key" or "router".
        """
        self._written_again.labels(kind).inc()

    def on_counted_as_used(self, tokens: int) -> None:
        """Records how many undrawn tokens can't be drawn any more."""
        self._counted_as_used.set(tokens)

    def follow_servers(self, count: CountServers) -> None:
        """Adds the number of backend servers by service and state.

        Args:
          count: Called each time the metrics are read.
        """
        self.registry.register(_ServerCollector(count))

    def follow_limited_servers(self, count: Callable[[], int]) -> None:
        """Adds the number of backend servers that name a limit.

        Args:
          count: Called each time the metrics are read.
        """
        self._limited.set_function(count)

    def on_admission(self, decision: str) -> None:
        """Records a decision of admission control.

        Args:
          decision: "admitted", "refused_early" or "refused_at_server".
        """
        self._admissions.labels(decision).inc()

    def on_admission_wait(self, wait_s: float) -> None:
        """Records a wait for a place at a plain service."""
        self._admission_wait.observe(wait_s)

    def on_expected_room(self, room_s: float) -> None:
        """Records when a service was expected to have room."""
        self._expected_room.observe(room_s)

    def follow_engines(
        self, measure: Callable[[], Iterable[engine_estimates.Measured]]
    ) -> None:
        """Adds the estimates of the engines that this router monitors.

        Args:
          measure: Called each time the metrics are read.
        """
        self.registry.register(_EngineCollector(measure))

    def on_permit(self, outcome: str) -> None:
        """Records the reply to a request for a permit.

        Args:
          outcome: "granted", "denied" or "no_answer".
        """
        self._permits.labels(outcome).inc()

    def on_server_sign(self, sign: str) -> None:
        """Records what a backend server said in an answer.

        Args:
          sign: "leaving", "hold_off", "unusable_hold_off", "limit",
            "limit_ended" or "unusable_limit".
        """
        self._server_signs.labels(sign).inc()

    def on_send(self, outcome: str) -> None:
        """Records a send.

        Args:
          outcome: "answered", or the value of the `RunState` after a failure.
        """
        self._sends.labels(outcome).inc()

    def on_draw(self, outcome: str) -> None:
        """Records a write of the prepaid ledger."""
        self._draws.labels(outcome).inc()

    def on_borrowed(self, tokens: int) -> None:
        """Records tokens that a peer lent to this router."""
        self._borrowed.inc(tokens)

    def on_store_call(self, purpose: str) -> None:
        """Records a call of the metadata store."""
        self._store_calls.labels(purpose).inc()

    def on_version(self, version: int) -> None:
        """Records the version of the configuration that is used."""
        self._version.set(version)

    def on_answer(self, kind: str, outcome: str, latency_s: float) -> None:
        """Records the outcome and latency of a caller's request."""
        self._answers.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(latency_s)


class _ServerCollector(prometheus_registry.Collector):
    """Counts backend servers when the metrics are read."""

    def __init__(self, count: CountServers) -> None:
        self._count = count

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """See base class."""
        family = prometheus_core.GaugeMetricFamily(
            "hibiscuspass_gateway_servers",
            "Backend servers by service and state.",
            labels=["service", "state"],
        )
        for (service, state), number in self._count().items():
            family.add_metric([service, state.value], number)
        yield family


class _EngineCollector(prometheus_registry.Collector):
    """Reads the estimates of the monitored engines."""

    def __init__(
        self, measure: Callable[[], Iterable[engine_estimates.Measured]]
    ) -> None:
        self._measure = measure

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """See base class."""
        family = prometheus_core.GaugeMetricFamily(
            "hibiscuspass_gateway_monitored_engines",
            "Estimates of the engines that this router monitors.",
            labels=["engine", "estimate"],
        )
        for measured in self._measure():
            for name in ("speed", "capacity", "in_flight"):
                value = float(getattr(measured, name))
                family.add_metric([measured.engine, name], value)
        yield family
