"""Number of the store's era, which rises when it is restored from a copy.

Load pattern: a recovery drill restores the store from a copy that is some
seconds old. Writes since the copy are lost, and their revisions are assigned
again, so revisions can be compared only within one era.
"""

from collections.abc import Callable

import structlog

_log = structlog.get_logger(__name__)

# Called with the new era.
OnChange = Callable[[int], None]


class StoreEra:
    """Newest known era of one store.

    Attributes:
      current: Newest known era; None if the store names none.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self._listeners: list[OnChange] = []

    def listen(self, on_change: OnChange) -> None:
        """Calls a function with each further era, but not with the first."""
        self._listeners.append(on_change)

    def on_answer(self, era: int) -> bool:
        """Records the era of an answer.

        Returns:
          Whether the answer belongs to the newest era, not to an earlier one.
        """
        if self.current is None:
            self.current = era
        if era > self.current:
            self.current = era
            _log.warning("store restored from a copy", era=era)
            for listener in self._listeners:
                listener(era)
        return era == self.current

    def on_announced(self, era: int | None) -> bool:
        """Records the era that a peer has announced.

        It is ignored before the first answer of the store, which shows whether
        the store names eras.

        Returns:
          Whether the peer knows the same era as this router.
        """
        if self.current is None or era is None:
            return era == self.current
        return self.on_answer(era)
