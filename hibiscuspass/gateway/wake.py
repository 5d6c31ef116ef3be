"""Ends a wait for tasks early."""

import asyncio
from typing import Any


class Wake:
    """Wakes the one task that waits for other tasks."""

    def __init__(self) -> None:
        self._is_set = asyncio.Event()

    def set(self) -> None:
        """Ends the wait that goes on."""
        self._is_set.set()

    async def wait_for_any(self, *tasks: asyncio.Task[Any]) -> None:
        """Returns when one of the tasks is done, or when woken.

        Args:
          *tasks: Tasks, which go on.
        """
        self._is_set.clear()
        woken = asyncio.create_task(self._is_set.wait())
        try:
            await asyncio.wait(
                {*tasks, woken}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            woken.cancel()
