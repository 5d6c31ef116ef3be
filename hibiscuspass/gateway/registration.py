"""Registers a started router and takes over tokens of its earlier starts."""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import time

import msgspec
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import ledger_era
from hibiscuspass.core.prepaid import ledger_write
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
    """Replaces the records of earlier starts by the record of this start.

    Attributes:
      has_begun: Whether a record was sent to the store.
      registered_key: Key of the last record that the store has confirmed; None
        before the first one.
    """

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
        self.has_begun = False
        self.registered_key: str | None = None

    async def run(self) -> None:
        """Retries until the record is in the store."""
        while True:
            if await self._register():
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def run_again(self) -> None:
        """Writes the record again after the store was restored."""
        while True:
            if await self._register_again():
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _read_own_records(self) -> list[kv_store.KeyValue] | None:
        """Returns all records of this router's name; None on failure."""
        name = self._fleet.process.name
        result = await self._store.get_prefix(
            f"{store_record.ROUTER_PREFIX}{name}/", timeout_s=_READ_TIMEOUT_S
        )
        if isinstance(result, refusal.Refusal):
            return None
        return list(result.entries)

    async def _register_again(self) -> bool:
        entries = await self._read_own_records()
        if entries is None:
            return False
        ledger = self._accounts.ledger
        records = _decode(entries)
        process = self._fleet.process
        if ledger_era.is_replaced(records.values(), process):
            ledger.on_replaced()
        if ledger.is_replaced:
            _log.error("a later start has replaced this process")
            return True
        revisions = {e.key: e.revision for e in entries}
        ledger.eras.note_copy(records, process)
        lost = ledger.eras.lost_records(records, process, ledger.key)
        return await self._write(lost, None, {k: revisions[k] for k in lost})

    async def _write(
        self,
        keys: Sequence[str],
        token_takeover: ledger_write.TokenTakeover | None,
        also_expected: Mapping[str, int],
    ) -> bool:
        """Writes the record in place of those with other keys."""
        self.has_begun = True
        key = self._accounts.ledger.key
        is_written = await self._writer.register(
            keys, token_takeover, also_expected
        )
        if is_written:
            self.registered_key = key
        return is_written

    async def _register(self) -> bool:
        entries = await self._read_own_records()
        if entries is None:
            return False
        ledger = self._accounts.ledger
        era = ledger.eras
        if not self.has_begun:
            era.begin(self._store.era.current)
        if await self._fleet.read(stale_ok=False):
            return False
        self._accounts.routers = self._fleet.size
        self._accounts.holders.set_names(self._fleet.addresses_by_name())
        await self._load_usage_rates()
        earlier = {
            item.key: item
            for item in entries
            if store_record.is_earlier_start(item.key, self._fleet.process)
        }
        era.replaced = sorted(
            {
                *era.replaced,
                *map(store_record.start_id, earlier),
            }
        )
        records = _decode(earlier.values())
        era.inherit(records.values(), self._accounts.most_prepaid)
        fences: dict[str, int] = {}
        if era.present is not None and earlier:
            newest = max(earlier.values(), key=lambda item: item.revision)
            if not store_record.is_older(records[newest.key].era, era.present):
                ledger.caps.inherit(records[newest.key], time.monotonic())
            # A late write of an earlier start would have drawn more.
            fences = {k: item.revision for k, item in earlier.items()}
        own_lost = [
            e.key
            for e in entries
            if e.key not in earlier and e.key != ledger.key
        ]
        is_written = await self._write(
            [*earlier, *own_lost],
            await self._find_token_takeover(earlier),
            fences,
        )
        return is_written and await self._read_totals()

    async def _read_totals(self) -> bool:
        """Reads all totals; returns whether they are known.

        They contain all draws of earlier starts, whose records are removed, so
        that these draws are known after a restore of the store.
        """
        ledger = self._accounts.ledger
        if ledger.eras.present is None:
            return True
        era = ledger.eras.present
        result = await self._store.get_prefix(
            store_record.WORKSPACE_PREFIX, timeout_s=_READ_TIMEOUT_S
        )
        if isinstance(result, refusal.Refusal) or era != ledger.eras.present:
            return False
        for entry in result.entries:
            try:
                ledger.on_read({entry.key: 0}, {entry.key: entry})
            except msgspec.MsgspecError as exc:
                # Nobody can draw from it, see `ledger_writer`.
                _log.error(
                    "unreadable ledger record", key=entry.key, error=str(exc)
                )
        ledger.eras.is_baselined = True
        return True

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
    ) -> ledger_write.TokenTakeover | None:
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
        if (
            store_record.is_older(
                record.era, self._accounts.ledger.eras.present
            )
            or record.claim
        ):
            # It shows neither what was drawn later nor what was used.
            _log.info("no takeover across a restore", key=newest.key)
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
        return ledger_write.TokenTakeover(newest.key, newest.revision, amounts)


def _decode(
    entries: Iterable[kv_store.KeyValue],
) -> dict[str, store_record.RouterRecord]:
    """Returns router records by key; unreadable ones are empty."""
    records: dict[str, store_record.RouterRecord] = {}
    for entry in entries:
        try:
            records[entry.key] = store_record.decode_router(entry.value)
        except msgspec.MsgspecError as exc:
            _log.warning(
                "unreadable router record", key=entry.key, error=str(exc)
            )
            records[entry.key] = store_record.RouterRecord("")
    return records
