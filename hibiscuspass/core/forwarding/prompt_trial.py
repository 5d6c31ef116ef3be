"""Decides what the answer of an engine shows about its prompt.

Load pattern: a part of a prompt crashes each engine that begins to write an
answer to it. Some events of such an answer may reach the router before the
crash, which ends the other answers of the engine at any event too.
"""

import enum

# An engine that has written for this long, in seconds, has not crashed at the
# beginning of its answer.
_MIN_WRITING_S = 2.0
# A longer pause between two events may be a time in which the router itself
# was suspended, so that the events are older than they seem.
_MAX_PAUSE_S = 0.5


class Finding(enum.Enum):
    """What an answer that has ended shows about its prompt."""

    # The engine has not crashed on the prompt.
    SOUND = enum.auto()
    # The answer is incomplete. If the engine has crashed, its prompt may be
    # the cause.
    LOST = enum.auto()
    # The end of the connection is the only end of the answer, so that a
    # complete answer looks like one that a crash has cut off.
    AMBIGUOUS = enum.auto()


class PromptTrial:
    """Follows one answer of an engine.

    All times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._last_event_s: float | None = None
        self._writing_s = 0.0
        self._is_sound = False

    @property
    def has_begun(self) -> bool:
        """Whether an event has arrived."""
        return self._last_event_s is not None

    def on_event(self, now_s: float) -> bool:
        """Records an event; returns whether it shows a sound prompt.

        It does so at most once.
        """
        if self._last_event_s is not None:
            pause_s = now_s - self._last_event_s
            self._writing_s += min(pause_s, _MAX_PAUSE_S)
        self._last_event_s = now_s
        if self._is_sound or self._writing_s < _MIN_WRITING_S:
            return False
        self._is_sound = True
        return True

    def on_end(self, *, is_complete: bool, has_framing: bool) -> Finding | None:
        """Records the end of the answer.

        Args:
          is_complete: Whether no part of the answer is known to be missing.
          has_framing: Whether a length or chunks show where the body ends.

        Returns:
          The finding; None if the answer shows nothing new.
        """
        if not is_complete:
            return Finding.LOST
        if self._is_sound or self._last_event_s is None:
            return None
        return Finding.SOUND if has_framing else Finding.AMBIGUOUS
