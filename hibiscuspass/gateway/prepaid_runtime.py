"""Carries out draws, returns and loans of prepaid tokens."""

import asyncio
from collections.abc import Mapping
import itertools
import time

import attrs
import msgspec
import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import book as book_lib
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import store_share
from hibiscuspass.gateway import broadcast as broadcast_lib
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

# Interval of the regular draws and returns.
_TICK_S = 1.0
# The store answers in milliseconds; a call without an answer is given up
# early, because its outcome is read back anyway.
_STORE_TIMEOUT_S = 1.0
# Time for the other routers of a new fleet to register.
_JOIN_S = 1.0
# A draw for a request is awaited for at most this long before the peers are
# asked; the store answers in a few milliseconds.
_URGENT_DRAW_S = 0.05
# Pause after a failed call, so that an outage doesn't cause a stream of calls.
_STORE_PAUSE_S = 1.0
_MAX_CONFLICTS = 5
# Keys that fit into one transaction besides the router's own.
_MAX_WORKSPACES = 15
_PEER_TIMEOUT_S = 0.3
# Peers that are asked for a loan at the same time.
_PEERS_AT_ONCE = 4
# When a caller should come back while tokens are out of reach.
_RETRY_AFTER_S = 3.0
# How long a fruitless search for tokens answers for later requests.
_DRY_S = 0.4


@attrs.frozen
class _Dry:
    """A search that did not find enough tokens in the fleet."""

    tokens: int
    until_s: float
    reason: reason_lib.Reason


class PrepaidRuntime:
    """Keeps the accounts of this router filled."""

    def __init__(
        self,
        book: book_lib.Book,
        store: txn_store.TxnStore,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        broadcast: broadcast_lib.Broadcast,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self.book = book
        self._broadcast = broadcast
        self._metrics = metrics
        self._store = store
        self._transport = transport
        self._fleet = fleet
        self._lock = asyncio.Lock()
        self._searches: dict[str, asyncio.Lock] = {}
        self._dry: dict[tuple[str, int], _Dry] = {}
        self._store_paused_until_s = 0.0
        self._is_closing = False
        # Draws that outlast the requests that asked for them.
        self._draws: set[asyncio.Task[bool]] = set()
        self._peer_available: dict[tuple[str, str], int] = {}
        transport.register(messages.Borrow, self._on_borrow)
        transport.register(messages.Lent, self._on_lent)
        transport.register(messages.Totals, self._on_totals)

    async def run(self) -> None:
        """Joins the fleet, then draws and returns tokens until cancelled."""
        registered = await self._register()
        while not registered:
            await asyncio.sleep(_STORE_PAUSE_S)
            registered = await self._register()
        # The other routers of a new fleet register meanwhile, which decides
        # the size of the first draw.
        await asyncio.sleep(_JOIN_S)
        await self._fleet.read()
        while True:
            await self.refill()
            await asyncio.sleep(_TICK_S)

    async def _register(self) -> bool:
        """Writes this router's record and removes those of its past starts."""
        members = await self._fleet.read()
        if isinstance(members, refusal.Refusal):
            return False
        self.book.routers = self._fleet.size
        self.book.on_records(members.records)
        ended = [
            key
            for key in members.keys
            if store_record.is_earlier_start(key, self._fleet.process)
        ]
        async with self._lock:
            txn = self._plan({})
            outcome = await self._store.commit(
                txn.expected, txn.writes, ended, timeout_s=_STORE_TIMEOUT_S
            )
            return self._on_outcome(txn, outcome)

    def _plan(self, changes: Mapping[str, int]) -> store_share.Transaction:
        now_s = time.monotonic()
        txn = self.book.share.plan(
            changes, self.book.used(), self.book.rates(now_s)
        )
        self.book.sync_drawn(now_s)
        return txn

    async def refill(self) -> bool:
        """Carries out the changes that are due; False without the store."""
        now_s = time.monotonic()
        self.book.routers = self._fleet.size
        if self._is_closing or now_s < self._store_paused_until_s:
            return False
        changes = self.book.planned_changes(now_s)
        return not changes or await self._change(changes)

    async def obtain(
        self, workspace: str, tokens: int, priority: int, deadline_s: float
    ) -> book_lib.Hold | refusal.Refusal:
        """Reserves tokens for a request.

        Args:
          workspace: Workspace that pays.
          tokens: The most that the request can use.
          priority: Rank of the request, 0 first.
          deadline_s: Time on the monotonic clock until which a search for
            tokens is worth while.

        Returns:
          The reservation, or a refusal: `BUDGET_EXHAUSTED` if the fleet has no
          room, `BUDGET_UNAVAILABLE` if it may have but not here.
        """
        hold = self.book.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            return hold
        dry = self._dry.get((workspace, priority))
        if dry and tokens >= dry.tokens and time.monotonic() < dry.until_s:
            return _refuse(dry.reason)
        lock = self._searches.setdefault(workspace, asyncio.Lock())
        try:
            async with asyncio.timeout_at(deadline_s), lock:
                return await self._search(workspace, tokens, priority)
        except TimeoutError:
            return _refuse(reason_lib.Reason.BUDGET_UNAVAILABLE)

    async def close(self) -> None:
        """Returns all available tokens to the store or to a peer.

        It may be called again when more requests have ended.
        """
        # A later draw would be lost with this process.
        self._is_closing = True
        surplus = self.book.surplus()
        if surplus and await self._change(surplus):
            _log.info("returned prepaid tokens", workspaces=len(surplus))
            return
        for peer in self._fleet.peers():
            process = self._fleet.process_at(peer)
            gift = process and self.book.lend_everything(process)
            if not gift:
                continue
            reply = await self._transport.request(
                peer, gift, timeout_s=_PEER_TIMEOUT_S
            )
            if isinstance(reply, messages.Accepted):
                _log.info("lent prepaid tokens at stop", peer=peer)
                return

    async def _search(
        self, workspace: str, tokens: int, priority: int
    ) -> book_lib.Hold | refusal.Refusal:
        """Looks for tokens in the store, then at the peers."""
        hold = self.book.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            return hold
        kept = self.book.reserve(workspace, priority, time.monotonic())
        store_asked = await self._draw_for(workspace, tokens + kept)
        hold = self.book.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            return hold
        all_asked = await self._borrow(workspace, tokens + kept, priority)
        now_s = time.monotonic()
        hold = self.book.hold(workspace, tokens, priority, now_s)
        if hold:
            return hold
        exhausted = store_asked and all_asked
        why = (
            reason_lib.Reason.BUDGET_EXHAUSTED
            if exhausted
            else reason_lib.Reason.BUDGET_UNAVAILABLE
        )
        self._dry[workspace, priority] = _Dry(tokens, now_s + _DRY_S, why)
        _log.info(
            "no prepaid tokens",
            workspace=workspace,
            tokens=tokens,
            priority=priority,
            reserve=kept,
            available=self.book.available(workspace),
            undrawn=self.book.undrawn(workspace),
            store_asked=store_asked,
            peers_asked=all_asked,
        )
        return _refuse(why)

    async def _draw_for(self, workspace: str, tokens: int) -> bool:
        """Draws for one request; returns whether the store was reached."""
        now_s = time.monotonic()
        if self._is_closing or now_s < self._store_paused_until_s:
            return False
        change = self.book.urgent_draw(workspace, tokens, now_s)
        if not change:
            return True
        draw = asyncio.create_task(
            self._change({workspace: change}, urgent_tokens=tokens)
        )
        self._draws.add(draw)
        draw.add_done_callback(self._draws.discard)
        done, _ = await asyncio.wait({draw}, timeout=_URGENT_DRAW_S)
        return draw in done and draw.result()

    async def _borrow(self, workspace: str, tokens: int, priority: int) -> bool:
        """Borrows from peers; returns whether all of them answered."""
        peers = sorted(
            self._fleet.peers(),
            key=lambda p: -self._peer_available.get((p, workspace), 0),
        )
        answered = True
        for start in range(0, len(peers), _PEERS_AT_ONCE):
            some = peers[start : start + _PEERS_AT_ONCE]
            missing = tokens - self.book.available(workspace)
            if missing <= 0:
                return True
            wanted = self.book.wanted_loan(workspace, missing, time.monotonic())
            replies = await asyncio.gather(
                *(
                    self._ask(
                        p, messages.Borrow(workspace, missing, wanted, priority)
                    )
                    for p in some
                )
            )
            answered = answered and all(replies)
        return answered

    async def _ask(self, peer: str, ask: messages.Borrow) -> bool:
        reply = await self._transport.request(
            peer, ask, timeout_s=_PEER_TIMEOUT_S
        )
        if not isinstance(reply, messages.Lent):
            self._fleet.on_failure(peer)
            return False
        self._fleet.on_answer(peer, incarnation.parse(reply.lender))
        self._take_in(reply)
        return True

    def _take_in(self, lent: messages.Lent) -> None:
        new = self.book.receive(lent, time.monotonic())
        for workspace, available in lent.available.items():
            self._peer_available[lent.address, workspace] = available
        if new:
            self._metrics.on_borrowed(new)
            _log.info(
                "borrowed prepaid tokens",
                lender=lent.lender,
                tokens=new,
                workspaces=sorted(lent.totals),
            )

    async def _on_borrow(
        self, peer: incarnation.Incarnation, msg: messages.Borrow
    ) -> messages.Lent:
        return self.book.lend(peer, msg, time.monotonic())

    async def _on_lent(
        self, _: incarnation.Incarnation, msg: messages.Lent
    ) -> messages.Accepted:
        self._take_in(msg)
        return messages.Accepted()

    async def _on_totals(
        self, _: incarnation.Incarnation, msg: messages.Totals
    ) -> messages.Accepted:
        self.book.share.on_totals(msg.drawn, msg.revision)
        return messages.Accepted()

    async def _change(
        self, changes: Mapping[str, int], urgent_tokens: int = 0
    ) -> bool:
        """Writes changes to the ledger; returns whether the store answered."""
        async with self._lock:
            due = dict(itertools.islice(changes.items(), _MAX_WORKSPACES))
            for _ in range(_MAX_CONFLICTS):
                if not due:
                    return True
                txn = self._plan(due)
                outcome = await self._store.commit(
                    txn.expected, txn.writes, timeout_s=_STORE_TIMEOUT_S
                )
                if not self._on_outcome(txn, outcome):
                    return False
                if isinstance(outcome, txn_store.Committed):
                    return True
                due = self._replan(due, urgent_tokens)
        return True

    def _replan(
        self, due: Mapping[str, int], urgent_tokens: int
    ) -> dict[str, int]:
        now_s = time.monotonic()
        if urgent_tokens:
            sizes = {
                name: self.book.urgent_draw(name, urgent_tokens, now_s)
                for name in due
            }
        else:
            fresh = self.book.planned_changes(now_s)
            sizes = {
                name: fresh.get(name, 0) if size > 0 else size
                for name, size in due.items()
            }
        return {name: size for name, size in sizes.items() if size}

    def _on_outcome(
        self,
        txn: store_share.Transaction,
        outcome: txn_store.Committed | txn_store.Conflict | refusal.Refusal,
    ) -> bool:
        share = self.book.share
        now_s = time.monotonic()
        self._metrics.on_draw(type(outcome).__name__.lower())
        if isinstance(outcome, txn_store.Committed):
            share.on_committed(txn, outcome.revision)
            totals = {name: share.total(name) for name in txn.deltas}
            if totals:
                self._broadcast.send(
                    messages.Totals(outcome.revision, totals),
                    messages.Accepted,
                )
            _log.info(
                "drew prepaid tokens",
                changes=dict(txn.deltas),
                revision=outcome.revision,
            )
        elif isinstance(outcome, txn_store.Conflict):
            try:
                share.on_conflict(txn, outcome.current)
            except msgspec.MsgspecError as exc:
                _log.error("unreadable ledger record", error=str(exc))
                return False
        else:
            if outcome.reason is not reason_lib.Reason.TIMEOUT:
                share.on_not_done(txn)
            self._store_paused_until_s = now_s + _STORE_PAUSE_S
            _log.warning(
                "draw without an answer",
                reason=outcome.reason.value,
                detail=outcome.detail,
                workspaces=sorted(txn.deltas),
            )
        self.book.sync_drawn(now_s)
        return not isinstance(outcome, refusal.Refusal)


def _refuse(why: reason_lib.Reason) -> refusal.Refusal:
    # Without the store, new tokens come seconds later at the earliest.
    retry_after_s = (
        _RETRY_AFTER_S if why is reason_lib.Reason.BUDGET_UNAVAILABLE else None
    )
    return refusal.Refusal(
        why,
        "the workspace's prepaid tokens don't cover the request",
        retry_after_s=retry_after_s,
    )
