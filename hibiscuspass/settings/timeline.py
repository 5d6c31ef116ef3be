"""Settings file of `hibiscuspass-timeline`."""

import attrs

from hibiscuspass.settings import checks
from hibiscuspass.settings import logs
from hibiscuspass.settings import peer_link as peer_link_lib
from hibiscuspass.settings import process as process_lib
from hibiscuspass.settings import vm_list as vm_list_lib


@attrs.frozen
class TimelineSettings:
    """Everything the timeline program reads from its file.

    Attributes:
      process: Identity and place.
      peer_link: Link to the other processes.
      vm_list: List of VMs, where the routers are found.
      peers: Peer links of further processes, `host:port`, for example of the
        administration program and the coordinators.
      timeout_s: Time limit of one process's answer in seconds.
      logging: Log output.
    """

    process: process_lib.ProcessSettings
    peer_link: peer_link_lib.PeerLinkSettings
    vm_list: vm_list_lib.VmListSettings
    peers: tuple[str, ...] = attrs.field(
        default=(), validator=checks.each(checks.is_address())
    )
    timeout_s: float = attrs.field(
        default=2.0, validator=checks.in_range(0.01, 60)
    )
    logging: logs.LoggingSettings = attrs.field(factory=logs.LoggingSettings)
