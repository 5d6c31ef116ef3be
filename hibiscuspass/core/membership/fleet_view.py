"""What one process knows about routers and backend servers."""

import enum

import attrs

from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation


class MemberState(enum.Enum):
    """State of a router as one process sees it.

    `SUSPECTED` is an opinion that may be wrong, for example in a partition.
    `GONE` is certain: a newer incarnation runs under the same name, or the
    platform dropped the VM from its list after having listed it.
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
      state: Its state as seen from here.
    """

    incarnation: incarnation.Incarnation
    peer_address: str
    failure_domain: str
    region: str
    state: MemberState


@attrs.frozen
class BackendMember:
    """One backend server; `accepts_work` is False once any source says so."""

    vm: vm_list.Vm
    accepts_work: bool


@attrs.frozen
class FleetView:
    """All routers, including this process, and all backend servers."""

    routers: tuple[RouterMember, ...] = ()
    backends: tuple[BackendMember, ...] = ()
