"""Finds out when a store that failed can be reached again.

Load pattern: hundreds of routers that are cut off from the store for seconds.
Full reads and writes of each of them are expensive and have no use then. After
a failure, one cheap read after the other shows whether other calls make sense.
On a saturated link a new connection and a read take a second, so that a read is
not given up when the next one begins.
"""

import asyncio
import contextlib
import random

from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal

# Prefix with few and small keys.
_PREFIX = "fleet/"
_TIMEOUT_S = 1.5
# Time after which the next read is due although there is no answer.
_PATIENCE_S = 0.5
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
        answered = asyncio.Event()
        reads: set[asyncio.Task[None]] = set()
        try:
            while not answered.is_set():
                read = asyncio.create_task(self._read(answered))
                reads.add(read)
                read.add_done_callback(reads.discard)
                await asyncio.wait({read}, timeout=_PATIENCE_S)
                pause_s = random.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(answered.wait(), pause_s)
        finally:
            for read in reads:
                read.cancel()

    async def _read(self, answered: asyncio.Event) -> None:
        result = await self._store.get_prefix(
            _PREFIX, timeout_s=_TIMEOUT_S, stale_ok=True
        )
        if not isinstance(result, refusal.Refusal):
            answered.set()
