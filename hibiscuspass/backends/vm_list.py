"""Interface of the platform's list of VMs, which lags behind their state."""

import abc
import enum

import attrs

from hibiscuspass.core import refusal


class VmRole(enum.Enum):
    """What runs on a VM."""

    ROUTER = "router"
    ENGINE = "engine"
    SERVICE = "service"


class VmState(enum.Enum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One listed VM.

    Attributes:
      name: Unique name of the VM and of its process or backend server.
      address: `host:port` of the process or backend server.
      failure_domain: Failure domain of the VM.
      region: Region of the VM.
      role: What runs on the VM.
      state: Whether the VM stays or is about to be removed.
      service: Name of the plain service if the role is `VmRole.SERVICE`.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    role: VmRole
    state: VmState
    service: str = ""


class VmList(abc.ABC):
    """Reads the list of VMs."""

    @abc.abstractmethod
    async def fetch(
        self, *, timeout_s: float
    ) -> tuple[Vm, ...] | refusal.Refusal:
        """Returns the VMs that are currently listed."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
