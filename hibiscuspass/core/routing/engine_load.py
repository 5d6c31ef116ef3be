"""Load of one engine as estimated by one router."""

import collections
import math

import attrs

from hibiscuspass.backends import engine

# Limits of the learned slowness, which is the measured over the assumed time
# to the first token. `_SLOWNESS_GAIN` is the share of each measured deviation
# by which the slowness changes.
_MIN_SLOWNESS = 0.25
_MAX_SLOWNESS = 8.0
_SLOWNESS_GAIN = 0.1
# Time in which the slowness returns to 1 without new measurements, so that an
# engine that was slow once is tried again.
_SLOWNESS_DECAY_S = 30.0


@attrs.define
class _OwnRequest:
    """A request that this router sent to the engine."""

    sent_s: float
    uncached_tokens: int
    expected_s: float
    first_token_s: float | None = None
    finished_s: float | None = None

    def awaits_first_token_at(self, time_s: float) -> bool:
        return self.sent_s <= time_s and not (
            self.first_token_s is not None and self.first_token_s <= time_s
        )

    def in_flight_at(self, time_s: float) -> bool:
        return self.sent_s <= time_s and not (
            self.finished_s is not None and self.finished_s <= time_s
        )


@attrs.frozen
class OtherRoutersLoad:
    """Load of an engine that comes from other routers.

    Attributes:
      tokens: Queued prompt tokens.
      requests: Running and waiting requests.
    """

    tokens: float
    requests: float


class EngineLoad:
    """Combines the last load report with the requests of this router.

    A load report shows a past state of the engine. The router knows its own
    requests in that state exactly and replaces them by its current ones. The
    load from other routers decays to the mean of all engines as the report
    ages: an engine processes its queue in less time than it takes for the next
    report to arrive, and if all routers avoided the engine with the longest
    reported queue, that engine would become idle.
    """

    def __init__(
        self,
        max_report_age_s: float,
        queue_decay_s: float,
        request_decay_s: float,
    ) -> None:
        self._max_report_age_s = max_report_age_s
        self._queue_decay_s = queue_decay_s
        self._request_decay_s = request_decay_s
        self._report: engine.LoadReport | None = None
        self._report_s = float("-inf")
        self._other_tokens = 0.0
        self._other_requests = 0.0
        self._awaiting_first_token: dict[str, _OwnRequest] = {}
        self._own_queued_tokens = 0
        self._in_flight: dict[str, _OwnRequest] = {}
        self._recently_finished: collections.deque[_OwnRequest] = (
            collections.deque()
        )
        self._last_first_token_s = float("-inf")
        self._slowness = 1.0
        self._slowness_s = 0.0

    @property
    def report(self) -> engine.LoadReport | None:
        """The last load report."""
        return self._report

    @property
    def own_in_flight(self) -> int:
        """Number of this router's unfinished requests on the engine."""
        return len(self._in_flight)

    def on_report(self, report: engine.LoadReport, measured_s: float) -> None:
        """Records a load report.

        Args:
          report: Load report; ignored if it is older than the last one.
          measured_s: Time of the measurement on the local clock in seconds.
        """
        if measured_s < self._report_s:
            return
        self._report = report
        self._report_s = measured_s
        own = [*self._recently_finished, *self._in_flight.values()]
        own_tokens = sum(
            o.uncached_tokens
            for o in own
            if o.awaits_first_token_at(measured_s)
        )
        own_requests = sum(o.in_flight_at(measured_s) for o in own)
        self._other_tokens = max(0, report.queued_prompt_tokens - own_tokens)
        self._other_requests = max(
            0, report.running + report.waiting - own_requests
        )

    def on_dispatch(
        self,
        request_id: str,
        uncached_tokens: int,
        expected_s: float,
        now_s: float,
    ) -> None:
        """Records a request sent to the engine."""
        own = _OwnRequest(now_s, uncached_tokens, expected_s)
        self._awaiting_first_token[request_id] = own
        self._in_flight[request_id] = own
        self._own_queued_tokens += uncached_tokens

    def on_first_token(self, request_id: str, now_s: float) -> None:
        """Records a first token and updates the engine's slowness."""
        own = self._remove_awaiting(request_id, now_s)
        if own is None:
            return
        self._last_first_token_s = now_s
        ratio = (now_s - own.sent_s) / max(own.expected_s, 1e-6)
        current = self.slowness(now_s)
        # The expected time already contains the slowness when the request was
        # sent, so the ratio is relative to it. The ratio is limited so that a
        # single outlier has little effect.
        target = current * min(max(ratio, 0.25), 4.0)
        current += _SLOWNESS_GAIN * (target - current)
        self._slowness = min(max(current, _MIN_SLOWNESS), _MAX_SLOWNESS)
        self._slowness_s = now_s

    def on_finish(self, request_id: str, now_s: float) -> None:
        """Records the end of a request."""
        self._remove_awaiting(request_id, now_s)
        own = self._in_flight.pop(request_id, None)
        if own is None:
            return
        own.finished_s = now_s
        self._recently_finished.append(own)
        while self._recently_finished and (
            (self._recently_finished[0].finished_s or 0.0)
            < now_s - self._max_report_age_s
        ):
            self._recently_finished.popleft()

    @property
    def other_routers_load(self) -> OtherRoutersLoad:
        """Load from other routers in the last report."""
        return OtherRoutersLoad(self._other_tokens, self._other_requests)

    def queued_tokens(self, mean_load: OtherRoutersLoad, now_s: float) -> float:
        """Returns the prompt tokens expected to be queued now.

        Args:
          mean_load: Load from other routers, averaged over the engines.
          now_s: Current time in seconds.
        """
        weight = self._report_weight(self._queue_decay_s, now_s)
        return self._own_queued_tokens + _blend(
            self._other_tokens, mean_load.tokens, weight
        )

    def requests(self, mean_load: OtherRoutersLoad, now_s: float) -> float:
        """Returns the requests expected to run or wait on the engine now."""
        weight = self._report_weight(self._request_decay_s, now_s)
        return len(self._in_flight) + _blend(
            self._other_requests, mean_load.requests, weight
        )

    def slowness(self, now_s: float) -> float:
        """Returns the measured over the assumed time to the first token."""
        age_s = max(0.0, now_s - self._slowness_s)
        weight = max(0.0, 1.0 - age_s / _SLOWNESS_DECAY_S)
        return 1.0 + (self._slowness - 1.0) * weight

    def overdue_s(self, now_s: float) -> float:
        """Returns for how long a first token is overdue, 0 if none is.

        The time counts from the expected first token of the oldest unanswered
        request or from the last first token of any request if that is later.
        """
        oldest = next(iter(self._awaiting_first_token.values()), None)
        if oldest is None:
            return 0.0
        due_s = max(oldest.sent_s + oldest.expected_s, self._last_first_token_s)
        return max(0.0, now_s - due_s)

    def _report_weight(self, decay_s: float, now_s: float) -> float:
        age_s = max(0.0, now_s - self._report_s)
        return (
            math.exp(-age_s / decay_s)
            if age_s < self._max_report_age_s
            else 0.0
        )

    def _remove_awaiting(
        self, request_id: str, now_s: float
    ) -> _OwnRequest | None:
        own = self._awaiting_first_token.pop(request_id, None)
        if own is not None:
            self._own_queued_tokens -= own.uncached_tokens
            own.first_token_s = now_s
        return own


def _blend(reported: float, mean: float, weight: float) -> float:
    return mean + (reported - mean) * weight
