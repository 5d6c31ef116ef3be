"""Settings file of `hibiscuspass-timeline`."""

import attrs

from hibiscuspass.settings import checks
from hibiscuspass.settings import logs
from hibiscuspass.settings import vm_list as vm_list_lib


@attrs.frozen
class TimelineSettings:
    """Settings of the timeline program.

    Attributes:
      fleet_key_file: File with the fleet key.
      vm_list: List of VMs, which contains the routers.
      peers: Addresses of the peer links of other processes, `host:port`, for
        example of the administration program and the coordinators.
      timeout_s: Time limit for the response of one process, in seconds.
      logging: Log output.
    """

    fleet_key_file: str = attrs.field(validator=checks.is_text())
    vm_list: vm_list_lib.VmListSettings
    peers: tuple[str, ...] = attrs.field(
        default=(), validator=checks.each(checks.is_address())
    )
    timeout_s: float = attrs.field(
        default=2.0, validator=checks.in_range(0.01, 60)
    )
    logging: logs.LoggingSettings = attrs.field(factory=logs.LoggingSettings)
