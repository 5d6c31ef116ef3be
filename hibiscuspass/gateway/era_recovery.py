"""Brings the prepaid ledger back after the store was restored from a copy."""

import asyncio
from collections.abc import Iterable
import random
import time

import msgspec
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.core.prepaid import reconciliation as reconciliation_lib
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import registration as registration_lib

_log = structlog.get_logger(__name__)

_TIMEOUT_S = 1.0
# Pause before a router looks for the totals. Most claims are there by then, and
# the first router to find all of them writes the totals for the others.
_PAUSE_S = 0.4
# Routers that read all claims in a second, so that the size of the reads that
# the store answers at a time doesn't grow with the square of the fleet.
_READS_PER_S = 20.0
# Time after which missing routers count as having drawn all undrawn tokens, so
# that new amounts can be used. The operator has written its last configuration
# again by then, so that no missing router knows a higher amount.
_MISSING_AFTER_S = 15.0
# Pauses between the looks for missing routers after that. A router that claims
# late completes the totals itself in its first looks.
_MISSING_PAUSE_S = 3.0
_LONG_PAUSE_S = 10.0
_FIRST_LOOKS = 5
# Of the later looks, one in so many reads all claims.
_LOOKS_PER_READ = 6


class EraRecovery:
    """Registers the router in each era, and finds the totals of the era."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        store: txn_store.TxnStore,
        fleet: fleet_lib.Fleet,
        registration: registration_lib.Registration,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._accounts = accounts
        self._store = store
        self._fleet = fleet
        self._registration = registration
        self._metrics = metrics
        self._is_registered = asyncio.Event()
        self._is_restored = asyncio.Event()
        self._restored_s = time.monotonic()
        store.era.listen(self._on_era)

    def _on_era(self, era: int) -> None:
        """Stops draws at once, before any other answer is used."""
        if self._registration.has_begun:
            self._accounts.on_restored(
                era, self._fleet.known_names, time.monotonic()
            )
        self._restored_s = time.monotonic()
        self._is_restored.set()

    async def wait_until_registered(self) -> None:
        """Returns when the first record of the process is in the store."""
        await self._is_registered.wait()

    async def run(self) -> None:
        """Registers the router, and again in each era, until cancelled."""
        await self._registration.run()
        self._is_registered.set()
        while True:
            self._is_restored.clear()
            if self._accounts.ledger.key != self._registration.registered_key:
                await self._registration.run_again()
                self._metrics.on_written_again("router")
            await self._open()
            await self._is_restored.wait()

    async def _open(self) -> None:
        """Looks for the totals until they are complete or the era ends."""
        eras = self._accounts.ledger.eras
        pause_s = 0.0
        looks = 0
        while eras.present is not None and not self._is_restored.is_set():
            await self._wait(pause_s)
            begun = eras.reconciliation
            if begun and begun.is_complete:
                return
            await self._look_for_totals(
                may_complete=looks < _FIRST_LOOKS
                or looks % _LOOKS_PER_READ == 0
            )
            looks += 1
            spread_s = self._fleet.size / _READS_PER_S
            pause_s = random.uniform(_PAUSE_S, 2 * _PAUSE_S + spread_s)
            if eras.reconciliation:
                pause_s += (
                    _MISSING_PAUSE_S if looks < _FIRST_LOOKS else _LONG_PAUSE_S
                )

    async def _wait(self, pause_s: float) -> None:
        """Waits for a time, or until the store is restored again."""
        try:
            async with asyncio.timeout(pause_s):
                await self._is_restored.wait()
        except TimeoutError:
            return

    async def _look_for_totals(self, *, may_complete: bool) -> None:
        """Reads the totals of the era, or makes them from the claims.

        Args:
          may_complete: Whether to read all claims if routers were missing.
        """
        era = self._accounts.ledger.eras.present
        found = await self._store.get(
            reconciliation_lib.KEY, timeout_s=_TIMEOUT_S
        )
        if isinstance(found, refusal.Refusal):
            return
        entry = found.entries[0] if found.entries else None
        present = _decode(entry) if entry else None
        if present and present.era == era:
            self._adopt(present)
            if present.is_complete or not may_complete:
                return
        else:
            present = None
        made = await self._reconcile(present)
        if made is None:
            return
        outcome = await self._store.commit(
            {reconciliation_lib.KEY: entry.revision if entry else 0},
            {reconciliation_lib.KEY: reconciliation_lib.encode(made)},
            timeout_s=_TIMEOUT_S,
        )
        if isinstance(outcome, txn_store.Committed):
            self._adopt(made)

    async def _reconcile(
        self, present: reconciliation_lib.Reconciliation | None
    ) -> reconciliation_lib.Reconciliation | None:
        """Returns totals that are worth a write; None if there are none.

        Args:
          present: Incomplete totals in the store; None if there are none.
        """
        era = self._accounts.ledger.eras.present
        routers = await self._store.get_prefix(
            store_record.ROUTER_PREFIX, timeout_s=_TIMEOUT_S
        )
        workspaces = await self._store.get_prefix(
            store_record.WORKSPACE_PREFIX, timeout_s=_TIMEOUT_S
        )
        if (
            isinstance(routers, refusal.Refusal)
            or isinstance(workspaces, refusal.Refusal)
            or era is None
            or era != self._accounts.ledger.eras.present
        ):
            return None
        made = reconciliation_lib.reconcile(
            era,
            _decode_routers(routers.entries, era),
            _decode_workspaces(workspaces.entries),
            self._accounts.most_prepaid,
            present,
        )
        if made.is_complete:
            return made
        waited_s = time.monotonic() - self._restored_s
        if present or waited_s < _MISSING_AFTER_S:
            _log.info("waiting for routers", era=era, missing=made.missing)
            return None
        return made

    def _adopt(self, record: reconciliation_lib.Reconciliation) -> None:
        ledger = self._accounts.ledger
        if record == ledger.eras.reconciliation:
            return
        ledger.adopt(record)
        self._accounts.sync_drawn(time.monotonic())
        counted = sum(record.counted.values())
        self._metrics.on_counted_as_used(counted)
        _log.info(
            "prepaid totals of the era",
            era=record.era,
            totals=record.totals,
            counted_as_used=counted,
            missing=record.missing,
        )


def _decode(
    entry: kv_store.KeyValue,
) -> reconciliation_lib.Reconciliation | None:
    try:
        return reconciliation_lib.decode(entry.value)
    except msgspec.MsgspecError as exc:
        _log.error("unreadable totals of the era", error=str(exc))
        return None


def _decode_routers(
    entries: Iterable[kv_store.KeyValue], era: int
) -> dict[str, store_record.RouterRecord]:
    """Returns the records of routers by key.

    An unreadable one counts as written in the era before, so that its router is
    waited for.
    """
    records = {}
    for entry in entries:
        try:
            store_record.parse_router_key(entry.key)
        except ValueError as exc:
            _log.warning("unreadable key", key=entry.key, error=str(exc))
            continue
        try:
            records[entry.key] = store_record.decode_router(entry.value)
        except msgspec.MsgspecError as exc:
            _log.warning(
                "unreadable router record", key=entry.key, error=str(exc)
            )
            records[entry.key] = store_record.RouterRecord("", era=era - 1)
    return records


def _decode_workspaces(
    entries: Iterable[kv_store.KeyValue],
) -> dict[str, store_record.WorkspaceRecord]:
    """Returns the records of workspaces by name, without unreadable ones."""
    records = {}
    for entry in entries:
        name = entry.key.removeprefix(store_record.WORKSPACE_PREFIX)
        try:
            records[name] = store_record.decode_workspace(entry.value)
        except msgspec.MsgspecError as exc:
            _log.warning(
                "unreadable ledger record", key=entry.key, error=str(exc)
            )
    return records
