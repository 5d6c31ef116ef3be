"""What the request path needs from the membership subsystem."""

import abc

import reactivex

from hibiscuspass.core.membership import fleet_view


class FleetSource(abc.ABC):
    """Current view of routers and backend servers."""

    @abc.abstractmethod
    def view(self) -> fleet_view.FleetView:
        """Returns the current view."""

    @abc.abstractmethod
    def changes(self) -> reactivex.Observable[fleet_view.FleetView]:
        """Emits the current view, then each changed one."""
