"""Splits a stream of server-sent events at event boundaries."""

import re

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
# A block whose lines all begin with a colon is a comment, no event.
_COMMENT = re.compile(rb"(?::[^\r\n]*(?:\r\n|\n|\r))+(?:\r\n|\n|\r)")


class EventScanner:
    """Separates complete events from a partially received one.

    Attributes:
      events: Number of complete events so far.
      last_id: Id of the last complete event that had one.
    """

    def __init__(self) -> None:
        self.events = 0
        self.last_id: str | None = None
        self._rest = b""

    @property
    def incomplete_event(self) -> bytes:
        """Received bytes of an event that is not complete yet."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the bytes of all complete events.

        The result includes the comments between them.
        """
        data = self._rest + data
        end = 0
        for match in _BOUNDARY.finditer(data):
            event = data[end : match.end()]
            end = match.end()
            if _COMMENT.fullmatch(event):
                continue
            self.events += 1
            id_match = _ID.search(event)
            if id_match:
                self.last_id = id_match.group(1).decode("utf-8", "replace")
        self._rest = data[end:]
        return data[:end]

    def discard_incomplete_event(self) -> None:
        """Discards the bytes of an event that was interrupted."""
        self._rest = b""
