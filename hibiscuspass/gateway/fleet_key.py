"""Reads the shared key that signs messages between routers from the store."""

import asyncio
from collections.abc import Callable
import os
import random

import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal
from hibiscuspass.peers import codec

_log = structlog.get_logger(__name__)

_KEY = "fleet/key"
_TIMEOUT_S = 1.0
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.4
# Pauses between the checks of a new process. If the store was restored from a
# copy without the key, a router that holds the earlier key writes it back as
# soon as it reaches the store.
_CHECK_PAUSES_S = (2.0, 4.0, 9.0, 25.0)


class KeyReplacedError(Exception):
    """The fleet uses another key than this process, which has to restart."""


async def get_or_create_key(store: txn_store.TxnStore) -> bytes:
    """Returns the key of the fleet; creates it if there is none.

    Retries until the store answers. If several routers create a key at the same
    time, the first write wins and the others read it.
    """
    while True:
        result = await store.get(_KEY, timeout_s=_TIMEOUT_S)
        if isinstance(result, refusal.Refusal):
            _log.warning("reading the fleet key failed", detail=result.detail)
            await _pause()
            continue
        if result.entries:
            return result.entries[0].value
        key = os.urandom(codec.MIN_KEY_BYTES)
        outcome = await store.commit(
            {_KEY: 0}, {_KEY: key}, timeout_s=_TIMEOUT_S
        )
        if isinstance(outcome, txn_store.Committed):
            return key


class KeyKeeper:
    """Writes the key of the fleet back after the store was restored.

    A key that was in use before the store was restored takes precedence over
    one that was created afterwards, because the routers that hold it can't
    change it without a restart.
    """

    def __init__(
        self,
        store: txn_store.TxnStore,
        key: bytes,
        on_written_again: Callable[[str], None],
    ) -> None:
        """Creates an instance.

        Args:
          store: Store of the key.
          key: Key that this process uses, as read from the store.
          on_written_again: Called with the kind of the record when the key
            was written back.
        """
        self._store = store
        self._key = key
        self._on_written_again = on_written_again
        self._first_era = store.era.current
        self._is_restored = asyncio.Event()
        store.era.listen(lambda _: self._is_restored.set())

    async def run(self) -> None:
        """Checks the key until cancelled.

        Raises:
          KeyReplacedError: The fleet uses another key.
        """
        if self._first_era is not None:
            for pause_s in _CHECK_PAUSES_S:
                await self._wait(pause_s)
                await self._check()
        while True:
            await self._wait(None)
            await self._check()

    async def _wait(self, pause_s: float | None) -> None:
        """Waits for a time, or until the store was restored."""
        try:
            async with asyncio.timeout(pause_s):
                await self._is_restored.wait()
        except TimeoutError:
            return
        self._is_restored.clear()

    async def _check(self) -> None:
        """Writes the key back if the store has another or none."""
        while not await self._is_written():
            await _pause()

    async def _is_written(self) -> bool:
        found = await self._store.get(_KEY, timeout_s=_TIMEOUT_S)
        if isinstance(found, refusal.Refusal):
            return False
        entry = found.entries[0] if found.entries else None
        if entry and entry.value == self._key:
            return True
        if entry and self._first_era == self._store.era.current:
            raise KeyReplacedError("the fleet uses the key of an earlier era")
        outcome = await self._store.commit(
            {_KEY: entry.revision if entry else 0},
            {_KEY: self._key},
            timeout_s=_TIMEOUT_S,
        )
        if not isinstance(outcome, txn_store.Committed):
            return False
        self._on_written_again("fleet_key")
        _log.warning(
            "fleet key written back",
            era=self._store.era.current,
            replaced=entry is not None,
        )
        return True


async def _pause() -> None:
    await asyncio.sleep(random.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
