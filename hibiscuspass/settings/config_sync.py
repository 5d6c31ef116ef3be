"""Distribution of configuration to a router."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class ConfigSyncSettings:
    """Intervals and bounds of configuration distribution.

    Attributes:
      poll_interval_s: Seconds between two polls of the workspaces in use.
      retry_interval_s: Seconds before a lost watch or a failed registration
        is tried again.
      peer_timeout_s: Time limit of one peer's answer in seconds.
      max_workspaces: Workspaces that are kept; the least recently used one is
        dropped first and loaded again when it is used.
    """

    poll_interval_s: float = attrs.field(
        default=2.0, validator=checks.in_range(0.05, 60)
    )
    retry_interval_s: float = attrs.field(
        default=0.5, validator=checks.in_range(0.05, 60)
    )
    peer_timeout_s: float = attrs.field(
        default=0.5, validator=checks.in_range(0.01, 10)
    )
    # 2,700 workspaces are in steady use at target size.
    max_workspaces: int = attrs.field(
        default=8192, validator=checks.in_range(1, 1_000_000)
    )
