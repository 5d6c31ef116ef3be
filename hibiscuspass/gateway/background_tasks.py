"""Tasks that run as long as a gateway process."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import os
from typing import Any

import structlog

_log = structlog.get_logger(__name__)

EXIT_FAILED = 1


class BackgroundTasks:
    """Stops the process if one of its tasks fails.

    Without one of them the process can't keep its guarantees for new requests.
    Those in progress have been checked and hold their tokens, so they can be
    finished.

    Attributes:
      has_failed: Whether a task has failed.
      on_failure: Called when a task has failed, to stop the process.
    """

    def __init__(self, grace_s: float) -> None:
        """Creates an instance without tasks.

        Args:
          grace_s: Time in seconds after which the process ends in any case
            once a task has failed.
        """
        self.has_failed = False
        self.on_failure: Callable[[], None] | None = None
        self._grace_s = grace_s
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task and returns it."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        exc = task.exception()
        if exc is None:
            return
        _log.error("background task failed", exc_info=exc)
        if not self.has_failed:
            self.has_failed = True
            loop = asyncio.get_running_loop()
            loop.call_later(self._grace_s, os._exit, EXIT_FAILED)
            if self.on_failure:
                self.on_failure()
