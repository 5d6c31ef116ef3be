"""Splits a stream of server-sent events at event boundaries."""

import copy
import itertools
import re

# The empty line after an event, with the end of the line before it.
_BOUNDARY = re.compile(rb"\n\r?\n|\r\r")
_MAX_BOUNDARY_BYTES = 3
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
# Empty lines and comments, which begin with a colon, belong to no event.
_NO_EVENT = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*+")


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
    def is_inside_event(self) -> bool:
        """Whether an event has begun that is not complete yet."""
        return _NO_EVENT.fullmatch(self._rest) is None

    @property
    def incomplete_bytes(self) -> int:
        """Number of received bytes after the last complete event."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the bytes of all complete events.

        The result includes the comments and empty lines between them.
        """
        # The earlier bytes have no boundary, so that none begins far in front
        # of the new ones.
        start = max(0, len(self._rest) - _MAX_BOUNDARY_BYTES + 1)
        self._rest += data
        ends = [m.end() for m in _BOUNDARY.finditer(self._rest, start)]
        for begin, end in itertools.pairwise([0, *ends]):
            event = bytes(self._rest[begin:end])
            if _NO_EVENT.fullmatch(event):
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

    def take_rest(self) -> bytes:
        """Removes and returns the bytes after the last complete event."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest
