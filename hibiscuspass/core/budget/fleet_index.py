"""Queries on the membership view of the fleet."""

import xxhash

from hibiscuspass.core import incarnation
from hibiscuspass.core.membership import fleet_view

_MAX_CACHED_ORDERS = 10_000


class FleetIndex:
    """Looks up routers by state and in rendezvous order."""

    def __init__(self, own: incarnation.Incarnation) -> None:
        self._own = own
        self._members: dict[
            incarnation.Incarnation, fleet_view.RouterMember
        ] = {}
        self._orders: dict[str, tuple[incarnation.Incarnation, ...]] = {}

    def update(self, view: fleet_view.FleetView) -> None:
        """Replaces the view."""
        # A router that is gone stays in the index when the view no longer lists
        # it. It may return if the platform lists its VM again.
        gone = {
            i: m
            for i, m in self._members.items()
            if m.state is fleet_view.MemberState.GONE
        }
        self._members = gone | {m.incarnation: m for m in view.routers}
        self._orders.clear()

    def is_live(self, router: incarnation.Incarnation) -> bool:
        """Whether the view lists a router as live."""
        return self._member_state(router) is fleet_view.MemberState.LIVE

    def is_reachable(self, router: incarnation.Incarnation) -> bool:
        """Whether the view lists a router as live or leaving."""
        return self._member_state(router) in (
            fleet_view.MemberState.LIVE,
            fleet_view.MemberState.LEAVING,
        )

    def is_gone(self, router: incarnation.Incarnation) -> bool:
        """Whether a router is known to have stopped for good."""
        return self._member_state(router) is fleet_view.MemberState.GONE

    @property
    def suspects_any(self) -> bool:
        """Whether any router is suspected, for example in a partition."""
        return any(
            m.state is fleet_view.MemberState.SUSPECTED
            for m in self._members.values()
        )

    def is_lost(self, router: incarnation.Incarnation) -> bool:
        """Whether a router is gone or not in the view."""
        return self._member_state(router) in (None, fleet_view.MemberState.GONE)

    def address(self, router: incarnation.Incarnation) -> str | None:
        """Returns the peer address of a router, None if unknown."""
        member = self._members.get(router)
        return None if member is None else member.peer_address

    def rendezvous_order(self, key: str) -> tuple[incarnation.Incarnation, ...]:
        """Returns the live routers in the rendezvous order of a key."""
        cached = self._orders.get(key)
        if cached is None:
            if len(self._orders) >= _MAX_CACHED_ORDERS:
                self._orders.clear()
            live = (
                m.incarnation
                for m in self._members.values()
                if m.state is fleet_view.MemberState.LIVE
            )
            cached = tuple(sorted(live, key=lambda r: _rendezvous_rank(r, key)))
            self._orders[key] = cached
        return cached

    def witness_for(
        self,
        grant_id: str,
        excluded: frozenset[incarnation.Incarnation],
        *,
        same_domain: bool = False,
    ) -> incarnation.Incarnation | None:
        """Returns a witness for a grant; None if no other router is live.

        Args:
          grant_id: Grant that needs a witness.
          excluded: Routers that must not be chosen.
          same_domain: Prefers a witness in this router's failure domain. By
            default, one in another failure domain is preferred.
        """
        own_domain = self._failure_domain(self._own)
        candidates = [
            r
            for r in self.rendezvous_order(grant_id)
            if r != self._own and r not in excluded
        ]
        return next(
            (
                r
                for r in candidates
                if (self._failure_domain(r) == own_domain) is same_domain
            ),
            candidates[0] if candidates else None,
        )

    @property
    def is_alone_in_domain(self) -> bool:
        """Whether no other live router is in this failure domain."""
        own_domain = self._failure_domain(self._own)
        return not any(
            r != self._own and self._failure_domain(r) == own_domain
            for r in self.rendezvous_order("")
        )

    def is_first_in_domain(self, key: str) -> bool:
        """Whether this router ranks first in its failure domain for a key."""
        domain = self._failure_domain(self._own)
        return (
            next(
                (
                    r
                    for r in self.rendezvous_order(key)
                    if self._failure_domain(r) == domain
                ),
                None,
            )
            == self._own
        )

    def _member_state(
        self, router: incarnation.Incarnation
    ) -> fleet_view.MemberState | None:
        member = self._members.get(router)
        return None if member is None else member.state

    def _failure_domain(self, router: incarnation.Incarnation) -> str:
        member = self._members.get(router)
        return "" if member is None else member.failure_domain


def _rendezvous_rank(
    router: incarnation.Incarnation, key: str
) -> tuple[int, str]:
    # Only the name is hashed, so that a restart doesn't move grants.
    return (
        -xxhash.xxh64_intdigest(f"{router.name}\0{key}".encode()),
        router.start_id,
    )
