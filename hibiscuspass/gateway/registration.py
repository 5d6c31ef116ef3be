"""Joins the fleet and takes over tokens of earlier starts."""

import asyncio
from collections.abc import Mapping

import msgspec
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import ledger_view
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import takeover
from hibiscuspass.gateway import age_witness
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import ledger_writer

_log = structlog.get_logger(__name__)

# Pause after a failed try.
_PAUSE_S = 1.0


class Registration:
    """Writes the record of this start in place of those of earlier ones."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        fleet: fleet_lib.Fleet,
        witness: age_witness.AgeWitness,
        writer: ledger_writer.LedgerWriter,
    ) -> None:
        self._accounts = accounts
        self._fleet = fleet
        self._witness = witness
        self._writer = writer

    async def run(self) -> None:
        """Tries until the record is in the store."""
        while True:
            if await self._register():
                return
            await asyncio.sleep(_PAUSE_S)

    async def _register(self) -> bool:
        members = await self._fleet.read(stale_ok=False)
        if isinstance(members, refusal.Refusal):
            return False
        self._accounts.routers = self._fleet.size
        self._accounts.holders.set_names(self._fleet.names())
        self._accounts.load_usage_rates(members.records)
        ended = {
            item.key: item
            for item in members.items
            if store_record.is_earlier_start(item.key, self._fleet.process)
        }
        return await self._writer.register(
            list(ended), await self._inheritance(ended)
        )

    async def _inheritance(
        self, ended: Mapping[str, kv_store.KeyValue]
    ) -> ledger_view.TokenTakeover | None:
        """Returns what the newest earlier start certainly did not use."""
        if not ended:
            return None
        newest = max(ended.values(), key=lambda item: item.revision)
        try:
            record = store_record.decode_router(newest.value)
        except msgspec.MsgspecError as exc:
            _log.warning(
                "unreadable router record", key=newest.key, error=str(exc)
            )
            return None
        self._witness.on_past({newest.revision: record})
        amounts = takeover.unused_tokens(record)
        if not amounts:
            return None
        age_s = await self._witness.age_bound(record)
        is_sealed = takeover.do_limits_hold(record, age_s)
        _log.info(
            "tokens of the earlier start",
            key=newest.key,
            revision=newest.revision,
            age_s=age_s,
            seal_s=record.seal_s,
            tokens=sum(amounts.values()),
            taken_over=is_sealed,
        )
        if not is_sealed:
            return None
        return ledger_view.TokenTakeover(newest.key, newest.revision, amounts)
