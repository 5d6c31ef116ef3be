"""Estimates how fast one engine works and how many requests it takes.

Load pattern: engines of one service differ in speed, slow down and recover
during the day, and some slow down long before all their slots are taken. Fixed
weights don't fit, and a slow answer alone doesn't tell a slow engine from a
loaded one. Therefore the speed is learned from times that the load doesn't
explain: the time to the first event relative to the time expected from the
prompts sent before, and the pauses between events while few requests run. The
capacity is the number of requests above which pauses get long compared with
those, or at which the engine refuses requests.

Without observations the estimates approach the means of the service, so that an
engine that was slow gets requests again within seconds.
"""

import bisect
import math

import attrs

# Bounds of a single measured relative to the expected time. One late event
# changes an estimate by a third at most.
_MAX_RATIO = 4.0
# Mean pauses longer by this factor than under light load mean that the engine
# has more requests than it takes well. A full batch and the prompts read in
# between explain a factor of about two.
_SLOW_RATIO = 2.5
# Expected times below this one say little, since the noise of the network and
# of the router is a large part of them.
_NOISE_S = 0.05
# Share of the capacity up to which the load doesn't explain long pauses.
_LIGHT_SHARE = 0.5
_CUT = 0.8
# Least capacity relative to the slots. Below it a few requests would decide.
_MIN_SHARE = 0.125
# Time after which a request is no longer counted if nothing is known of its
# end, such as when the router that sent it has failed, in seconds.
_MAX_IN_FLIGHT_S = 30.0


@attrs.frozen
class CapacityConfig:
    """Parameters of the estimate.

    Attributes:
      initial_token_s: Time to read a prompt token that is assumed before the
        first answer, in seconds.
      weight: Weight of a new observation in the moving averages.
      idle_s: Time without observations after which the estimates begin to
        approach the means of the service, in seconds.
      relax_s: Time constant of the approach, in seconds.
    """

    initial_token_s: float = 1 / 20_000
    weight: float = 0.2
    idle_s: float = 1.0
    relax_s: float = 2.0


@attrs.frozen
class Typical:
    """Means of the engines of a service; 0 where unknown.

    Attributes:
      load: Requests in flight relative to the capacity.
      token_s: Time to read a prompt token in seconds.
      pause_s: Time between two events in seconds.
    """

    load: float = 0.0
    token_s: float = 0.0
    pause_s: float = 0.0


@attrs.frozen
class Served:
    """What a router has observed of one request.

    Attributes:
      duration_s: Time from the send to the end in seconds.
      first_event_s: Time from the send to the first event; 0 without one.
      pause_s: Mean time between two events; 0 with fewer than two events.
      is_refused: Whether the server refused the request because it was full.
      is_complete: Whether the answer is complete and no failure of the server.
    """

    duration_s: float
    first_event_s: float = 0.0
    pause_s: float = 0.0
    is_refused: bool = False
    is_complete: bool = False


@attrs.frozen(order=True)
class _Sent:
    """A request in flight, and the time per prompt token assumed for it."""

    sent_s: float
    token_s: float = 0.0


class ServerCapacity:
    """Estimate of one engine. Times are seconds of a monotonic clock."""

    def __init__(self, cfg: CapacityConfig, slots: int, now_s: float) -> None:
        self._cfg = cfg
        self._slots = max(1, slots)
        self._capacity = float(self._slots)
        self._token_s = cfg.initial_token_s
        self._pause_s = 0.0
        self._light_pause_s = 0.0
        self._duration_s = 0.0
        self._readings = 0
        self._sampled_s = now_s
        self._next_cut_s = now_s
        self._in_flight: list[_Sent] = []
        self._typical = Typical()

    @property
    def in_flight(self) -> int:
        """Number of requests whose end is not known."""
        return len(self._in_flight)

    @property
    def sampled_s(self) -> float:
        """Time of the last observation."""
        return self._sampled_s

    def speed(self, now_s: float) -> float:
        """Returns the speed relative to the mean of the service."""
        ratios = [
            typical / own
            for typical, own in (
                (self._typical.token_s, self.token_s(now_s)),
                (self._typical.pause_s, self._light_pause_s),
            )
            if typical and own
        ]
        return math.prod(ratios) ** (1 / len(ratios)) if ratios else 1.0

    def set_typical(self, typical: Typical) -> None:
        """Sets the means of the service."""
        self._typical = typical

    def token_s(self, now_s: float) -> float:
        """Returns the time to read one prompt token."""
        return self._relaxed(self._token_s, self._typical.token_s, now_s)

    def pause_s(self, now_s: float) -> float:
        """Returns the time between two events; 0 if unknown."""
        return self._relaxed(self._pause_s, self._typical.pause_s, now_s)

    def capacity(self, now_s: float) -> float:
        """Returns the number of requests that the engine takes well."""
        return self._relaxed(self._capacity, self._slots, now_s)

    def load(self, now_s: float) -> float:
        """Returns the load with one more request, relative to the capacity."""
        self._expire(now_s)
        return (self.in_flight + 1) / self.capacity(now_s)

    def slot_wait_s(self) -> float:
        """Returns the time until a slot is free for one more request."""
        excess = max(0, self.in_flight + 1 - self._slots)
        return excess * self._duration_s / self._slots

    def on_sent(self, now_s: float) -> None:
        """Records that a request was sent to the engine."""
        self._expire(now_s)
        bisect.insort(self._in_flight, _Sent(now_s, self.token_s(now_s)))

    def on_not_sent(self, now_s: float) -> None:
        """Records that the last request was not sent after all."""
        self._remove(now_s)

    def on_ended(self, served: Served, expected_s: float, now_s: float) -> None:
        """Records the end of a request.

        Args:
          served: What was observed.
          expected_s: Expected time to the first event; 0 if unknown.
          now_s: Current time.
        """
        load = self.in_flight
        sent = self._remove(now_s - served.duration_s)
        if served.is_refused:
            self._relax(now_s)
            self._cut(load, now_s)
        if not served.first_event_s:
            return
        self._relax(now_s)
        self._duration_s = self._mean(self._duration_s, served.duration_s)
        if expected_s > 0 and sent is not None:
            self._on_first_event(served, expected_s, sent)
        if served.pause_s:
            self._on_pause(served.pause_s, load)
        if load < _LIGHT_SHARE * self._capacity:
            return
        if self._pause_s > _SLOW_RATIO * self._light_pause_s > 0:
            self._cut(load, now_s)
        else:
            self._capacity = min(
                self._slots, self._capacity + 1 / self._capacity
            )

    def _on_first_event(
        self, served: Served, expected_s: float, sent: _Sent
    ) -> None:
        """Updates the time per prompt token.

        The prompts sent before are part of the expected time, so they explain
        their delay. The time is compared with the number of tokens and not with
        the expected time, since the estimate may have changed since the send.
        """
        # The first event needs as many steps as the time between two events.
        reading_s = expected_s - self._pause_s
        if reading_s <= 0 or not sent.token_s:
            return
        tokens = reading_s / sent.token_s
        measured_s = max(0.0, served.first_event_s - self._pause_s) / tokens
        # The first observations count as much as each other, so that a new
        # engine is known after a few of them.
        self._readings += 1
        weight = max(self._cfg.weight, 1 / (1 + self._readings))
        weight *= reading_s / (reading_s + _NOISE_S)
        self._token_s = self._mean(self._token_s, measured_s, weight)

    def _on_pause(self, pause_s: float, load: int) -> None:
        """Updates the pauses, and those that the load doesn't explain."""
        self._pause_s = self._mean(self._pause_s, pause_s)
        is_light = load <= _LIGHT_SHARE * self._capacity
        weight = self._cfg.weight
        if not is_light and pause_s > self._light_pause_s:
            # An engine that is never lightly loaded may have become slow.
            weight /= 8
        self._light_pause_s = self._mean(self._light_pause_s, pause_s, weight)

    def _mean(
        self, mean: float, value: float, weight: float | None = None
    ) -> float:
        """Returns the moving geometric mean, in which outliers count less."""
        if not mean:
            return value
        ratio = min(_MAX_RATIO, max(1 / _MAX_RATIO, value / mean))
        return mean * ratio ** (self._cfg.weight if weight is None else weight)

    def _cut(self, load: int, now_s: float) -> None:
        """Lowers the capacity, once in the duration of a request."""
        if now_s < self._next_cut_s:
            return
        self._next_cut_s = now_s + self._duration_s
        least = max(1.0, _MIN_SHARE * self._slots)
        self._capacity = max(least, _CUT * min(self._capacity, load))

    def _relax(self, now_s: float) -> None:
        """Makes the approach to the means permanent before an observation."""
        self._token_s = self.token_s(now_s)
        self._pause_s = self.pause_s(now_s)
        self._light_pause_s = self._relaxed(
            self._light_pause_s, self._typical.pause_s, now_s
        )
        self._capacity = self.capacity(now_s)
        self._sampled_s = now_s

    def _relaxed(self, own: float, typical: float, now_s: float) -> float:
        if not own or not typical:
            return own or typical
        idle_s = now_s - self._sampled_s - self._cfg.idle_s
        if idle_s <= 0:
            return own
        return typical * (own / typical) ** math.exp(
            -idle_s / self._cfg.relax_s
        )

    def _remove(self, sent_s: float) -> _Sent | None:
        """Removes and returns the request sent nearest to the given time."""
        if not self._in_flight:
            return None
        at = bisect.bisect_left(self._in_flight, _Sent(sent_s))
        near = range(max(0, at - 1), min(len(self._in_flight), at + 1))
        return self._in_flight.pop(
            min(near, key=lambda i: abs(self._in_flight[i].sent_s - sent_s))
        )

    def _expire(self, now_s: float) -> None:
        first = _Sent(now_s - _MAX_IN_FLIGHT_S)
        del self._in_flight[: bisect.bisect_left(self._in_flight, first)]
