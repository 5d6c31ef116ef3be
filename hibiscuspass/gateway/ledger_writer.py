"""Writes draws, returns and limits of this router to the store."""

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
from hibiscuspass.core.prepaid import ledger_view
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.gateway import age_witness
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.peers import pynng_pubsub

_log = structlog.get_logger(__name__)

# The store answers in milliseconds; a call without an answer is given up
# early, because its outcome is read back anyway.
_STORE_TIMEOUT_S = 1.0
# Pause after a failed call, so that an outage doesn't cause a stream of calls.
_STORE_PAUSE_S = 1.0
_MAX_CONFLICTS = 5
# Keys that fit into one transaction besides the router's own.
_MAX_WORKSPACES = 15


class LedgerWriter:
    """Carries out one write at a time."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        store: txn_store.TxnStore,
        pubsub: pynng_pubsub.PynngPubSub,
        witness: age_witness.AgeWitness,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._accounts = accounts
        self._store = store
        self._pubsub = pubsub
        self._witness = witness
        self._metrics = metrics
        self._lock = asyncio.Lock()
        self._paused_until_s = 0.0

    @property
    def is_paused(self) -> bool:
        """Whether the store did not answer a moment ago."""
        return time.monotonic() < self._paused_until_s

    async def register(
        self,
        ended: Sequence[str],
        token_takeover: ledger_view.TokenTakeover | None,
    ) -> bool:
        """Writes the router's record; returns whether it is in the store.

        Args:
          ended: Keys of earlier starts, which are removed.
          token_takeover: Tokens to take over from one of them.
        """
        async with self._lock:
            return isinstance(
                await self._write({}, ended, token_takeover),
                txn_store.Committed,
            )

    async def renew(self) -> bool:
        """Writes the limits that requests wait for.

        Returns:
          Whether the store answered.
        """
        async with self._lock:
            if not self._accounts.has_limit_requests(time.monotonic()):
                # The write of another request had room for this one too.
                return True
            outcome = await self._write({})
            return not isinstance(outcome, refusal.Refusal)

    async def change(
        self, changes: Mapping[str, int], urgent_tokens: int = 0
    ) -> bool:
        """Writes changes to the ledger; returns whether the store answered."""
        due = dict(itertools.islice(changes.items(), _MAX_WORKSPACES))
        async with self._lock:
            for _ in range(_MAX_CONFLICTS):
                # Other writes may have used up what this one was meant for.
                fitting = self._accounts.clip_changes(due, time.monotonic())
                if due and not fitting:
                    return True
                due = fitting
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
            fresh = self._accounts.planned_changes(now_s)
            sizes = {
                name: fresh.get(name, 0) if size > 0 else size
                for name, size in due.items()
            }
        return {name: size for name, size in sizes.items() if size}

    async def _write(
        self,
        due: Mapping[str, int],
        ended: Sequence[str] = (),
        token_takeover: ledger_view.TokenTakeover | None = None,
    ) -> txn_store.Committed | txn_store.Conflict | refusal.Refusal:
        accounts = self._accounts
        now_s = time.monotonic()
        sent_s = self._witness.now()
        txn = accounts.ledger.plan(
            due,
            accounts.used(),
            accounts.rates(now_s),
            accounts.limits(now_s, int(time.time() * 1000)),
            token_takeover,
        )
        accounts.sync_drawn(now_s)
        outcome = await self._store.commit(
            txn.expected, txn.writes, ended, timeout_s=_STORE_TIMEOUT_S
        )
        self._metrics.on_draw(type(outcome).__name__.lower())
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
        txn: ledger_view.Transaction,
        outcome: txn_store.Committed,
        sent_s: float,
    ) -> None:
        ledger = self._accounts.ledger
        ledger.on_committed(txn, outcome.revision)
        self._witness.on_written(outcome.revision, sent_s)
        totals = {name: ledger.total(name) for name in txn.deltas}
        self._pubsub.publish(messages.Totals(outcome.revision, totals))
        if totals:
            _log.info(
                "drew prepaid tokens",
                changes=dict(txn.deltas),
                revision=outcome.revision,
            )

    def _on_conflict(
        self, txn: ledger_view.Transaction, outcome: txn_store.Conflict
    ) -> txn_store.Conflict | refusal.Refusal:
        try:
            self._accounts.ledger.on_conflict(txn, outcome.current)
        except msgspec.MsgspecError as exc:
            _log.error("unreadable ledger record", error=str(exc))
            return refusal.Refusal(
                reason_lib.Reason.INVALID_REQUEST, f"ledger record: {exc}"
            )
        return outcome

    def _on_refused(
        self, txn: ledger_view.Transaction, outcome: refusal.Refusal
    ) -> None:
        if outcome.reason is reason_lib.Reason.TIMEOUT:
            self._accounts.ledger.on_unknown()
        else:
            self._accounts.ledger.on_not_done(txn)
        self._paused_until_s = time.monotonic() + _STORE_PAUSE_S
        _log.warning(
            "ledger write without an answer",
            reason=outcome.reason.value,
            detail=outcome.detail,
            workspaces=sorted(txn.deltas),
        )
