"""Up to where a router may use its tokens while it reaches the store.

Load pattern: any router, or all of them, may be lost at any moment with tokens
that they drew for an outage of the store. A router therefore uses only a small
part of them, up to a limit in its record, until it has not reached the store
for `seal_s`. A next start that knows that the router ended sooner takes over
everything beyond the limit.
"""

from collections.abc import Mapping
import math

import attrs

from hibiscuspass.core.prepaid import draw_policy

# A stop by loss of power and the next start take this long, in seconds.
_RESTART_S = 2.0
# Shortest time between two writes of the limits, in seconds.
_MIN_INTERVAL_S = 0.75
# Room as a multiple of the mean use, since requests are few and large.
_AMPLE_HEADROOM_FACTOR = 2.0
# Writes of limits per second of all routers together, as an aim.
_TARGET_FLEET_WRITES_PER_S = 40.0


def interval_s(routers: int) -> float:
    """Returns the time between two writes of the limits of one router."""
    return max(_MIN_INTERVAL_S, routers / _TARGET_FLEET_WRITES_PER_S)


def duration_s(routers: int) -> float:
    """Returns how long tokens beyond the limit stay sealed after a write.

    A peer's evidence is older than the last write by up to one interval.
    """
    return 2.0 * interval_s(routers) + _RESTART_S


def headroom(
    state: draw_policy.WorkspaceState,
    duration_s: float,
    urgent_per_s: float,
    cfg: draw_policy.DrawConfig,
) -> int:
    """Returns the tokens between what is consumed and the limit.

    They are lost with the router. Near the end of the prepaid amount, where
    each lost token is missed, there is room for the most urgent requests;
    others wait for a write of their own.

    Args:
      state: State of the workspace.
      duration_s: Time for which the limit holds, in seconds.
      urgent_per_s: Tokens per second of the most urgent requests.
      cfg: Sizes of draws.
    """
    ahead = math.ceil(duration_s * state.rate_per_s)
    left = state.undrawn / max(1, state.routers) + state.available
    if left >= cfg.outage_s * state.rate_per_s:
        return math.ceil(_AMPLE_HEADROOM_FACTOR * ahead)
    lost = cfg.max_lost_share * state.prepaid / max(1, state.routers)
    return min(ahead, int(lost + duration_s * urgent_per_s))


@attrs.frozen
class Stamp:
    """When a record was sent.

    Attributes:
      sent_s: Time on the monotonic clock of this process.
      wall_ms: Time of day in Unix milliseconds.
      seen_revision: Newest revision of the store that was known.
    """

    sent_s: float
    wall_ms: int
    seen_revision: int


@attrs.define
class UsageLimits:
    """The limits of one router, through writes of unknown outcome.

    A write without an answer may take effect later, so all writes after it
    carry its stamp until one of them is confirmed or read back.

    Attributes:
      duration_s: Longest sealed time of any record that was sent, in seconds.
    """

    duration_s: float = 0.0
    _confirmed: Stamp | None = None
    _unconfirmed: Stamp | None = None
    _has_uncertain_write: bool = False
    # Limits of the confirmed record, and the lowest ones of all records that
    # may be in the store.
    _confirmed_limits: dict[str, int] = attrs.field(factory=dict)
    _lowest_limits: dict[str, int] = attrs.field(factory=dict)

    def plan(
        self, limits: Mapping[str, int], duration_s: float, now: Stamp
    ) -> Stamp:
        """Takes in the limits of the next record; returns its stamp.

        A lower limit holds at once and a higher one when it is confirmed,
        because any record that was sent may be the one in the store.
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
        """Takes in the limits of a record that is in the store."""
        if self._unconfirmed is not None:
            self._confirmed = self._unconfirmed
        self._unconfirmed = None
        self._has_uncertain_write = False
        self._confirmed_limits = self._lowest_limits = dict(limits)

    def on_not_done(self) -> None:
        """Takes in that the last record certainly has no effect."""
        if not self._has_uncertain_write:
            self._unconfirmed = None
            self._lowest_limits = self._confirmed_limits

    def on_unknown(self) -> None:
        """Takes in that the last record may take effect later."""
        self._has_uncertain_write = True

    @property
    def confirmed_stamp(self) -> Stamp | None:
        """Stamp of the record that is in the store."""
        return self._confirmed

    @property
    def last_stamp(self) -> Stamp | None:
        """Stamp of the newest record that may be in the store."""
        return self._unconfirmed or self._confirmed

    def expires_at_s(self) -> float:
        """Returns the time from which on all drawn tokens may be used."""
        stamp = self.last_stamp
        return stamp.sent_s + self.duration_s if stamp else float("-inf")

    def outage_remaining_s(self, due_s: float, now_s: float) -> float:
        """Returns for how long an outage will leave tokens sealed.

        Args:
          due_s: Age of the last record that tells of an outage, in seconds.
          now_s: Present time on the monotonic clock.
        """
        stamp = self.last_stamp
        if stamp is None or now_s - stamp.sent_s < due_s:
            return 0.0
        return max(0.0, self.expires_at_s() - now_s)

    def limits(self, now_s: float) -> Mapping[str, int] | None:
        """Returns the limits in force; None if there are none."""
        return self._lowest_limits if now_s < self.expires_at_s() else None
