"""Registers a started router and takes over tokens of its earlier starts."""

import asyncio
from collections.abc import Mapping

import msgspec
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import ledger_view
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import takeover
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import ledger_writer
from hibiscuspass.gateway import member_records
from hibiscuspass.gateway import revision_age_tracker

_log = structlog.get_logger(__name__)

_RETRY_INTERVAL_S = 1.0
_READ_TIMEOUT_S = 1.0


class Registration:
    """Replaces the records of earlier starts by the record of this start."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        store: txn_store.TxnStore,
        fleet: fleet_lib.Fleet,
        age_tracker: revision_age_tracker.RevisionAgeTracker,
        writer: ledger_writer.LedgerWriter,
    ) -> None:
        self._accounts = accounts
        self._store = store
        self._fleet = fleet
        self._age_tracker = age_tracker
        self._writer = writer

    async def run(self) -> None:
        """Retries until the record is in the store."""
        while True:
            if await self._register():
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _register(self) -> bool:
        name = self._fleet.process.name
        own_records = await self._store.get_prefix(
            f"{store_record.ROUTER_PREFIX}{name}/", timeout_s=_READ_TIMEOUT_S
        )
        if isinstance(own_records, refusal.Refusal):
            return False
        if await self._fleet.read(stale_ok=False):
            return False
        self._accounts.routers = self._fleet.size
        self._accounts.holders.set_names(self._fleet.addresses_by_name())
        await self._load_usage_rates()
        earlier = {
            item.key: item
            for item in own_records.entries
            if store_record.is_earlier_start(item.key, self._fleet.process)
        }
        return await self._writer.register(
            list(earlier), await self._find_token_takeover(earlier)
        )

    async def _load_usage_rates(self) -> None:
        """Reads the usage rates of all routers; they are not essential."""
        records = await self._store.get_prefix(
            store_record.ROUTER_PREFIX,
            timeout_s=_READ_TIMEOUT_S,
            stale_ok=True,
        )
        if isinstance(records, refusal.Refusal):
            _log.warning("usage rates not read", detail=records.detail)
            return
        self._accounts.load_usage_rates(
            member_records.decode(records.entries).values()
        )

    async def _find_token_takeover(
        self, earlier: Mapping[str, kv_store.KeyValue]
    ) -> ledger_view.TokenTakeover | None:
        """Returns the tokens that the newest earlier start can't have used.

        Args:
          earlier: Store entries of earlier starts of this router, by key.

        Returns:
          The tokens, or None if there are none or the record may have been too
          old when that start ended.
        """
        if not earlier:
            return None
        newest = max(earlier.values(), key=lambda item: item.revision)
        try:
            record = store_record.decode_router(newest.value)
        except msgspec.MsgspecError as exc:
            _log.warning(
                "unreadable router record", key=newest.key, error=str(exc)
            )
            return None
        self._age_tracker.load_earlier_records({newest.revision: record})
        amounts = takeover.unused_tokens(record)
        if not amounts:
            return None
        age_s = await self._age_tracker.age_bound(
            record, self._accounts.holders.of_any(record.drawn)
        )
        limits_hold = takeover.do_limits_hold(record, age_s)
        _log.info(
            "tokens of the earlier start",
            key=newest.key,
            revision=newest.revision,
            age_s=age_s,
            seal_s=record.seal_s,
            tokens=sum(amounts.values()),
            taken_over=limits_hold,
        )
        if not limits_hold:
            return None
        return ledger_view.TokenTakeover(newest.key, newest.revision, amounts)
