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
# Its argument returns whether the silent server has gone on.
HandOver = Callable[[Callable[[], bool]], Awaitable[bool]]
_SUCCESS_STATUSES = range(200, 300)


async def send(
    exchange: Coroutine[Any, Any, Outcome],
    watch: progress.ProgressWatch,
    hand_over: HandOver,
) -> Outcome:
    """Sends a request; gives it up if no answer begins for too long.

    Args:
      exchange: Sends the request and waits for the head of the answer.
      watch: Follows the progress of the answer.
      hand_over: Sends the request to another server; returns whether that one
        has it.
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
            if await hand_over(lambda: _has_succeeded(task)):
                if task.done() and isinstance(task.result(), upstream.Failure):
                    break
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


def _has_succeeded(task: asyncio.Task[Outcome]) -> bool:
    """Returns whether an answer that may be relayed has begun."""
    return (
        task.done()
        and isinstance(outcome := task.result(), aiohttp.ClientResponse)
        and outcome.status in _SUCCESS_STATUSES
    )


def _close_answer(task: asyncio.Task[Outcome]) -> None:
    """Closes the connection of an answer that nobody reads."""
    if task.cancelled() or task.exception():
        return
    outcome = task.result()
    if isinstance(outcome, aiohttp.ClientResponse):
        outcome.close()
