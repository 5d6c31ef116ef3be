"""Start-time fair queueing over workspaces (Goyal, Vin and Cheng, 1996)."""

import collections
from collections.abc import Callable
from collections.abc import Iterator

import attrs


@attrs.define
class QueuedRequest:
    """A queued request.

    Attributes:
      request_id: Id of the request.
      workspace: Workspace of the request.
      priority: Larger values are served first.
      max_concurrency: Concurrency limit of the workspace on this router.
      expires_s: Time at which the request is refused if it is still queued.
    """

    request_id: str
    workspace: str
    priority: int
    max_concurrency: int
    expires_s: float


class FairQueue:
    """Requests of one priority, served fairly across workspaces.

    The requests of one workspace are served in the order of their arrival.
    Among workspaces the smallest start tag is served first. Each request has
    the length 1 in the terms of the algorithm.
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
        """Appends a request to the queue of its workspace."""
        self._queues.setdefault(item.workspace, collections.deque()).append(
            item
        )

    def charge(self, workspace: str) -> None:
        """Advances the tags by one served request of a workspace."""
        start = self._start_tag(workspace)
        self._virtual_time = max(self._virtual_time, start)
        self._finish_tags[workspace] = start + 1.0
        # A finish tag at or below the virtual time has no effect. Such tags
        # are dropped once there are far more tags than queued workspaces.
        if len(self._finish_tags) > 2 * len(self._queues) + 64:
            self._finish_tags = {
                w: tag
                for w, tag in self._finish_tags.items()
                if tag > self._virtual_time
            }

    def pop(
        self, eligible: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Removes and returns the next request, None if there is none.

        Args:
          eligible: Whether a workspace may be served, given its first request.
        """
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
        """Returns the newest request of the workspace with the longest queue.

        Returns None if no request is queued.
        """
        if not self._queues:
            return None
        return max(self._queues.values(), key=len)[-1]

    def count_ahead_of(self, workspace: str) -> int:
        """Returns how many queued requests precede a new one."""
        own_queued = len(self._queues.get(workspace, ()))
        others = (
            min(len(q), own_queued + 1)
            for name, q in self._queues.items()
            if name != workspace
        )
        return own_queued + sum(others)

    def _start_tag(self, workspace: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(workspace, 0.0))
