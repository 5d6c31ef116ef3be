"""Writes log lines without ever blocking the event loop."""

import asyncio
import collections
import json
import os

_MAX_LINES = 2000


class LogWriter:
    """A text stream that drops lines instead of waiting for its reader.

    Lines that don't fit into the pipe wait in a bounded queue. Dropped lines
    are counted, and a line says how many as soon as there is room.

    Attributes:
      dropped: Number of dropped lines that no line has told of yet.
    """

    def __init__(self, descriptor: int, max_lines: int = _MAX_LINES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._queue: collections.deque[bytes] = collections.deque()
        self._is_waiting = False
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line now or queues it; never waits."""
        if len(self._queue) >= self._max_lines:
            self.dropped += 1
            return len(text)
        self._queue.append(text.encode("utf-8", "replace"))
        if not self._is_waiting:
            self._drain()
        return len(text)

    def flush(self) -> None:
        """Does nothing; lines are written as soon as there is room."""

    def _drain(self) -> None:
        while self._queue:
            line = self._queue.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._queue.appendleft(line)
                self._wait()
                return
            except OSError:
                # Without a reader there is nobody to tell.
                self.dropped += 1 + len(self._queue)
                self._queue.clear()
                self._stop_waiting()
                return
            if written < len(line):
                self._queue.appendleft(line[written:])
                self._wait()
                return
        self._stop_waiting()
        self._tell_dropped()

    def _tell_dropped(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            line = json.dumps({"event": "log lines dropped", "count": count})
            self.write(line + "\n")

    def _wait(self) -> None:
        if self._is_waiting:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the event loop runs, the next line tries again.
            return
        loop.add_writer(self._descriptor, self._drain)
        self._is_waiting = True

    def _stop_waiting(self) -> None:
        if self._is_waiting:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_waiting = False
