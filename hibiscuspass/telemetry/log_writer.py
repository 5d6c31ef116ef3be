"""Writes log lines without blocking the event loop."""

import asyncio
import collections
import json
import os

_MAX_LINES = 2000


class LogWriter:
    """A text stream that drops lines instead of waiting for its reader.

    Lines that do not fit into the pipe wait in a bounded queue, and lines that
    do not fit into the queue are dropped. A log line reports the number of
    dropped lines once the queue is empty again.

    Attributes:
      dropped: Number of dropped lines that have not been reported yet.
    """

    def __init__(self, descriptor: int, max_lines: int = _MAX_LINES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._queue: collections.deque[bytes] = collections.deque()
        self._is_waiting = False
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes or queues a line without blocking; returns its length."""
        if len(self._queue) >= self._max_lines:
            self.dropped += 1
            return len(text)
        self._queue.append(text.encode("utf-8", "replace"))
        if not self._is_waiting:
            self._drain()
        return len(text)

    def flush(self) -> None:
        """Does nothing, because lines are written as soon as possible."""

    def _drain(self) -> None:
        while self._queue:
            line = self._queue.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._queue.appendleft(line)
                self._wait_until_writable()
                return
            except OSError:
                # The reader has closed the pipe; the lines cannot be delivered.
                self.dropped += 1 + len(self._queue)
                self._queue.clear()
                self._stop_waiting()
                return
            if written < len(line):
                self._queue.appendleft(line[written:])
                self._wait_until_writable()
                return
        self._stop_waiting()
        self._report_dropped()

    def _report_dropped(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            line = json.dumps({"event": "log lines dropped", "count": count})
            self.write(line + "\n")

    def _wait_until_writable(self) -> None:
        if self._is_waiting:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The event loop does not run yet; writing the next line tries
            # again.
            return
        loop.add_writer(self._descriptor, self._drain)
        self._is_waiting = True

    def _stop_waiting(self) -> None:
        if self._is_waiting:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_waiting = False
