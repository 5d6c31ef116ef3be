"""Asks that wait until the witness has acknowledged their permits."""

import itertools

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit_row

_Waiter = tuple[incarnation.Incarnation, messages.Ask]


class AskWaiters:
    """Asks and their senders, by request id."""

    def __init__(self) -> None:
        self._waiting: dict[str, list[_Waiter]] = {}

    def add(self, sender: incarnation.Incarnation, ask: messages.Ask) -> None:
        """Adds an ask that waits for its permit's acknowledgement."""
        self._waiting.setdefault(ask.request_id, []).append((sender, ask))

    def pop(self, row: permit_row.PermitRow) -> list[_Waiter]:
        """Removes the asks of a request and returns those of its attempt."""
        return [
            (sender, ask)
            for sender, ask in self._waiting.pop(row.request_id, ())
            if ask.attempt_id == row.attempt_id and sender == row.entry
        ]

    def all(self) -> list[_Waiter]:
        """Returns all waiting asks with their senders."""
        return list(itertools.chain.from_iterable(self._waiting.values()))
