"""Reads request bodies within size and time limits."""

import asyncio

from aiohttp import web

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.router import limits as limits_lib


async def read(
    req: web.Request, limits: limits_lib.Limits
) -> bytes | refusal.Refusal:
    """Returns the body, or a refusal if it is too long or too slow."""
    if (req.content_length or 0) > limits.max_body_bytes:
        return _too_large(limits)
    try:
        async with asyncio.timeout(limits.body_total_s):
            return await _read_chunks(req, limits)
    except TimeoutError:
        return refusal.Refusal(
            reason.Reason.BODY_TIMEOUT,
            f"body paused for more than {limits.body_stall_s:g} s or took more"
            f" than {limits.body_total_s:g} s",
        )


async def _read_chunks(
    req: web.Request, limits: limits_lib.Limits
) -> bytes | refusal.Refusal:
    chunks: list[bytes] = []
    size = 0
    while True:
        async with asyncio.timeout(limits.body_stall_s):
            chunk = await req.content.readany()
        if not chunk:
            return b"".join(chunks)
        size += len(chunk)
        if size > limits.max_body_bytes:
            return _too_large(limits)
        chunks.append(chunk)


def _too_large(limits: limits_lib.Limits) -> refusal.Refusal:
    return refusal.Refusal(
        reason.Reason.BODY_TOO_LARGE,
        f"body is longer than {limits.max_body_bytes} bytes",
    )
