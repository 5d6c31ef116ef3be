"""Keeps the list of prompt parts in quarantine in the store."""

import asyncio
from collections.abc import Callable
import random
import time

import msgspec
import structlog
import xxhash

from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import quarantine as quarantine_lib
from hibiscuspass.core.forwarding import quarantine_policy

_log = structlog.get_logger(__name__)

_PREFIX = "quarantine/"
_TIMEOUT_S = 1.0
_READ_INTERVAL_S = 10.0
_RETRY_INTERVAL_S = 1.0
# Longest time after a restore of the store until a router looks for records
# that were lost. The first one that does so writes them for all.
_MAX_RESTORE_DELAY_S = 3.0


class _Record(msgspec.Struct):
    part_ids: list[str]


_DECODER = msgspec.json.Decoder(_Record)


class QuarantineList:
    """The list, for routers that start later or miss an announcement."""

    def __init__(
        self,
        store: txn_store.TxnStore,
        quarantine: quarantine_lib.Quarantine,
        on_written_again: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Creates an instance.

        Args:
          store: Store of the list.
          quarantine: Causes that this router knows.
          on_written_again: Called with the kind of a lost record that was
            written again.
        """
        self._store = store
        self._quarantine = quarantine
        self._on_written_again = on_written_again
        self._is_restored = asyncio.Event()
        store.era.listen(lambda _: self._is_restored.set())

    async def run(self) -> None:
        """Reads the list at intervals until cancelled."""
        while True:
            is_read = await self._read()
            try:
                async with asyncio.timeout(
                    _READ_INTERVAL_S if is_read else _RETRY_INTERVAL_S
                ):
                    await self._is_restored.wait()
            except TimeoutError:
                continue
            self._is_restored.clear()
            await self._write_again()

    async def _write_again(self) -> None:
        """Writes the records that the store has lost."""
        await asyncio.sleep(random.uniform(0.0, _MAX_RESTORE_DELAY_S))
        while True:
            now_s = time.monotonic()
            known = self._quarantine.active(now_s)
            listed = await self._list(stale_ok=False)
            if listed is not None:
                break
            await asyncio.sleep(_RETRY_INTERVAL_S)
        lost = [cause for cause in known if cause not in listed]
        # They stay in force until the store lists them.
        self._quarantine.on_announced(lost, now_s)
        for cause in lost:
            await self.add(cause)
            self._on_written_again("quarantine")
            _log.warning("quarantine record written again", parts=sorted(cause))

    async def add(self, cause: quarantine_lib.Cause) -> None:
        """Adds a cause for a limited time; repeats until the store answers."""
        value = msgspec.json.encode(_Record(sorted(cause)))
        while True:
            lease = await self._store.create_lease(
                quarantine_policy.LONG_S, timeout_s=_TIMEOUT_S
            )
            if isinstance(lease, txn_store.Lease):
                written = await self._store.commit(
                    {}, {_key(value): value}, timeout_s=_TIMEOUT_S, lease=lease
                )
                if isinstance(written, txn_store.Committed):
                    return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _read(self) -> bool:
        causes = await self._list(stale_ok=True)
        if causes is None or self._is_restored.is_set():
            return False
        for cause in self._quarantine.on_list(causes, time.monotonic()):
            _log.warning("prompt parts in quarantine", parts=sorted(cause))
        return True

    async def _list(
        self, *, stale_ok: bool
    ) -> list[quarantine_lib.Cause] | None:
        """Returns the causes in the store; None if it does not answer."""
        result = await self._store.get_prefix(
            _PREFIX, timeout_s=_TIMEOUT_S, stale_ok=stale_ok
        )
        if isinstance(result, refusal.Refusal):
            return None
        causes = []
        for entry in result.entries:
            try:
                part_ids = _DECODER.decode(entry.value).part_ids
            except msgspec.MsgspecError as exc:
                _log.warning(
                    "unreadable quarantine record",
                    key=entry.key,
                    error=str(exc),
                )
                continue
            # Without parts, the cause would be in all prompts.
            if part_ids:
                causes.append(frozenset(part_ids))
        return causes


def _key(value: bytes) -> str:
    """Returns the key of a record; ids of parts may be too long for a key."""
    return _PREFIX + xxhash.xxh3_128_hexdigest(value)
