"""Starts stand-ins for the tests."""

import contextlib

import pytest


@pytest.fixture
async def started():
    """Starts what has `start` and stops or closes it after the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(part):
            if hasattr(part, "start"):
                await part.start()
            end = part.stop if hasattr(part, "stop") else part.close
            stack.push_async_callback(end)
            return part

        yield start
