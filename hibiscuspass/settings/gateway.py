"""Settings file of `hibiscuspass-gateway`."""

import attrs

from hibiscuspass.settings import checks
from hibiscuspass.settings import logs


@attrs.frozen
class GatewayProcess:
    """Identity and location of a gateway.

    Attributes:
      name: Name of the process, unique in the fleet.
      failure_domain: Failure domain of the VM.
    """

    name: str = attrs.field(validator=checks.is_name())
    failure_domain: str = ""


@attrs.frozen
class GatewayListen:
    """Addresses on which a gateway listens, each `host:port`.

    Attributes:
      callers: Address for the requests of callers.
      ready: Address for the readiness checks of the load balancer.
      metrics: Address for metrics and probes.
      peers: Address for the messages of other routers.
    """

    callers: str = attrs.field(validator=checks.is_address())
    ready: str = attrs.field(validator=checks.is_address())
    metrics: str = attrs.field(validator=checks.is_address())
    peers: str = attrs.field(validator=checks.is_address())


@attrs.frozen
class RepeatSettings:
    """Limits of repeated sends (retries) in the fleet.

    Attributes:
      ratio: Repeated sends per request.
      slack: Additional repeated sends of the whole fleet per window.
      window_s: Length of the window in seconds.
    """

    ratio: float = attrs.field(default=0.2, validator=checks.in_range(0, 1))
    slack: float = attrs.field(default=10.0, validator=checks.in_range(0, 1e6))
    window_s: float = attrs.field(
        default=10.0, validator=checks.in_range(0.1, 3600)
    )


@attrs.frozen
class ColdSettings:
    """Bound on the requests to a cold backend server in one second.

    Attributes:
      excess: Factor of `cold_per_s` of the service.
      slack: Additional requests.
    """

    excess: float = attrs.field(default=1.5, validator=checks.in_range(0, 1000))
    slack: float = attrs.field(default=5.0, validator=checks.in_range(0, 1e6))


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway.

    Attributes:
      process: Identity and location of the process.
      listen: Addresses of the listeners.
      store: `host:port` of the metadata store.
      repeats: Limits of repeated sends.
      contact_ms: Time without contact to the metadata store, in milliseconds,
        after which guarantees with a time bound no longer hold.
      grace_s: Time from SIGTERM to SIGKILL in seconds.
      max_fds: Maximum number of file descriptors of the process.
      memory_mb: Memory of the VM in megabytes (10^6 bytes); None for what the
        machine allows the process.
      logging: Log output.
      cold: Bound on the requests to cold backend servers.
    """

    process: GatewayProcess
    listen: GatewayListen
    store: str = attrs.field(validator=checks.is_address())
    repeats: RepeatSettings = attrs.field(factory=RepeatSettings)
    contact_ms: float = attrs.field(
        default=3000.0, validator=checks.in_range(100, 600_000)
    )
    grace_s: float = attrs.field(
        default=8.0, validator=checks.in_range(1, 3600)
    )
    max_fds: int = attrs.field(
        default=4096, validator=checks.in_range(64, 1_000_000)
    )
    memory_mb: float | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(checks.in_range(1, 1e6)),
    )
    logging: logs.LoggingSettings = attrs.field(factory=logs.LoggingSettings)
    cold: ColdSettings = attrs.field(factory=ColdSettings)
