"""Keeps the record of a running gateway in the store."""

import asyncio
from collections.abc import Callable

import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import member_record

_log = structlog.get_logger(__name__)

# Longer than the outages of the store that routers bridge with their tokens.
_TTL_S = 15.0
# Renewals also show whether the store can be reached. The interval bounds the
# time until an outage is noticed.
_RENEWAL_INTERVAL_S = 2.0
_TIMEOUT_S = 1.0


class MemberLease:
    """Renews the lease of a gateway's record until cancelled."""

    def __init__(
        self,
        process: incarnation.Incarnation,
        address: str,
        store: txn_store.TxnStore,
        on_unreachable: Callable[[], None],
        on_written_again: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._key = member_record.member_key(process.name)
        self._value = member_record.encode(
            member_record.MemberRecord(address, process.start_id)
        )
        self._store = store
        self._on_unreachable = on_unreachable
        self._lease: txn_store.Lease | None = None
        # Set when the store was restored, which loses leases and their keys.
        self._is_due = asyncio.Event()
        self._is_registered = False
        self._on_written_again = on_written_again
        store.era.listen(self._on_era)

    def _on_era(self, _: int) -> None:
        # The store may give the number of the lost lease to another router.
        self._lease = None
        self._is_due.set()

    async def run(self) -> None:
        """Writes the record and renews its lease until cancelled."""
        while True:
            refused = await self._renew()
            if refused is None or refused.reason is reason_lib.Reason.STALE:
                # A lease that has ended is replaced at once.
                await self._wait(_RENEWAL_INTERVAL_S if not refused else 0)
                continue
            _log.info("member lease not renewed", detail=refused.detail)
            self._on_unreachable()
            await self._wait(_RENEWAL_INTERVAL_S)

    async def _wait(self, pause_s: float) -> None:
        """Waits for a time, or less if the store was restored."""
        try:
            async with asyncio.timeout(pause_s):
                await self._is_due.wait()
        except TimeoutError:
            return
        self._is_due.clear()

    async def _renew(self) -> refusal.Refusal | None:
        if self._lease is None:
            self._is_due.clear()
            return await self._register()
        renewed = await self._store.renew_lease(
            self._lease, timeout_s=_TIMEOUT_S
        )
        if not isinstance(renewed, refusal.Refusal):
            return None
        if renewed.reason is reason_lib.Reason.STALE:
            self._lease = None
        return renewed

    async def _register(self) -> refusal.Refusal | None:
        lease = await self._store.create_lease(_TTL_S, timeout_s=_TIMEOUT_S)
        if isinstance(lease, refusal.Refusal):
            return lease
        written = await self._store.commit(
            {}, {self._key: self._value}, timeout_s=_TIMEOUT_S, lease=lease
        )
        if isinstance(written, refusal.Refusal):
            return written
        self._lease = lease
        if self._is_registered:
            self._on_written_again("member")
        self._is_registered = True
        _log.info(
            "member registered",
            lease=lease.lease_id,
            era=self._store.era.current,
        )
        return None
