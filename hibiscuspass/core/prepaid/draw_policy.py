"""Policy for drawing prepaid tokens from the store and returning them.

The store may be unreachable for up to `outage_s` while callers keep sending
requests, so each router draws enough tokens in advance for about `outage_s` of
its own usage. A router that crashes may lose the tokens that it holds, so this
amount is also bounded by a share of the remaining tokens. A router that runs
short borrows from its peers.
"""

import math

import attrs

# Usage in seconds that the initial estimate of a rate counts for.
_INITIAL_WEIGHT_S = 3.0


@attrs.frozen
class DrawConfig:
    """Parameters of the draw policy.

    Attributes:
      outage_s: Length of a store outage that the drawn tokens should cover, in
        seconds.
      initial_share: Share of the undrawn tokens that all routers together draw
        before any usage has been measured.
      held_share: Largest share of the remaining tokens that all routers
        together hold if their usage is even.
      refill_below: Fraction of the target below which a router draws again.
      return_above: Multiple of the target above which a router returns tokens.
      least_requests: Typical requests for which a router that lends to others
        holds tokens at least, as long as `held_share` allows it.
      reserve_s: Period of usage by requests of higher priority for which
        tokens are reserved once few undrawn tokens remain, in seconds.
      max_lost_share: Largest share of the prepaid amount that a crash of all
        routers may lose when the amount is nearly used up, in addition to the
        headroom for requests of the highest priority.
      rate_time_constant_s: Time constant of the usage rate estimate, in
        seconds.
    """

    outage_s: float = 12.0
    initial_share: float = 0.25
    held_share: float = 0.7
    refill_below: float = 0.85
    return_above: float = 2.0
    least_requests: int = 3
    reserve_s: float = 12.0
    max_lost_share: float = 0.01
    rate_time_constant_s: float = 10.0


class UsageRate:
    """Exponentially weighted estimate of the tokens used per second.

    The sum of the used tokens and the time in which they were used decay
    alike, so that the estimate follows the first requests of a new fleet within
    seconds. The initial estimate counts as `_INITIAL_WEIGHT_S` of usage. It
    stays until tokens are used, since routers of a new fleet draw tokens some
    time before its first requests.

    Attributes:
      is_measured: Whether tokens were used, so that the rate is no assumption.
    """

    def __init__(
        self, time_constant_s: float, now_s: float, initial_per_s: float
    ) -> None:
        self.is_measured = False
        self._time_constant_s = time_constant_s
        self._updated_s = now_s
        self._weight_s = _INITIAL_WEIGHT_S
        self._tokens = initial_per_s * _INITIAL_WEIGHT_S

    def add(self, tokens: int, now_s: float) -> None:
        """Records used tokens; a negative number corrects earlier calls."""
        self._decay(now_s)
        self.is_measured = True
        self._tokens += tokens

    def per_s(self, now_s: float) -> float:
        """Returns the current rate."""
        self._decay(now_s)
        return max(0.0, self._tokens / self._weight_s)

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        if not self.is_measured:
            return
        kept = math.exp(-elapsed_s / self._time_constant_s)
        self._tokens *= kept
        self._weight_s = (
            kept * self._weight_s + (1.0 - kept) * self._time_constant_s
        )


@attrs.frozen
class WorkspaceState:
    """State of one workspace at one router, the input of the draw policy.

    Attributes:
      prepaid: Prepaid amount in tokens.
      drawn_by_all: Last known total drawn by all routers.
      available: Tokens of this router that are neither used, held nor lent.
      rate_per_s: Tokens per second used at this router.
      typical_tokens: Tokens of a typical request; 0 before the first request.
      routers: Number of routers that draw for the workspace.
      is_holder: Whether this router is one of them, see `holders`.
      has_borrowers: Whether it lends to routers that draw nothing.
    """

    prepaid: int
    drawn_by_all: int
    available: int
    rate_per_s: float
    typical_tokens: int
    routers: int
    is_holder: bool = True
    has_borrowers: bool = False

    @property
    def undrawn(self) -> int:
        """Prepaid tokens that no router has drawn."""
        return max(0, self.prepaid - self.drawn_by_all)


def initial_rate(undrawn: int, routers: int, cfg: DrawConfig) -> float:
    """Returns the usage rate assumed before any usage is measured."""
    return cfg.initial_share * undrawn / max(1, routers) / cfg.outage_s


def target_tokens(state: WorkspaceState, cfg: DrawConfig) -> int:
    """Returns the number of tokens that the router should hold."""
    if not state.is_holder:
        return 0
    remaining = state.undrawn + max(0, state.available)
    # A router with more than an even share of the usage may hold up to twice
    # the even share of the tokens.
    bound = 2.0 * cfg.held_share * remaining / max(1, state.routers)
    least = (
        cfg.least_requests * state.typical_tokens if state.has_borrowers else 0
    )
    return int(min(bound, max(least, cfg.outage_s * state.rate_per_s)))


def planned_change(state: WorkspaceState, cfg: DrawConfig) -> int:
    """Returns the tokens to draw (positive) or to return (negative)."""
    excess = state.drawn_by_all - state.prepaid
    if excess > 0:
        return -max(0, min(state.available, excess))
    target = target_tokens(state, cfg)
    missing = min(state.undrawn, target - state.available)
    if state.available < cfg.refill_below * target:
        # Draws smaller than a typical request are left to the requests that
        # need them, see `urgent_draw`.
        return missing if missing > state.typical_tokens else 0
    surplus = state.available - target
    if state.available > cfg.return_above * target:
        # Peers can borrow the surplus of an idle router, but a crash loses it.
        # A return is worth a write only if the surplus is large compared with
        # the undrawn tokens.
        floor = cfg.initial_share * state.undrawn / max(1, state.routers)
        return -surplus if surplus > max(floor, state.typical_tokens) else 0
    return 0


def urgent_draw(state: WorkspaceState, tokens: int, cfg: DrawConfig) -> int:
    """Returns the draw for a request; 0 if none is needed or possible.

    If the undrawn tokens don't cover the request, all of them are drawn, since
    they may do so together with loans.

    Args:
      state: State of the workspace.
      tokens: Largest number of tokens that the request can use.
      cfg: Parameters of the policy.
    """
    missing = tokens - state.available
    if missing <= 0:
        return 0
    share = state.undrawn // (2 * max(1, state.routers))
    ahead = max(target_tokens(state, cfg) - state.available, 0)
    return min(state.undrawn, missing + min(share, ahead))


def clip_change(state: WorkspaceState, size: int) -> int:
    """Reduces a draw to the undrawn or a return to the available tokens.

    Args:
      state: Current state of the workspace.
      size: Draw (positive) or return (negative), which may have been planned
        for an earlier state.
    """
    if size > 0:
        return min(size, state.undrawn)
    return -min(-size, max(0, state.available))
