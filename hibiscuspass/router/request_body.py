"""Reads request bodies within limits of size, time and memory."""

import asyncio
import functools
import time

from aiohttp import web

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import byte_budget
from hibiscuspass.router import limits as limits_lib

# By then, requests that are running have freed memory.
_RETRY_AFTER_S = 1.0
_DETAILS = {
    byte_budget.Outcome.DROPPED: "the body stopped arriving",
    byte_budget.Outcome.TOTAL: "no memory for the body",
    byte_budget.Outcome.KEY: "too many bytes of this workspace",
    byte_budget.Outcome.REQUEST: "no memory for so large a body",
}


async def read(
    req: web.Request,
    limits: limits_lib.Limits,
    holding: byte_budget.Holding,
) -> bytes | refusal.Refusal:
    """Returns the body.

    Args:
      req: Request whose body has not been read.
      limits: Limits of size and time.
      holding: Counts the bytes of the body.

    Returns:
      The body, or a refusal if it is too long or too slow, or if the process
      has no memory for it.
    """
    if (req.content_length or 0) > limits.max_body_bytes:
        return _too_large(limits)
    try:
        async with asyncio.timeout(limits.body_total_s) as timeout:
            holding.on_drop = functools.partial(_expire, timeout)
            return await _read_chunks(req, limits, holding)
    except TimeoutError:
        if holding.is_dropped:
            return _no_memory(byte_budget.Outcome.DROPPED)
        return refusal.Refusal(
            reason.Reason.BODY_TIMEOUT,
            f"body paused for more than {limits.body_stall_s:g} s or took more"
            f" than {limits.body_total_s:g} s",
        )
    finally:
        holding.end_upload()


async def _read_chunks(
    req: web.Request,
    limits: limits_lib.Limits,
    holding: byte_budget.Holding,
) -> bytes | refusal.Refusal:
    body = bytearray()
    while True:
        async with asyncio.timeout(limits.body_stall_s):
            chunk = await req.content.readany()
        if not chunk:
            return bytes(body)
        outcome = holding.add_upload(len(chunk), time.monotonic())
        if outcome is not byte_budget.Outcome.GRANTED:
            return _no_memory(outcome)
        body += chunk
        if len(body) > limits.max_body_bytes:
            return _too_large(limits)


def _expire(timeout: asyncio.Timeout) -> None:
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


def _no_memory(outcome: byte_budget.Outcome) -> refusal.Refusal:
    """Returns the refusal of a body that isn't kept."""
    return refusal.Refusal(
        reason.Reason.RATE_LIMITED
        if outcome is byte_budget.Outcome.KEY
        else reason.Reason.OVERLOADED,
        _DETAILS[outcome],
        retry_after_s=_RETRY_AFTER_S,
    )


def _too_large(limits: limits_lib.Limits) -> refusal.Refusal:
    return refusal.Refusal(
        reason.Reason.BODY_TOO_LARGE,
        f"body is longer than {limits.max_body_bytes} bytes",
    )
