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
    ) -> None:
        self._key = member_record.member_key(process.name)
        self._value = member_record.encode(
            member_record.MemberRecord(address, process.start_id)
        )
        self._store = store
        self._on_unreachable = on_unreachable
        self._lease: txn_store.Lease | None = None

    async def run(self) -> None:
        """Writes the record and renews its lease until cancelled."""
        while True:
            refused = await self._renew()
            if refused is None or refused.reason is reason_lib.Reason.STALE:
                # A lease that has ended is replaced at once.
                await asyncio.sleep(_RENEWAL_INTERVAL_S if not refused else 0)
                continue
            _log.info("member lease not renewed", detail=refused.detail)
            self._on_unreachable()
            await asyncio.sleep(_RENEWAL_INTERVAL_S)

    async def _renew(self) -> refusal.Refusal | None:
        if self._lease is None:
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
        return None
