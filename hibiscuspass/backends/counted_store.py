"""Store that counts its calls by operation and prefix of the keys."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal

_log = structlog.get_logger(__name__)

# Interval of the log lines with the numbers of calls.
_REPORT_INTERVAL_S = 10.0


class CountedStore(txn_store.TxnStore):
    """Passes all calls to another store.

    Attributes:
      calls: Number of calls by operation and first segment of the key.
    """

    def __init__(
        self, store: txn_store.TxnStore, on_call: Callable[[str], None]
    ) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.era = store.era
        self._store = store
        self._on_call = on_call

    async def report(self) -> None:
        """Logs the numbers of calls until cancelled."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            _log.info("store calls", calls=dict(self.calls))

    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class."""
        self._count("get", key)
        return await self._store.get(key, timeout_s=timeout_s)

    async def get_prefix(
        self,
        prefix: str,
        *,
        timeout_s: float,
        stale_ok: bool = False,
        on_reply: txn_store.OnReply | None = None,
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class."""
        self._count("stale read" if stale_ok else "read", prefix)
        return await self._store.get_prefix(
            prefix, timeout_s=timeout_s, stale_ok=stale_ok, on_reply=on_reply
        )

    async def poll(
        self,
        prefix: str,
        after: int,
        *,
        wait_s: float,
        timeout_s: float,
        max_bytes: int | None = None,
        on_reply: txn_store.OnReply | None = None,
    ) -> txn_store.PollResult | refusal.Refusal:
        """See base class."""
        self._count("poll", prefix)
        return await self._store.poll(
            prefix,
            after,
            wait_s=wait_s,
            timeout_s=timeout_s,
            max_bytes=max_bytes,
            on_reply=on_reply,
        )

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        *,
        timeout_s: float,
        lease: txn_store.Lease | None = None,
    ) -> txn_store.Committed | txn_store.Conflict | refusal.Refusal:
        """See base class."""
        self._count("commit", min(writes, default=""))
        return await self._store.commit(
            expected, writes, deletes, timeout_s=timeout_s, lease=lease
        )

    async def create_lease(
        self, ttl_s: float, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class."""
        self._count("create lease")
        return await self._store.create_lease(ttl_s, timeout_s=timeout_s)

    async def renew_lease(
        self, lease: txn_store.Lease, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class."""
        self._count("renew lease")
        return await self._store.renew_lease(lease, timeout_s=timeout_s)

    async def close(self) -> None:
        """See base class."""
        await self._store.close()

    def _count(self, operation: str, key: str = "") -> None:
        purpose = f"{operation} {key.partition('/')[0]}".rstrip()
        self.calls[purpose] += 1
        self._on_call(purpose)
