"""Record of one run of a case."""

import collections
import pathlib
import time


class Record:
    """Writes what was sent, answered and run, each line with its time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()
        self.counts: collections.Counter[str] = collections.Counter()

    def now_s(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self._start_s

    def add(self, what: str, **fields: object) -> None:
        """Adds a line."""
        self.counts[what] += 1
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {what} {text}\n")

    def close(self) -> None:
        """Writes the counts and closes the file."""
        for what, count in sorted(self.counts.items()):
            self._file.write(f"total {what}: {count}\n")
        self._file.close()
