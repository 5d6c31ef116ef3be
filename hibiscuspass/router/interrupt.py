"""Interrupts the task of a call on a timeout or a shutdown."""

import asyncio
import enum
import math


class Cause(enum.Enum):
    """Why a call was interrupted."""

    # The backend server sent nothing for too long.
    SILENT_BACKEND = "silent_backend"
    # The caller read nothing for too long.
    SLOW_CALLER = "slow_caller"
    # The time limit of the graceful shutdown was reached.
    SHUTDOWN = "shutdown"


class Interrupter:
    """Cancels the task that created it and records the cause.

    The task can thus distinguish an interrupt from a cancellation by others.

    Each call has one timer. It is rescheduled only when it fires before the
    deadline or when the deadline becomes earlier than its scheduled time. A
    token event therefore usually only changes the deadline and needs no timer
    operation, which matters at thousands of events/s.
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
        """Sets the deadline and the cause of an interrupt at that time.

        Args:
          deadline: Loop time of the interrupt; replaces the previous deadline.
          cause: Cause of the interrupt.
        """
        self._deadline = deadline
        self._cause = cause
        handle = self._handle
        if handle is None:
            self._handle = self._loop.call_at(deadline, self._expire)
        elif deadline < handle.when():
            handle.cancel()
            self._handle = self._loop.call_at(deadline, self._expire)

    def disarm(self) -> None:
        """Removes the deadline."""
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
        """Returns and clears the cause of a cancellation.

        The task calls this when it catches `asyncio.CancelledError`.

        Returns:
          The cause, or None if the task was cancelled by something else.
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
