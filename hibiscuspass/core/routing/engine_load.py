"""Estimated load of one engine, as one router sees it."""

import collections
import math

import attrs

from hibiscuspass.backends import engine

# The learned slowness stays within these factors of the assumed speed, and
# moves by this share of each measured deviation.
_MIN_SLOWNESS = 0.25
_MAX_SLOWNESS = 8.0
_SLOWNESS_GAIN = 0.1
# Time in which a learned slowness returns to 1 without new measurements, so
# that an engine that was slow once is tried again.
_SLOWNESS_MEMORY_S = 30.0


@attrs.define
class _Own:
    """A request that this router sent."""

    sent_s: float
    work_tokens: int
    expected_s: float
    first_token_s: float | None = None
    finished_s: float | None = None

    def pending_at(self, time_s: float) -> bool:
        return self.sent_s <= time_s and not (
            self.first_token_s is not None and self.first_token_s <= time_s
        )

    def in_flight_at(self, time_s: float) -> bool:
        return self.sent_s <= time_s and not (
            self.finished_s is not None and self.finished_s <= time_s
        )


@attrs.frozen
class OtherLoad:
    """Load that other routers put on an engine.

    Attributes:
      tokens: Queued prompt tokens.
      requests: Running and waiting requests.
    """

    tokens: float
    requests: float


class EngineLoad:
    """Combines the last load report with the router's own requests.

    A report shows the engine as it was; the router's own share of it is known
    exactly and is replaced by its share as it is now. The share of the others
    approaches the mean of all engines with the age of the report: a queue is
    worked off in less time than a report takes, and routers that all avoid the
    engine with the longest reported queue leave it idle.
    """

    def __init__(
        self, memory_s: float, queue_memory_s: float, batch_memory_s: float
    ) -> None:
        self._memory_s = memory_s
        self._queue_memory_s = queue_memory_s
        self._batch_memory_s = batch_memory_s
        self._report: engine.LoadReport | None = None
        self._report_s = float("-inf")
        self._other_tokens = 0.0
        self._other_requests = 0.0
        self._pending: dict[str, _Own] = {}
        self._own_tokens = 0
        self._in_flight: dict[str, _Own] = {}
        self._recent: collections.deque[_Own] = collections.deque()
        self._progress_s = float("-inf")
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
        """Takes in a report measured at `measured_s`, local clock."""
        if measured_s < self._report_s:
            return
        self._report = report
        self._report_s = measured_s
        own = [*self._recent, *self._in_flight.values()]
        own_tokens = sum(o.work_tokens for o in own if o.pending_at(measured_s))
        own_requests = sum(o.in_flight_at(measured_s) for o in own)
        self._other_tokens = max(0, report.queued_prompt_tokens - own_tokens)
        self._other_requests = max(
            0, report.running + report.waiting - own_requests
        )

    def on_dispatch(
        self, request_id: str, work_tokens: int, expected_s: float, now_s: float
    ) -> None:
        """Records a request sent to the engine."""
        own = _Own(now_s, work_tokens, expected_s)
        self._pending[request_id] = own
        self._in_flight[request_id] = own
        self._own_tokens += work_tokens

    def on_first_token(self, request_id: str, now_s: float) -> None:
        """Records a first token and learns the engine's speed from it."""
        own = self._settle_pending(request_id, now_s)
        if own is None:
            return
        self._progress_s = now_s
        ratio = (now_s - own.sent_s) / max(own.expected_s, 1e-6)
        current = self.slowness(now_s)
        # Measured against the expectation that already contains the slowness
        # of the time of sending; a bounded step keeps one outlier from
        # dominating.
        target = current * min(max(ratio, 0.25), 4.0)
        current += _SLOWNESS_GAIN * (target - current)
        self._slowness = min(max(current, _MIN_SLOWNESS), _MAX_SLOWNESS)
        self._slowness_s = now_s

    def on_finish(self, request_id: str, now_s: float) -> None:
        """Records the end of a request."""
        self._settle_pending(request_id, now_s)
        own = self._in_flight.pop(request_id, None)
        if own is None:
            return
        own.finished_s = now_s
        self._recent.append(own)
        while self._recent and (
            (self._recent[0].finished_s or 0.0) < now_s - self._memory_s
        ):
            self._recent.popleft()

    @property
    def others(self) -> OtherLoad:
        """Load of other routers in the last report."""
        return OtherLoad(self._other_tokens, self._other_requests)

    def queued_tokens(self, mean: OtherLoad, now_s: float) -> float:
        """Returns the prompt tokens expected to be queued now.

        Args:
          mean: Load of other routers, averaged over the engines.
          now_s: Current time in seconds.
        """
        kept = self._kept(self._queue_memory_s, now_s)
        return self._own_tokens + _blend(self._other_tokens, mean.tokens, kept)

    def requests(self, mean: OtherLoad, now_s: float) -> float:
        """Returns the requests expected to run or wait on the engine now."""
        kept = self._kept(self._batch_memory_s, now_s)
        return len(self._in_flight) + _blend(
            self._other_requests, mean.requests, kept
        )

    def slowness(self, now_s: float) -> float:
        """Returns measured over assumed time to the first token."""
        age_s = max(0.0, now_s - self._slowness_s)
        kept = max(0.0, 1.0 - age_s / _SLOWNESS_MEMORY_S)
        return 1.0 + (self._slowness - 1.0) * kept

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long an answer is overdue, 0 if none is.

        Counted from the expected first token of the oldest unanswered request
        or the last first token of any request, whichever is later.
        """
        oldest = next(iter(self._pending.values()), None)
        if oldest is None:
            return 0.0
        due_s = max(oldest.sent_s + oldest.expected_s, self._progress_s)
        return max(0.0, now_s - due_s)

    def _kept(self, memory_s: float, now_s: float) -> float:
        age_s = max(0.0, now_s - self._report_s)
        return math.exp(-age_s / memory_s) if age_s < self._memory_s else 0.0

    def _settle_pending(self, request_id: str, now_s: float) -> _Own | None:
        own = self._pending.pop(request_id, None)
        if own is not None:
            self._own_tokens -= own.work_tokens
            own.first_token_s = now_s
        return own


def _blend(reported: float, mean: float, kept: float) -> float:
    return mean + (reported - mean) * kept
