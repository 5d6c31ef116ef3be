"""How many prepaid tokens a router draws ahead or returns.

Load pattern: the store is out of reach of some or all routers for up to
`outage_s` while callers keep sending, and any router may be lost with what it
holds. Each router therefore holds about `outage_s` of its own use, and only a
bounded part of what remains.
"""

import math

import attrs


@attrs.frozen
class DrawConfig:
    """Sizes of draws.

    Attributes:
      outage_s: Time without the store that drawn tokens should last, seconds.
      first_share: Part of the prepaid amount that all routers together draw
        before any use is known.
      rest_share: Part of the remaining tokens that all routers together hold
        at most, if their use is even.
      refill_below: Part of the goal below which a router draws again.
      return_above: Multiple of the goal above which a router returns tokens.
      rate_memory_s: Time constant of the estimate of use, in seconds.
    """

    outage_s: float = 10.0
    first_share: float = 0.25
    rest_share: float = 0.7
    refill_below: float = 0.6
    return_above: float = 3.0
    rate_memory_s: float = 5.0


class UseRate:
    """Tokens per second that a workspace uses at this router."""

    def __init__(self, memory_s: float, now_s: float) -> None:
        self._memory_s = memory_s
        self._updated_s = now_s
        self._rate = 0.0

    def add(self, tokens: int, now_s: float) -> None:
        """Records use."""
        self._decay(now_s)
        self._rate += tokens / self._memory_s

    def per_s(self, now_s: float) -> float:
        """Returns the present rate."""
        self._decay(now_s)
        return self._rate

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        self._rate *= math.exp(-elapsed_s / self._memory_s)


@attrs.frozen
class Position:
    """State of one workspace at one router.

    Attributes:
      prepaid: Prepaid amount.
      drawn_by_all: Last known total of all routers' draws.
      available: Tokens available at this router.
      rate_per_s: Tokens per second used at this router.
      used_before: Whether this router has served the workspace.
      routers: Number of routers that are alive.
    """

    prepaid: int
    drawn_by_all: int
    available: int
    rate_per_s: float
    used_before: bool
    routers: int

    @property
    def undrawn(self) -> int:
        """Tokens that no router has drawn."""
        return max(0, self.prepaid - self.drawn_by_all)


def goal(position: Position, cfg: DrawConfig) -> int:
    """Returns how many tokens the router should have available."""
    routers = max(1, position.routers)
    rest = position.undrawn + max(0, position.available)
    bound = cfg.rest_share * rest / routers
    if not position.used_before:
        bound = min(bound, cfg.first_share * position.prepaid / routers)
        return int(bound)
    # A router with more than its even share of the use may hold up to twice
    # the even bound.
    return int(min(2.0 * bound, cfg.outage_s * position.rate_per_s))


def planned_change(position: Position, cfg: DrawConfig) -> int:
    """Returns the tokens to draw (positive) or to return (negative)."""
    if position.drawn_by_all > position.prepaid:
        return -max(
            0,
            min(position.available, position.drawn_by_all - position.prepaid),
        )
    wanted = goal(position, cfg)
    if position.available < cfg.refill_below * wanted:
        return min(position.undrawn, wanted - position.available)
    if position.used_before and position.available > cfg.return_above * wanted:
        surplus = position.available - wanted
        # Small returns cost more calls than they are worth.
        if surplus > cfg.rest_share * position.undrawn / max(
            1, position.routers
        ):
            return -surplus
    return 0
