"""Interrupts the task of one call from timers and from the shutdown."""

import asyncio
import enum
import math


class Cause(enum.Enum):
    """Why a call was interrupted."""

    # The backend server sent nothing for too long.
    SILENT_BACKEND = "silent_backend"
    # The caller read nothing for too long.
    SLOW_CALLER = "slow_caller"
    # The bound of the graceful shutdown was reached.
    SHUTDOWN = "shutdown"


class Interrupter:
    """Cancels a task with a reason that the task can tell apart.

    One timer per call is moved lazily: a token event only changes the deadline
    and costs no timer operation, which matters at thousands of events/s.
    """

    __slots__ = ("_cause", "_deadline", "_handle", "_loop", "_pending", "_task")

    def __init__(self) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._task = task
        self._loop = asyncio.get_running_loop()
        self._deadline = math.inf
        self._cause = Cause.SILENT_BACKEND
        self._pending: Cause | None = None
        self._handle: asyncio.TimerHandle | None = None

    def arm(self, deadline: float, cause: Cause) -> None:
        """Sets when to interrupt, in loop time; replaces the last setting."""
        self._deadline = deadline
        self._cause = cause
        handle = self._handle
        if handle is None:
            self._handle = self._loop.call_at(deadline, self._expire)
        elif deadline < handle.when():
            handle.cancel()
            self._handle = self._loop.call_at(deadline, self._expire)

    def disarm(self) -> None:
        """Suspends the timer."""
        self._deadline = math.inf

    def close(self) -> None:
        """Stops the timer."""
        self._deadline = math.inf
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def interrupt(self, cause: Cause) -> None:
        """Interrupts the task now."""
        if self._pending is None:
            self._pending = cause
            self._task.cancel()

    def take_cause(self) -> Cause | None:
        """Returns the reason of a cancellation, None if it came from outside.

        Called by the task when it catches `asyncio.CancelledError`.
        """
        cause = self._pending
        self._pending = None
        if cause is not None and self._task.uncancel() > 0:
            return None
        return cause

    def _expire(self) -> None:
        self._handle = None
        if self._deadline == math.inf:
            return
        if self._loop.time() < self._deadline:
            self._handle = self._loop.call_at(self._deadline, self._expire)
            return
        self._deadline = math.inf
        self.interrupt(self._cause)
