"""Interface of the membership subsystem for the request path."""

import abc

import reactivex

from hibiscuspass.core.membership import fleet_view


class FleetSource(abc.ABC):
    """Provides the current view of routers and backend servers."""

    @abc.abstractmethod
    def view(self) -> fleet_view.FleetView:
        """Returns the current view."""

    @abc.abstractmethod
    def changes(self) -> reactivex.Observable[fleet_view.FleetView]:
        """Returns an observable of the current view and each later one."""
