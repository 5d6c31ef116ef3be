"""Temporary limits on how many of its drawn tokens a router may use.

A router draws tokens in advance to cover an outage of the store. If it crashes,
nobody knows how many of them it used, so all of them would be lost. Therefore
each record of a router in the store contains a usage limit per workspace. The
router stays below it until it has failed to write a new record for `seal_s`;
then the limit expires and the router may use all drawn tokens. If the router
restarts and can prove that its previous process ended before the limits
expired, it takes over the tokens above the limits.
"""

from collections.abc import Mapping
import math

import attrs

from hibiscuspass.core.prepaid import draw_policy

# Time from a loss of power to the start of the next process, in seconds.
_RESTART_S = 2.0
# Shortest interval between two writes of the limits by one router, in seconds.
_MIN_INTERVAL_S = 0.75
# Headroom as a multiple of the mean usage while tokens are plentiful. Few large
# requests make the usage uneven.
_AMPLE_HEADROOM_FACTOR = 2.0
# Least headroom of a router that lends to others while tokens are plentiful, in
# typical requests. A workspace with a request every few seconds uses less than
# one request on average while a limit applies.
_AMPLE_HEADROOM_REQUESTS = 3
# Target rate of such writes by all routers together.
_TARGET_FLEET_WRITES_PER_S = 40.0


def interval_s(routers: int) -> float:
    """Returns the interval between writes of the limits by one router."""
    return max(_MIN_INTERVAL_S, routers / _TARGET_FLEET_WRITES_PER_S)


def duration_s(routers: int) -> float:
    """Returns how long a limit applies after its write was sent.

    At a crash, the last record is up to one interval old. Peers report the age
    of its `seen_revision`, which may be older by another interval.
    """
    return 2.0 * interval_s(routers) + _RESTART_S


def headroom(
    state: draw_policy.WorkspaceState,
    duration_s: float,
    urgent_per_s: float,
    cfg: draw_policy.DrawConfig,
) -> int:
    """Returns by how much a limit exceeds the tokens consumed so far.

    A crash of the router loses these tokens. When the prepaid amount is nearly
    used up, the headroom is therefore reduced to a small amount plus the usage
    of the most urgent requests; other requests wait for a write of their own.

    Args:
      state: State of the workspace.
      duration_s: Time for which the limit applies, in seconds.
      urgent_per_s: Tokens per second used by the most urgent requests.
      cfg: Parameters of the draw policy.
    """
    expected_usage = math.ceil(duration_s * state.rate_per_s)
    remaining = state.undrawn / max(1, state.routers) + state.available
    if remaining >= cfg.outage_s * state.rate_per_s:
        ample = math.ceil(_AMPLE_HEADROOM_FACTOR * expected_usage)
        if not state.has_borrowers:
            return ample
        return max(ample, _AMPLE_HEADROOM_REQUESTS * state.typical_tokens)
    max_lost = cfg.max_lost_share * state.prepaid / max(1, state.routers)
    return min(expected_usage, int(max_lost + duration_s * urgent_per_s))


@attrs.frozen
class Stamp:
    """Time at which a record was sent.

    Attributes:
      sent_s: Monotonic time of this process in seconds.
      wall_ms: Wall clock time in Unix milliseconds.
      seen_revision: Newest revision of the store known at that time.
    """

    sent_s: float
    wall_ms: int
    seen_revision: int


@attrs.define
class UsageLimits:
    """Usage limits of one router, including writes of unknown outcome.

    A write without an answer may take effect later. All following writes reuse
    its stamp until one of them is confirmed or read back. Otherwise the limits
    could expire here while the record in the store shows a later time, and the
    next process would take over tokens that were used.

    Attributes:
      duration_s: Longest period of validity in any record sent, in seconds.
    """

    duration_s: float = 0.0
    _confirmed: Stamp | None = None
    _unconfirmed: Stamp | None = None
    _has_uncertain_write: bool = False
    # Limits of the confirmed record, and the lowest limits of all records that
    # the store may contain.
    _confirmed_limits: dict[str, int] = attrs.field(factory=dict)
    _lowest_limits: dict[str, int] = attrs.field(factory=dict)

    def plan(
        self, limits: Mapping[str, int], duration_s: float, now: Stamp
    ) -> Stamp:
        """Adds the limits of the next record; returns the stamp of that record.

        The store may contain any record that was sent. Therefore a lower limit
        applies at once and a higher limit only after its confirmation.
        """
        self.duration_s = max(self.duration_s, duration_s)
        self._lowest_limits = {
            name: min(limit, limits.get(name, 0))
            for name, limit in self._lowest_limits.items()
        }
        if self._unconfirmed is None:
            self._unconfirmed = now
        return self._unconfirmed

    def on_confirmed(self, limits: Mapping[str, int]) -> None:
        """Sets the limits of a record that the store is known to contain."""
        if self._unconfirmed is not None:
            self._confirmed = self._unconfirmed
        self._unconfirmed = None
        self._has_uncertain_write = False
        self._confirmed_limits = self._lowest_limits = dict(limits)

    def on_not_done(self) -> None:
        """Drops the last record after its write certainly failed."""
        if not self._has_uncertain_write:
            self._unconfirmed = None
            self._lowest_limits = self._confirmed_limits

    def on_unknown(self) -> None:
        """Records that the write of the last record may take effect later."""
        self._has_uncertain_write = True

    @property
    def confirmed_stamp(self) -> Stamp | None:
        """Stamp of the last confirmed record."""
        return self._confirmed

    @property
    def last_stamp(self) -> Stamp | None:
        """Stamp of the newest record that the store may contain."""
        return self._unconfirmed or self._confirmed

    @property
    def lowest_limits(self) -> Mapping[str, int]:
        """Lowest limits of all records that the store may contain."""
        return self._lowest_limits

    def expires_at_s(self) -> float:
        """Returns the monotonic time at which the limits expire."""
        stamp = self.last_stamp
        return stamp.sent_s + self.duration_s if stamp else float("-inf")

    def outage_remaining_s(self, due_s: float, now_s: float) -> float:
        """Returns how long the limits still apply in an outage of the store.

        Args:
          due_s: Age of the last record above which the store is considered
            unreachable, in seconds. The result is 0 before that.
          now_s: Current monotonic time.
        """
        stamp = self.last_stamp
        if stamp is None or now_s - stamp.sent_s < due_s:
            return 0.0
        return max(0.0, self.expires_at_s() - now_s)

    def limits(self, now_s: float) -> Mapping[str, int] | None:
        """Returns the limits that apply now; None if they have expired."""
        return self._lowest_limits if now_s < self.expires_at_s() else None
