"""Splits a stream of server-sent events at event boundaries."""

import re

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventScanner:
    """Cuts received bytes into whole events.

    Attributes:
      events: Number of whole events so far.
      last_id: Id of the last whole event, if it had one.
    """

    def __init__(self) -> None:
        self.events = 0
        self.last_id: str | None = None
        self._rest = b""

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of an event that is not complete."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Takes in bytes; returns those that complete whole events."""
        data = self._rest + data
        end = 0
        for match in _BOUNDARY.finditer(data):
            event = data[end : match.end()]
            end = match.end()
            self.events += 1
            found = _ID.search(event)
            if found:
                self.last_id = found.group(1).decode("utf-8", "replace")
        self._rest = data[end:]
        return data[:end]

    def discard_incomplete_event(self) -> None:
        """Forgets an event that was cut off."""
        self._rest = b""
