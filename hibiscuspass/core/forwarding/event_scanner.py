"""Splits a stream of server-sent events at event boundaries."""

import copy
import itertools
import re

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_BOUNDARY_BYTES = 4
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
        self._rest = bytearray()

    @property
    def incomplete_event(self) -> bytes:
        """Received bytes of an event that is not complete yet."""
        return bytes(self._rest)

    @property
    def incomplete_bytes(self) -> int:
        """Number of received bytes of an event that is not complete yet."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the bytes of all complete events.

        The result includes the comments between them.
        """
        # The earlier bytes have no boundary, so that none begins far in front
        # of the new ones.
        start = max(0, len(self._rest) - _MAX_BOUNDARY_BYTES + 1)
        self._rest += data
        ends = [m.end() for m in _BOUNDARY.finditer(self._rest, start)]
        for begin, end in itertools.pairwise([0, *ends]):
            event = bytes(self._rest[begin:end])
            if _COMMENT.fullmatch(event):
                continue
            self.events += 1
            id_match = _ID.search(event)
            if id_match:
                self.last_id = id_match.group(1).decode("utf-8", "replace")
        size = ends[-1] if ends else 0
        whole_events = bytes(self._rest[:size])
        del self._rest[:size]
        return whole_events

    def completes_event(self, data: bytes) -> bool:
        """Returns whether received bytes would complete an event."""
        scanner = copy.deepcopy(self)
        scanner.feed(data)
        return scanner.events > self.events

    def discard_incomplete_event(self) -> None:
        """Discards the bytes of an event that was interrupted."""
        self._rest.clear()
