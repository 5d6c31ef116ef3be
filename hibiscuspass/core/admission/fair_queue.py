"""Start-time fair queueing over workspaces (Goyal, Vin and Cheng, 1996)."""

import collections
from collections.abc import Callable
from collections.abc import Iterator

import attrs


@attrs.define
class QueuedRequest:
    """A queued request and the time after which it is of no use."""

    request_id: str
    workspace: str
    priority: int
    max_concurrency: int
    expires_s: float


class FairQueue:
    """Queue of one priority that serves workspaces in turn.

    Each workspace is first in, first out. Over workspaces the smallest start
    tag is served first; each request counts 1.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._queues: dict[str, collections.deque[QueuedRequest]] = {}
        self._finish_tags: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(q) for q in self._queues.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        for queue in self._queues.values():
            yield from queue

    def push(self, item: QueuedRequest) -> None:
        """Adds a request behind those of its workspace."""
        self._queues.setdefault(item.workspace, collections.deque()).append(
            item
        )

    def charge(self, workspace: str) -> None:
        """Counts a request that was served without waiting."""
        start = self._start_tag(workspace)
        self._virtual_time = max(self._virtual_time, start)
        self._finish_tags[workspace] = start + 1.0
        # Tags that are not ahead of the virtual time carry no information.
        if len(self._finish_tags) > 2 * len(self._queues) + 64:
            self._finish_tags = {
                w: tag
                for w, tag in self._finish_tags.items()
                if tag > self._virtual_time
            }

    def pop(
        self, eligible: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Takes the next request among workspaces with an eligible head."""
        heads = [q[0] for q in self._queues.values() if eligible(q[0])]
        if not heads:
            return None
        best = min(heads, key=lambda w: self._start_tag(w.workspace))
        self.charge(best.workspace)
        self.remove(best)
        return best

    def remove(self, item: QueuedRequest) -> None:
        """Removes a queued request."""
        queue = self._queues[item.workspace]
        queue.remove(item)
        if not queue:
            del self._queues[item.workspace]

    def newest_of_longest_queue(self) -> QueuedRequest | None:
        """Returns the newest request of the workspace that waits most."""
        if not self._queues:
            return None
        return max(self._queues.values(), key=len)[-1]

    def count_ahead_of(self, workspace: str) -> int:
        """Returns how many requests are served before a new one."""
        own = len(self._queues.get(workspace, ()))
        others = (
            min(len(q), own + 1)
            for name, q in self._queues.items()
            if name != workspace
        )
        return own + sum(others)

    def _start_tag(self, workspace: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(workspace, 0.0))
