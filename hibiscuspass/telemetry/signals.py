"""Waits for a termination signal."""

import asyncio
import signal


async def wait_for_stop() -> None:
    """Returns after the first SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    await stopped.wait()
