"""Finds out when a store that failed can be reached again.

Load pattern: hundreds of routers that are cut off from the store for seconds.
Full reads and writes of each of them are expensive and have no use then. After
a failure, one cheap read at a time shows whether other calls make sense.
"""

import asyncio
import random

from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal

# Prefix with few and small keys.
_PREFIX = "fleet/"
_TIMEOUT_S = 0.5
# Pauses between reads. They are short compared to the time within which a new
# configuration must be used.
_MIN_PAUSE_S = 0.2
_MAX_PAUSE_S = 0.5


class StoreProbe:
    """Reads from a store after a failure until it answers."""

    def __init__(self, store: txn_store.TxnStore) -> None:
        self._store = store
        self._task: asyncio.Task[None] | None = None

    @property
    def is_reachable(self) -> bool:
        """Whether the store has answered since the last failure."""
        return self._task is None or self._task.done()

    def on_failure(self) -> None:
        """Records that a call failed, and starts to read."""
        if self.is_reachable:
            self._task = asyncio.create_task(self._run())

    async def wait(self) -> None:
        """Returns when the store has answered since the last failure."""
        if self._task:
            await asyncio.wait({self._task})

    def close(self) -> None:
        """Stops reading."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            result = await self._store.get_prefix(
                _PREFIX, timeout_s=_TIMEOUT_S, stale_ok=True
            )
            if not isinstance(result, refusal.Refusal):
                return
            await asyncio.sleep(random.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
