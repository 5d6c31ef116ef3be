"""Distribution of configuration to a router."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ConfigSyncSettings:
    """Intervals and bounds of configuration distribution.

    Attributes:
      poll_interval_s: Seconds between two polls.
      poll_batch: Workspaces that one poll reads.
      watch_max_age_s: Age at which a watch is opened anew, because a
        connection can go silent without an error.
      fanout: Peers that a router tells about a change it learnt.
      retry_interval_s: Seconds before a lost watch or a failed registration
        is tried again.
      peer_timeout_s: Time limit of one peer's answer in seconds.
      max_workspaces: Workspaces that are kept; the least recently used one is
        dropped first and loaded again when it is used.
    """

    poll_interval_s: float = attrs.field(
        default=2.0, validator=checks.in_range(0.05, 60)
    )
    # 390 routers that read one workspace every 2 s take a tenth of the
    # service's reads.
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
    # 2,700 workspaces are in steady use at target size.
    max_workspaces: int = attrs.field(
        default=4096, validator=checks.in_range(1, 1_000_000)
    )
