"""Readiness and graceful shutdown of the caller API."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.router import call_context
from hibiscuspass.router import interrupt
from hibiscuspass.telemetry import logs

_log = logs.get_logger(__name__)


class Lifecycle:
    """Tracks the open calls and whether new calls are accepted."""

    def __init__(self, is_ready: Callable[[], bool] = lambda: True) -> None:
        self._is_ready = is_ready
        self._stopping = False
        self._open_contexts: set[call_context.CallContext] = set()
        self._essential_tasks: set[asyncio.Task[None]] = set()
        self._optional_tasks: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._stopping

    @property
    def ready(self) -> bool:
        """Whether new calls are accepted."""
        return not self._stopping and self._is_ready()

    @property
    def open_calls(self) -> int:
        """Number of calls in progress."""
        return len(self._open_contexts)

    def check_accepts(self) -> refusal.Refusal | None:
        """Returns a refusal while the router is starting or stopping."""
        if self._stopping:
            return refusal.Refusal(
                reason.Reason.SHUTTING_DOWN,
                "this router is shutting down, use another one",
                retry_after_s=0.0,
            )
        if not self._is_ready():
            return refusal.Refusal(
                reason.Reason.NOT_READY,
                "this router has not loaded its configuration yet",
                retry_after_s=1.0,
            )
        return None

    @contextlib.contextmanager
    def track(self, ctx: call_context.CallContext) -> Iterator[None]:
        """Returns a context manager during which a call counts as open."""
        self._open_contexts.add(ctx)
        self._idle.clear()
        try:
            yield
        finally:
            ctx.interrupter.close()
            self._open_contexts.discard(ctx)
            self._update_idle()

    def spawn(
        self, task: asyncio.Task[None], *, essential: bool = True
    ) -> None:
        """Tracks a background task of a call and logs its failure.

        Args:
          task: The task.
          essential: Whether a graceful shutdown waits for the task. Other
            tasks are cancelled when it begins to wait.
        """
        if essential:
            self._essential_tasks.add(task)
            self._idle.clear()
        else:
            self._optional_tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._essential_tasks.discard(task)
        self._optional_tasks.discard(task)
        self._update_idle()
        if not task.cancelled() and task.exception() is not None:
            _log.error("background task failed", exc_info=task.exception())

    def _update_idle(self) -> None:
        if not self._open_contexts and not self._essential_tasks:
            self._idle.set()

    def begin_stop(self) -> None:
        """Begins a graceful shutdown: new calls are refused from now on."""
        self._stopping = True

    async def finish(self, *, timeout_s: float, cut_s: float) -> bool:
        """Waits for open calls and interrupts those that exceed the limit.

        Args:
          timeout_s: Time for open calls to complete, in seconds.
          cut_s: Time for interrupted calls to send their answer, in seconds.

        Returns:
          Whether all calls completed without an interruption.
        """
        for task in tuple(self._optional_tasks):
            task.cancel()
        if await self._wait_idle(timeout_s):
            return True
        for ctx in tuple(self._open_contexts):
            ctx.interrupter.interrupt(interrupt.Cause.SHUTDOWN)
        for task in tuple(self._essential_tasks):
            task.cancel()
        await self._wait_idle(cut_s)
        return False

    async def _wait_idle(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
