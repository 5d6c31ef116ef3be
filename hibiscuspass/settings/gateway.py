"""Settings file of `hibiscuspass-gateway`."""

import attrs

from hibiscuspass.settings import checks
from hibiscuspass.settings import logs


@attrs.frozen
class GatewayProcess:
    """Identity and place.

    Attributes:
      name: Name of the process, unique in the fleet.
      failure_domain: Failure domain of the VM.
    """

    name: str = attrs.field(validator=checks.is_name())
    failure_domain: str = ""


@attrs.frozen
class GatewayListen:
    """Listeners, each `host:port`.

    Attributes:
      callers: Requests of callers.
      ready: Readiness for the balancer.
      metrics: Metrics and probes.
      peers: Messages of the other routers.
    """

    callers: str = attrs.field(validator=checks.is_address())
    ready: str = attrs.field(validator=checks.is_address())
    metrics: str = attrs.field(validator=checks.is_address())
    peers: str = attrs.field(validator=checks.is_address())


@attrs.frozen
class RepeatSettings:
    """The fleet's budget of repeated sends.

    Attributes:
      ratio: Repeated sends per request.
      slack: Repeated sends per window besides.
      window_s: Length of the window in seconds.
    """

    ratio: float = attrs.field(default=0.2, validator=checks.in_range(0, 1))
    slack: float = attrs.field(default=10.0, validator=checks.in_range(0, 1e6))
    window_s: float = attrs.field(
        default=10.0, validator=checks.in_range(0.1, 3600)
    )


@attrs.frozen
class GatewaySettings:
    """Everything a gateway reads from its file.

    Attributes:
      process: Identity and place.
      listen: Listeners.
      store: `host:port` of the metadata store.
      repeats: Budget of repeated sends.
      contact_ms: Time without contact after which no bound in time holds.
      grace_s: Time from SIGTERM to SIGKILL in seconds.
      max_fds: File descriptors of the process.
      logging: Log output.
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
    logging: logs.LoggingSettings = attrs.field(factory=logs.LoggingSettings)
