"""Settings of the distribution of configuration to a router."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ConfigSyncSettings:
    """Intervals and limits of configuration distribution.

    Attributes:
      poll_interval_s: Interval between polls, in seconds.
      poll_batch: Number of workspaces that one poll reads.
      watch_max_age_s: Age in seconds at which a watch is opened again, because
        a connection can stop delivering data without an error.
      fanout: Number of peers to which a router announces a change.
      retry_interval_s: Delay in seconds before a lost watch or a failed
        registration is tried again.
      peer_timeout_s: Time limit for the response of one peer, in seconds.
      max_workspaces: Maximum number of workspaces in memory; the least
        recently used one is dropped first and loaded again on its next use.
    """

    poll_interval_s: float = attrs.field(
        default=2.0, validator=checks.in_range(0.05, 60)
    )
    # 390 routers that each read one workspace every 2 s use a tenth of the
    # read capacity of the key-value service.
    poll_batch: int = attrs.field(
        default=1, validator=checks.in_range(1, 10_000)
    )
    watch_max_age_s: float = attrs.field(
        default=60.0, validator=checks.in_range(1, 3600)
    )
    fanout: int = attrs.field(default=3, validator=checks.in_range(0, 100))
    retry_interval_s: float = attrs.field(
        default=0.5, validator=checks.in_range(0.05, 60)
    )
    peer_timeout_s: float = attrs.field(
        default=0.5, validator=checks.in_range(0.01, 10)
    )
    # At the target size of the fleet 2,700 workspaces are in constant use.
    max_workspaces: int = attrs.field(
        default=4096, validator=checks.in_range(1, 1_000_000)
    )
