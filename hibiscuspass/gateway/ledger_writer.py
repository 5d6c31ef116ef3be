"""Writes this router's draws, returns and usage limits to the store."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import time

import msgspec
import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import ledger_write
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import revision_age_tracker
from hibiscuspass.gateway import store_probe
from hibiscuspass.peers import pynng_pubsub

_log = structlog.get_logger(__name__)

# The store answers in milliseconds. A call without an answer can time out
# early, because its outcome is read back anyway.
_STORE_TIMEOUT_S = 1.0
# Pause after a failed call, so that an outage doesn't cause a stream of calls.
_STORE_PAUSE_S = 1.0
_MAX_CONFLICTS = 5
# Workspace keys that fit into one transaction, next to the router's own key.
_MAX_WORKSPACES = 15


class LedgerWriter:
    """Writes the prepaid ledger, one transaction at a time."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        store: txn_store.TxnStore,
        pubsub: pynng_pubsub.PynngPubSub,
        age_tracker: revision_age_tracker.RevisionAgeTracker,
        metrics: gateway_metrics.GatewayMetrics,
        probe: store_probe.StoreProbe,
    ) -> None:
        self._accounts = accounts
        self._store = store
        self._probe = probe
        self._pubsub = pubsub
        self._age_tracker = age_tracker
        self._metrics = metrics
        self._lock = asyncio.Lock()
        self._paused_until_s = 0.0

    @property
    def _is_open(self) -> bool:
        """Whether draws and returns belong to the present era of the store.

        A request may need tokens before the router is registered in it.
        """
        eras = self._accounts.ledger.eras
        is_known = eras.is_begun or self._store.era.current is None
        return is_known and eras.is_open

    @property
    def is_paused(self) -> bool:
        """Whether writes pause because the store failed, or have ended.

        They also pause until the totals of a new era of the store are known.
        """
        return (
            self._accounts.ledger.is_replaced
            or not self._is_open
            or not self._probe.is_reachable
            or time.monotonic() < self._paused_until_s
        )

    async def register(
        self,
        earlier_keys: Sequence[str],
        token_takeover: ledger_write.TokenTakeover | None,
        also_expected: Mapping[str, int] | None = None,
    ) -> bool:
        """Writes the router's record; returns whether it is in the store.

        Args:
          earlier_keys: Keys of the records of earlier starts, which are
            removed.
          token_takeover: Tokens to take over from one of the earlier starts.
          also_expected: Further conditions of the write.
        """
        async with self._lock:
            return isinstance(
                await self._write(
                    {}, earlier_keys, token_takeover, also_expected
                ),
                txn_store.Committed,
            )

    async def write_limits(self) -> bool:
        """Writes the higher usage limits that requests wait for.

        Returns:
          Whether the store answered.
        """
        async with self._lock:
            if not self._accounts.has_limit_requests(time.monotonic()):
                # The write for another request raised the limits enough.
                return True
            if not self._is_open:
                return False
            outcome = await self._write({})
            return not isinstance(outcome, refusal.Refusal)

    async def write_changes(
        self, changes: Mapping[str, int], urgent_tokens: int = 0
    ) -> bool:
        """Writes draws and returns to the ledger.

        After a conflict the changes are planned again for the new totals.

        Args:
          changes: Tokens to draw (positive) or return, by workspace.
          urgent_tokens: Tokens that a waiting request needs; 0 for planned
            changes.

        Returns:
          Whether the store answered.
        """
        due = dict(itertools.islice(changes.items(), _MAX_WORKSPACES))
        async with self._lock:
            for _ in range(_MAX_CONFLICTS):
                # A write that held the lock before may have drawn or returned
                # the tokens that these changes were planned for.
                clipped = self._accounts.clip_changes(due, time.monotonic())
                if self._accounts.ledger.is_closing:
                    # The records say so, and a router that has said so is not
                    # waited for after a restore of the store.
                    clipped = {n: s for n, s in clipped.items() if s < 0}
                if due and not clipped:
                    return True
                due = self._accounts.ledger.caps.clip(clipped, time.monotonic())
                if clipped and not due:
                    # The caps rise with later records.
                    _log.info("draws held back by caps", changes=clipped)
                    return False
                if not self._is_open:
                    return False
                outcome = await self._write(due)
                if not isinstance(outcome, txn_store.Conflict):
                    return isinstance(outcome, txn_store.Committed)
                due = self._replan(due, urgent_tokens)
                if not due:
                    return True
        return True

    def _replan(
        self, due: Mapping[str, int], urgent_tokens: int
    ) -> dict[str, int]:
        now_s = time.monotonic()
        if urgent_tokens:
            sizes = {
                name: self._accounts.urgent_draw(name, urgent_tokens, now_s)
                for name in due
            }
        else:
            planned = self._accounts.planned_changes(now_s)
            sizes = {
                name: planned.get(name, 0) if size > 0 else size
                for name, size in due.items()
            }
        return {name: size for name, size in sizes.items() if size}

    async def _write(
        self,
        due: Mapping[str, int],
        earlier_keys: Sequence[str] = (),
        token_takeover: ledger_write.TokenTakeover | None = None,
        also_expected: Mapping[str, int] | None = None,
    ) -> txn_store.Committed | txn_store.Conflict | refusal.Refusal:
        accounts = self._accounts
        now_s = time.monotonic()
        sent_s = self._age_tracker.now()
        txn = accounts.ledger.plan(
            due,
            accounts.used(),
            accounts.rates(now_s),
            accounts.limits(now_s, int(time.time() * 1000)),
            token_takeover,
            also_expected,
            accounts.draw_headroom(now_s),
        )
        accounts.sync_drawn(now_s)
        outcome = await self._store.commit(
            txn.expected, txn.writes, earlier_keys, timeout_s=_STORE_TIMEOUT_S
        )
        self._metrics.on_draw(type(outcome).__name__.lower())
        if txn.era != accounts.ledger.eras.present:
            # The store was restored meanwhile. The write may have been lost.
            return refusal.Refusal(
                reason_lib.Reason.TIMEOUT, "the store was restored"
            )
        if isinstance(outcome, txn_store.Committed):
            self._on_committed(txn, outcome, sent_s)
        elif isinstance(outcome, txn_store.Conflict):
            outcome = self._on_conflict(txn, outcome)
        else:
            self._on_refused(txn, outcome)
        accounts.sync_drawn(time.monotonic())
        return outcome

    def _on_committed(
        self,
        txn: ledger_write.Transaction,
        outcome: txn_store.Committed,
        sent_s: float,
    ) -> None:
        ledger = self._accounts.ledger
        ledger.on_committed(txn, outcome.revision)
        self._age_tracker.record_write(outcome.revision, sent_s)
        totals = {
            name: ledger.total(name)
            for name in txn.deltas
            if ledger.total_revision(name)
        }
        self._pubsub.publish(
            messages.Totals(outcome.revision, totals, ledger.eras.present)
        )
        if txn.deltas:
            _log.info(
                "drew prepaid tokens",
                changes=dict(txn.deltas),
                revision=outcome.revision,
            )

    def _on_conflict(
        self, txn: ledger_write.Transaction, outcome: txn_store.Conflict
    ) -> txn_store.Conflict | refusal.Refusal:
        ledger = self._accounts.ledger
        was_replaced = ledger.is_replaced
        try:
            ledger.on_conflict(txn, outcome.current)
        except msgspec.MsgspecError as exc:
            _log.error("unreadable ledger record", error=str(exc))
            return refusal.Refusal(
                reason_lib.Reason.INVALID_REQUEST, f"ledger record: {exc}"
            )
        if ledger.is_replaced and not was_replaced:
            _log.error("a later start has replaced this process")
        return outcome

    def _on_refused(
        self, txn: ledger_write.Transaction, outcome: refusal.Refusal
    ) -> None:
        if outcome.reason is reason_lib.Reason.TIMEOUT:
            self._accounts.ledger.on_unknown()
        else:
            self._accounts.ledger.on_not_done(txn)
        self._paused_until_s = time.monotonic() + _STORE_PAUSE_S
        self._probe.on_failure()
        _log.warning(
            "ledger write without an answer",
            reason=outcome.reason.value,
            detail=outcome.detail,
            workspaces=sorted(txn.deltas),
        )
