"""Membership views of the routers of a simulated fleet."""

from hibiscuspass.core import incarnation
from hibiscuspass.core.membership import fleet_view
from tests import budget_checks

_State = fleet_view.MemberState


class Views(budget_checks.Checks):
    """Simulates partitions and the views that follow from them.

    Attributes:
      gone: Crashed routers with their failure domains.
      known_gone: Crashed routers that the others see as gone, not suspected.
      groups: Side of the partition on which a router is, by router name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.gone: list[tuple[incarnation.Incarnation, str]] = []
        self.known_gone: set[incarnation.Incarnation] = set()
        self.groups: dict[str, int] = {}

    def _view(self, own: incarnation.Incarnation) -> fleet_view.FleetView:
        members = [
            self._member(r, x.domain, self._seen_state(own, r))
            for r, x in self.routers.items()
        ]
        members += [
            self._member(
                r,
                domain,
                _State.GONE if r in self.known_gone else _State.SUSPECTED,
            )
            for r, domain in self.gone
        ]
        return fleet_view.FleetView(tuple(members))

    def _member(
        self, r: incarnation.Incarnation, domain: str, state: _State
    ) -> fleet_view.RouterMember:
        return fleet_view.RouterMember(r, r.name, domain, "region", state)

    def _seen_state(
        self, own: incarnation.Incarnation, other: incarnation.Incarnation
    ) -> _State:
        if own == other:
            return _State.LIVE
        router = self.routers[other]
        if router.frozen or not self._connected(own, other):
            return _State.SUSPECTED
        if router.node.ctx.draining:
            return _State.LEAVING
        return _State.LIVE

    def _connected(
        self, a: incarnation.Incarnation, b: incarnation.Incarnation
    ) -> bool:
        return self.groups.get(a.name, 0) == self.groups.get(b.name, 0)

    def freeze(self, router: incarnation.Incarnation) -> None:
        """Pauses a process; it keeps its state."""
        self.routers[router].frozen = True

    def partition(self, groups: dict[str, int]) -> None:
        """Disconnects routers that have different group numbers."""
        self.groups.update(groups)

    def names(self) -> list[incarnation.Incarnation]:
        """Returns the running routers."""
        return list(self.routers)
