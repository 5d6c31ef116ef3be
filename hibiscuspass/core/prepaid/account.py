"""Prepaid tokens of one workspace at one router.

The sum of what all routers drew from the store never exceeds the prepaid
amount, and a router only uses what it drew or received from peers, so no
workspace overspends, whatever fails.
"""

import attrs

from hibiscuspass.core import incarnation


@attrs.define
class Account:
    """Tokens that one router may use for one workspace.

    `lent` and `received` are totals since the start of both processes, so
    that repeated or lost messages can't create tokens.

    Attributes:
      drawn: Tokens drawn from the store less tokens returned to it.
      used: Tokens of ended requests.
      held: Tokens that running requests may use at most.
      lent: Total lent to each peer.
      received: Total received from each peer.
      limit: Largest `consumed`, see `UsageLimits`; None without a limit.
    """

    drawn: int = 0
    used: int = 0
    held: int = 0
    lent: dict[incarnation.Incarnation, int] = attrs.field(factory=dict)
    received: dict[incarnation.Incarnation, int] = attrs.field(factory=dict)
    limit: int | None = attrs.field(default=None, eq=False)

    @property
    def consumed(self) -> int:
        """Drawn tokens that are used, held or lent."""
        return (
            self.used
            + self.held
            + sum(self.lent.values())
            - sum(self.received.values())
        )

    @property
    def remaining(self) -> int:
        """Tokens that are neither used nor held nor lent."""
        return self.drawn - self.consumed

    @property
    def available(self) -> int:
        """Remaining tokens that may be used now."""
        if self.limit is None:
            return self.remaining
        return min(self.remaining, self.limit - self.consumed)

    def hold(self, tokens: int) -> bool:
        """Reserves the most that a request can use, if there is room."""
        if tokens > self.available:
            return False
        self.held += tokens
        return True

    def settle(self, held: int, used: int) -> None:
        """Replaces the reservation of an ended request by what it used."""
        self.held -= held
        self.used += used

    def lend(
        self,
        peer: incarnation.Incarnation,
        least: int,
        wanted: int,
        kept: int = 0,
    ) -> int:
        """Lends tokens to a peer and returns the new total lent to it.

        Args:
          peer: Borrower.
          least: What the borrower needs now; all of it is lent if there.
          wanted: What it would like; at most half of the available is lent
            beyond `least`.
          kept: Tokens that are not lent.
        """
        room = max(0, self.available - kept)
        amount = min(room, max(least, min(wanted, room // 2)))
        total = self.lent.get(peer, 0) + max(0, amount)
        if total:
            self.lent[peer] = total
        return total

    def receive(self, peer: incarnation.Incarnation, total: int) -> int:
        """Takes in the total that a peer has lent; returns what is new."""
        new = max(0, total - self.received.get(peer, 0))
        if new:
            self.received[peer] = total
        return new
