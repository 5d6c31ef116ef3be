"""Times to first events that a service needs without load."""

import math

# Time for which shortest times are kept at least. It is longer than most
# overloads, in which all times are long.
_UNLOADED_S = 300.0


class UnloadedTimes:
    """Shortest times to first events in the last minutes, by prompt size."""

    def __init__(self) -> None:
        # Times in seconds by the binary magnitude of the number of tokens.
        self._current: dict[int, float] = {}
        self._previous: dict[int, float] = {}
        self._next_s = -math.inf

    def on_first_event(
        self, input_tokens: int, elapsed_s: float, now_s: float
    ) -> None:
        """Records the time to a first event."""
        if now_s >= self._next_s:
            self._current, self._previous = {}, self._current
            self._next_s = now_s + _UNLOADED_S
        size = input_tokens.bit_length()
        self._current[size] = min(elapsed_s, self._current.get(size, math.inf))

    def of(self, input_tokens: int) -> float:
        """Returns the time in seconds for a similar size; 0 if unknown."""
        size = input_tokens.bit_length()
        return min(
            (
                times[near]
                for times in (self._current, self._previous)
                for near in (size - 1, size, size + 1)
                if near in times
            ),
            default=0.0,
        )
