"""Prepaid tokens of one workspace at one router.

All routers together never draw more than the prepaid amount from the store, and
a router uses only tokens that it drew or borrowed from peers. A workspace
therefore can't overspend, even if routers crash or messages are lost.
"""

import attrs

from hibiscuspass.core import incarnation


@attrs.define
class Account:
    """Tokens that one router may use for one workspace.

    `lent` and `received` are totals since the start of both processes, not
    increments, so repeated or lost messages can't create tokens.

    Attributes:
      drawn: Tokens drawn from the store minus tokens returned to it.
      used: Tokens used by completed requests.
      held: Tokens reserved for running requests.
      lent: Total lent to each peer.
      received: Total received from each peer.
      limit: Upper bound of `consumed`, see `usage_limit.UsageLimits`; None
        while no limit applies.
    """

    drawn: int = 0
    used: int = 0
    held: int = 0
    lent: dict[incarnation.Incarnation, int] = attrs.field(factory=dict)
    received: dict[incarnation.Incarnation, int] = attrs.field(factory=dict)
    limit: int | None = attrs.field(default=None, eq=False)

    @property
    def consumed(self) -> int:
        """Tokens used, held or lent, minus those received from peers."""
        return (
            self.used
            + self.held
            + sum(self.lent.values())
            - sum(self.received.values())
        )

    @property
    def remaining(self) -> int:
        """Tokens of this router that are neither used, held nor lent."""
        return self.drawn - self.consumed

    @property
    def available(self) -> int:
        """Remaining tokens that the limit allows to use now."""
        if self.limit is None:
            return self.remaining
        return min(self.remaining, self.limit - self.consumed)

    def counts(self) -> list[int]:
        """Returns [drawn, used, held, net lent, available]."""
        net_lent = self.consumed - self.used - self.held
        return [self.drawn, self.used, self.held, net_lent, self.available]

    def hold(self, tokens: int) -> bool:
        """Reserves tokens for a request if enough are available."""
        if tokens > self.available:
            return False
        self.held += tokens
        return True

    def settle(self, held: int, used: int) -> None:
        """Replaces the reservation of a completed request by its usage."""
        self.held -= held
        self.used += used

    def lend(
        self,
        peer: incarnation.Incarnation,
        least: int,
        wanted: int,
        reserve: int = 0,
    ) -> int:
        """Lends tokens to a peer and returns the new total lent to it.

        Args:
          peer: Borrower.
          least: Tokens that the borrower needs now, lent in full if they are
            available.
          wanted: Tokens that the borrower asks for in total. To lend more than
            `least`, at most half of the lendable tokens are used.
          reserve: Tokens that are not lent.
        """
        lendable = max(0, self.available - reserve)
        amount = min(lendable, max(least, min(wanted, lendable // 2)))
        total = self.lent.get(peer, 0) + max(0, amount)
        if total:
            self.lent[peer] = total
        return total

    def receive(self, peer: incarnation.Incarnation, total: int) -> int:
        """Updates the total received from a peer; returns the new tokens."""
        new_tokens = max(0, total - self.received.get(peer, 0))
        if new_tokens:
            self.received[peer] = total
        return new_tokens
