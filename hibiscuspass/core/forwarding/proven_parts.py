"""Prompt parts that do not crash engines."""

import collections
from collections.abc import Iterable

# Bounds the memory of a router that sees many sessions.
_MAX_PARTS = 20_000
# Answers that are counted.
_MAX_ANSWERS = 1000


class ProvenParts:
    """Times at which parts were last shown not to crash engines.

    See `prompt_trial` for what shows it. All times are seconds of a monotonic
    clock.
    """

    def __init__(self) -> None:
        self._proven_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._answers_s: collections.deque[float] = collections.deque(
            maxlen=_MAX_ANSWERS
        )

    def add(self, part_ids: Iterable[str], now_s: float) -> None:
        """Records an answer that shows that its prompt is sound."""
        self._answers_s.append(now_s)
        for part_id in part_ids:
            self._proven_s[part_id] = now_s
            self._proven_s.move_to_end(part_id)
        while len(self._proven_s) > _MAX_PARTS:
            self._proven_s.popitem(last=False)

    def is_proven_since(self, part_id: str, since_s: float) -> bool:
        """Returns whether an answer has shown it at or after a time."""
        return self._proven_s.get(part_id, float("-inf")) >= since_s

    def answers_since(self, since_s: float) -> int:
        """Returns the number of answers since a time, up to a limit."""
        return sum(at_s >= since_s for at_s in self._answers_s)
