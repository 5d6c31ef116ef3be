"""Reads request bodies within limits of size, time and memory."""

import asyncio
import functools
import time

from aiohttp import web

from hibiscuspass.backends import uploads
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import byte_budget
from hibiscuspass.router import limits as limits_lib


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
            holding.on_drop = functools.partial(uploads.expire, timeout)
            return await _read_chunks(req, limits, holding)
    except TimeoutError:
        if holding.is_dropped:
            return uploads.make_refusal(byte_budget.Outcome.DROPPED)
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
            return uploads.make_refusal(outcome)
        body += chunk
        if len(body) > limits.max_body_bytes:
            return _too_large(limits)


def _too_large(limits: limits_lib.Limits) -> refusal.Refusal:
    return refusal.Refusal(
        reason.Reason.BODY_TOO_LARGE,
        f"body is longer than {limits.max_body_bytes} bytes",
    )
