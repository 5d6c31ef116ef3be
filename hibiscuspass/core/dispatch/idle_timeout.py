"""Estimates how long a stream may be silent before its connection is closed."""

# The time to the first event includes queueing and prompt processing.
_DEFAULT_FIRST_EVENT_S = 30.0
_DEFAULT_MIN_S = 1.0
_DEFAULT_MAX_S = 15.0
# Used until the first gap is measured. A needless resume costs little.
_INITIAL_TIMEOUT_S = 5.0
# Gains of TCP's retransmission timer (RFC 6298), which also derives a timeout
# from varying samples.
_MEAN_GAIN = 0.125
_DEVIATION_GAIN = 0.25
# Batching engines stall for several steps while they process a long prompt.
_DEVIATION_FACTOR = 8.0
_MEAN_FACTOR = 20.0


class IdleTimeoutEstimator:
    """Adapts the idle timeout of one stream to the gaps between its events."""

    __slots__ = (
        "_deviation_s",
        "_first_event_s",
        "_max_s",
        "_mean_s",
        "_min_s",
        "_samples",
    )

    def __init__(
        self,
        *,
        first_event_s: float = _DEFAULT_FIRST_EVENT_S,
        min_s: float = _DEFAULT_MIN_S,
        max_s: float = _DEFAULT_MAX_S,
    ) -> None:
        self._first_event_s = first_event_s
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._samples = 0

    def observe(self, gap_s: float) -> None:
        """Adds the measured time between two events."""
        if self._samples == 0:
            self._mean_s = gap_s
            self._deviation_s = gap_s / 2
        else:
            error = gap_s - self._mean_s
            self._mean_s += _MEAN_GAIN * error
            self._deviation_s += _DEVIATION_GAIN * (
                abs(error) - self._deviation_s
            )
        self._samples += 1

    def first_event_timeout_s(self) -> float:
        """Returns the timeout until the first event of a dispatch."""
        return self._first_event_s

    def timeout_s(self) -> float:
        """Returns the current timeout between two events."""
        if self._samples == 0:
            return min(_INITIAL_TIMEOUT_S, self._max_s)
        timeout_s = (
            _MEAN_FACTOR * self._mean_s + _DEVIATION_FACTOR * self._deviation_s
        )
        return min(max(timeout_s, self._min_s), self._max_s)
