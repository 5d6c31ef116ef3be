"""Fleet of routers and backend servers as one process sees it."""

import enum

import attrs

from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation


class MemberState(enum.Enum):
    """State of a router as one process sees it.

    `SUSPECTED` may be wrong, for example during a network partition. `GONE` is
    certain: a newer incarnation runs under the same name, or the platform
    removed the VM from its list.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    GONE = "gone"


@attrs.frozen
class RouterMember:
    """One router.

    Attributes:
      incarnation: Its name and start id.
      peer_address: `host:port` of its peer link.
      failure_domain: Its failure domain.
      region: Its region.
      state: Its state as this process sees it.
    """

    incarnation: incarnation.Incarnation
    peer_address: str
    failure_domain: str
    region: str
    state: MemberState


@attrs.frozen
class BackendMember:
    """One backend server.

    Attributes:
      vm: Its VM.
      accepts_work: False if any source reports that it is leaving, or if the
        last read of the VM list did not contain it.
    """

    vm: vm_list.Vm
    accepts_work: bool


@attrs.frozen
class FleetView:
    """All routers, including this process, and all backend servers."""

    routers: tuple[RouterMember, ...] = ()
    backends: tuple[BackendMember, ...] = ()
