"""Waits for the head of an answer as long as that makes sense."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import math
import time
from typing import Any

import aiohttp

from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import progress
from hibiscuspass.gateway import upstream

Outcome = aiohttp.ClientResponse | upstream.Failure


async def send(
    exchange: Coroutine[Any, Any, Outcome],
    watch: progress.ProgressWatch,
    hand_over: Callable[[Callable[[], bool]], Awaitable[bool]],
) -> Outcome:
    """Sends a request; gives it up if no answer begins for too long.

    Args:
      exchange: Sends the request and waits for the head of the answer.
      watch: Follows the progress of the answer.
      hand_over: Sends the request to another server; returns whether that one
        has it. Its argument returns whether this one is still silent.
    """
    task = asyncio.create_task(exchange)
    is_awaited = False
    try:
        while not task.done():
            remaining_s = watch.deadline_s - time.monotonic()
            await asyncio.wait(
                {task},
                timeout=None if math.isinf(remaining_s) else remaining_s,
            )
            if task.done():
                break
            if not watch.has_stopped(time.monotonic()):
                continue
            if await hand_over(lambda: not _has_answered(task)):
                return upstream.Failure(
                    run_state.RunState.UNKNOWN, "no answer in time"
                )
            watch.extend(time.monotonic())
        is_awaited = True
        return task.result()
    finally:
        if not is_awaited:
            # The answer may arrive together with the cancellation.
            task.add_done_callback(_close_answer)
            task.cancel()


def _has_answered(task: asyncio.Task[Outcome]) -> bool:
    if not task.done() or task.cancelled() or task.exception():
        return False
    outcome = task.result()
    return isinstance(outcome, aiohttp.ClientResponse) and outcome.ok


def _close_answer(task: asyncio.Task[Outcome]) -> None:
    """Closes the connection of an answer that nobody reads."""
    if task.cancelled() or task.exception():
        return
    outcome = task.result()
    if isinstance(outcome, aiohttp.ClientResponse):
        outcome.close()
