"""How many prepaid tokens a router draws ahead or returns.

Load pattern: the store is out of reach of some or all routers for up to
`outage_s` while callers keep sending, and any router may be lost with what it
holds. Each router therefore holds about `outage_s` of its own use, and only a
bounded part of what remains. What one router lacks, its peers lend.
"""

import math

import attrs


@attrs.frozen
class DrawConfig:
    """Sizes of draws.

    Attributes:
      outage_s: Time without the store that drawn tokens should last, seconds.
      initial_share: Part of the undrawn tokens that all routers together draw
        before any use is known.
      held_share: Part of the remaining tokens that all routers together hold
        at most, if their use is even.
      refill_below: Part of the goal below which a router draws again.
      return_above: Multiple of the goal above which a router returns tokens.
      reserve_s: Time for which tokens are kept back for more urgent kinds of
        requests once the store has few left, in seconds.
      max_lost_share: Part of the prepaid amount that a loss of all routers may
        cost near the end of that amount, besides the room for the most
        urgent requests.
      rate_time_constant_s: Time constant of the estimate of use, in seconds.
    """

    outage_s: float = 12.0
    initial_share: float = 0.25
    held_share: float = 0.7
    refill_below: float = 0.85
    return_above: float = 2.0
    reserve_s: float = 12.0
    max_lost_share: float = 0.01
    rate_time_constant_s: float = 10.0


class UsageRate:
    """Tokens per second that are used at this router."""

    def __init__(
        self, time_constant_s: float, now_s: float, initial_per_s: float
    ) -> None:
        self._time_constant_s = time_constant_s
        self._updated_s = now_s
        self._rate = initial_per_s

    def add(self, tokens: int, now_s: float) -> None:
        """Records use."""
        self._decay(now_s)
        self._rate += tokens / self._time_constant_s

    def per_s(self, now_s: float) -> float:
        """Returns the present rate."""
        self._decay(now_s)
        return max(0.0, self._rate)

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        self._rate *= math.exp(-elapsed_s / self._time_constant_s)


@attrs.frozen
class WorkspaceState:
    """State of one workspace at one router.

    Attributes:
      prepaid: Prepaid amount.
      drawn_by_all: Last known total of all routers' draws.
      available: Tokens available at this router.
      rate_per_s: Tokens per second used at this router.
      typical: Tokens of a typical request; 0 before the first one.
      routers: Number of routers that share the workspace's tokens.
      is_holder: Whether this router is one of them.
    """

    prepaid: int
    drawn_by_all: int
    available: int
    rate_per_s: float
    typical_tokens: int
    routers: int
    is_holder: bool = True

    @property
    def undrawn(self) -> int:
        """Tokens that no router has drawn."""
        return max(0, self.prepaid - self.drawn_by_all)


def initial_rate(undrawn: int, routers: int, cfg: DrawConfig) -> float:
    """Returns the rate of use assumed before any use is known."""
    return cfg.initial_share * undrawn / max(1, routers) / cfg.outage_s


def target_tokens(state: WorkspaceState, cfg: DrawConfig) -> int:
    """Returns how many tokens the router should have available."""
    if not state.is_holder:
        return 0
    rest = state.undrawn + max(0, state.available)
    # A router with more than its even share of the use may hold up to twice
    # the even bound.
    bound = 2.0 * cfg.held_share * rest / max(1, state.routers)
    return int(min(bound, cfg.outage_s * state.rate_per_s))


def planned_change(state: WorkspaceState, cfg: DrawConfig) -> int:
    """Returns the tokens to draw (positive) or to return (negative)."""
    excess = state.drawn_by_all - state.prepaid
    if excess > 0:
        return -max(0, min(state.available, excess))
    wanted = target_tokens(state, cfg)
    missing = min(state.undrawn, wanted - state.available)
    if state.available < cfg.refill_below * wanted:
        # Smaller draws are left to the requests that need them.
        return missing if missing > state.typical_tokens else 0
    surplus = state.available - wanted
    if state.available > cfg.return_above * wanted:
        # Tokens at an idle router are lost with it, but can be borrowed; a
        # return is worth a call only if much of the rest is there.
        floor = cfg.initial_share * state.undrawn / max(1, state.routers)
        return -surplus if surplus > max(floor, state.typical_tokens) else 0
    return 0


def urgent_draw(state: WorkspaceState, tokens: int, cfg: DrawConfig) -> int:
    """Returns the draw that gives a request room; 0 if there is none.

    Args:
      state: State of the workspace.
      tokens: The most that the request can use.
      cfg: Sizes of draws.
    """
    missing = tokens - state.available
    if not 0 < missing <= state.undrawn:
        return 0
    share = state.undrawn // (2 * max(1, state.routers))
    ahead = max(target_tokens(state, cfg) - state.available, 0)
    return min(state.undrawn, missing + min(share, ahead))


def clip_change(state: WorkspaceState, size: int) -> int:
    """Returns a draw (positive) or a return as far as there are tokens.

    Args:
      state: Present state of the workspace.
      size: Change that may have been planned for an earlier state.
    """
    if size > 0:
        return min(size, state.undrawn)
    return -min(-size, max(0, state.available))
