"""Carries out draws, returns and loans of prepaid tokens."""

import asyncio
import random
import time

import attrs
import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.core.prepaid import workspace_usage as usage_lib
from hibiscuspass.gateway import age_witness
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import ledger_writer
from hibiscuspass.gateway import registration as registration_lib
from hibiscuspass.peers import pynng_news
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

# Interval of the regular draws and returns.
_TICK_S = 1.0
# Time for the other routers of a new fleet to register.
_JOIN_S = 1.0
# A draw for a request is awaited for at most this long before the peers are
# asked; the store answers in a few milliseconds.
_URGENT_DRAW_S = 0.05
# Interval of the log lines with the positions of all workspaces.
_REPORT_S = 10.0
# Interval of the checks whether the limits in the store are due.
_RENEWAL_CHECK_S = 0.25
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
        accounts: accounts_lib.PrepaidAccounts,
        store: txn_store.TxnStore,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        news: pynng_news.PynngNews,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self.accounts = accounts
        self._metrics = metrics
        self._transport = transport
        self._fleet = fleet
        witness = age_witness.AgeWitness(transport, fleet)
        self._writer = ledger_writer.LedgerWriter(
            accounts, store, news, witness, metrics
        )
        self._registration = registration_lib.Registration(
            accounts, fleet, witness, self._writer
        )
        self._searches: dict[str, asyncio.Lock] = {}
        self._dry: dict[tuple[str, int], _Dry] = {}
        self._is_closing = False
        # Draws that outlast the requests that asked for them.
        self._draws: set[asyncio.Task[bool]] = set()
        self._peer_available: dict[tuple[str, str], int] = {}
        transport.register(messages.Borrow, self._on_borrow)
        transport.register(messages.Lent, self._on_lent)
        news.register(messages.Totals, self._on_totals)

    async def run(self) -> None:
        """Joins the fleet, then draws and returns tokens until cancelled."""
        await self._registration.run()
        # The other routers of a new fleet register meanwhile, which decides
        # the size of the first draw.
        await asyncio.sleep(_JOIN_S)
        await self._fleet.read()
        refill_s = report_s = time.monotonic()
        while True:
            if time.monotonic() >= refill_s:
                refill_s += _TICK_S
                await self.refill()
            if time.monotonic() >= report_s:
                report_s += _REPORT_S
                _log.info(
                    "prepaid positions",
                    sealed_for_s=self.accounts.limit_expires_in_s(
                        time.monotonic()
                    ),
                    workspaces=self.accounts.token_counts(),
                )
            if self._can_write and self.accounts.is_write_due(time.monotonic()):
                await self._writer.change({})
            await asyncio.sleep(_RENEWAL_CHECK_S)

    @property
    def _can_write(self) -> bool:
        return not self._is_closing and not self._writer.is_paused

    async def refill(self) -> bool:
        """Carries out the changes that are due; False without the store."""
        self.accounts.routers = self._fleet.size
        self.accounts.holders.set_names(self._fleet.names())
        if not self._can_write:
            return False
        changes = self.accounts.planned_changes(time.monotonic())
        return not changes or await self._writer.change(changes)

    async def obtain(
        self, workspace: str, tokens: int, priority: int, deadline_s: float
    ) -> usage_lib.Hold | refusal.Refusal:
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
        hold = self.accounts.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            return hold
        dry = self._dry.get((workspace, priority))
        if dry and tokens >= dry.tokens and time.monotonic() < dry.until_s:
            return _refuse(dry.reason)
        lock = self._searches.setdefault(workspace, asyncio.Lock())
        try:
            async with asyncio.timeout_at(deadline_s), lock:
                return await self._search(
                    workspace, tokens, priority, deadline_s
                )
        except TimeoutError:
            return _refuse(reason_lib.Reason.BUDGET_UNAVAILABLE)

    async def close(self) -> None:
        """Returns all available tokens to the store or to a peer.

        It may be called again when more requests have ended.
        """
        # A later draw would be lost with this process.
        self._is_closing = True
        surplus = self.accounts.full_return_changes()
        if surplus and await self._writer.change(surplus):
            _log.info("returned prepaid tokens", workspaces=len(surplus))
            return
        for peer in self._fleet.peers():
            process = self._fleet.process_at(peer)
            gift = process and self.accounts.lend_all(process)
            if not gift:
                continue
            reply = await self._transport.request(
                peer, gift, timeout_s=_PEER_TIMEOUT_S
            )
            if isinstance(reply, messages.Accepted):
                _log.info("lent prepaid tokens at stop", peer=peer)
                return

    async def _search(
        self, workspace: str, tokens: int, priority: int, deadline_s: float
    ) -> usage_lib.Hold | refusal.Refusal:
        """Looks for tokens in the store, then at the peers.

        In an outage of the store, tokens of this router may become usable a
        moment later.
        """
        hold = self.accounts.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            return hold
        if not self.accounts.holders.is_holder(workspace):
            await self._borrow(workspace, tokens, priority, at_once=1)
            hold = self.accounts.hold(
                workspace, tokens, priority, time.monotonic()
            )
            if hold:
                return hold
        kept = self.accounts.reserve(workspace, priority, time.monotonic())
        store_asked = await self._draw_for(workspace, tokens + kept)
        hold = self.accounts.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            return hold
        all_asked = await self._borrow(workspace, tokens + kept, priority)
        now_s = time.monotonic()
        hold = self.accounts.hold(workspace, tokens, priority, now_s)
        if hold:
            return hold
        opens_in_s = self.accounts.wait_until_usable_s(
            workspace, tokens + kept, now_s
        )
        if opens_in_s is not None and now_s + opens_in_s < deadline_s:
            await asyncio.sleep(opens_in_s)
            now_s = time.monotonic()
            hold = self.accounts.hold(workspace, tokens, priority, now_s)
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
            available=self.accounts.available(workspace),
            undrawn=self.accounts.undrawn(workspace),
            store_asked=store_asked,
            peers_asked=all_asked,
            remaining=self.accounts.remaining(workspace),
            opens_in_s=opens_in_s,
        )
        return _refuse(why, opens_in_s)

    async def _draw_for(self, workspace: str, tokens: int) -> bool:
        """Draws for one request; returns whether the store was reached."""
        if not self._can_write:
            return False
        now_s = time.monotonic()
        change = self.accounts.urgent_draw(workspace, tokens, now_s)
        is_short = self.accounts.request_limit(workspace, tokens, now_s)
        if change:
            work = self._writer.change({workspace: change}, tokens)
        elif is_short:
            work = self._writer.renew()
        else:
            return True
        draw = asyncio.create_task(work)
        self._draws.add(draw)
        draw.add_done_callback(self._draws.discard)
        done, _ = await asyncio.wait({draw}, timeout=_URGENT_DRAW_S)
        return draw in done and draw.result()

    async def _borrow(
        self,
        workspace: str,
        tokens: int,
        priority: int,
        at_once: int = _PEERS_AT_ONCE,
    ) -> bool:
        """Borrows from holders of a workspace's tokens.

        Returns:
          Whether all of them answered.
        """
        names = self._fleet.names()
        peers = [
            names[name]
            for name in self.accounts.holders.of(workspace)
            if name in names
        ]
        random.shuffle(peers)
        peers.sort(key=lambda p: -self._peer_available.get((p, workspace), 0))
        answered = True
        for start in range(0, len(peers), at_once):
            some = peers[start : start + at_once]
            missing = tokens - self.accounts.available(workspace)
            if missing <= 0:
                return True
            wanted = self.accounts.wanted_loan(
                workspace, missing, time.monotonic()
            )
            ask = messages.Borrow(workspace, missing, wanted, priority)
            replies = await asyncio.gather(*(self._ask(p, ask) for p in some))
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
        new = self.accounts.receive(lent, time.monotonic())
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
        if (
            peer.name not in self.accounts.holders.of(msg.workspace)
            and self.accounts.available(msg.workspace) < msg.least
        ):
            # The peer leaves the draws to the holders.
            await self._draw_for(msg.workspace, msg.least)
        return self.accounts.lend(peer, msg, time.monotonic())

    async def _on_lent(
        self, _: incarnation.Incarnation, msg: messages.Lent
    ) -> messages.Accepted:
        self._take_in(msg)
        return messages.Accepted()

    def _on_totals(
        self, _: incarnation.Incarnation, msg: messages.Totals
    ) -> None:
        self.accounts.ledger.on_totals(msg.drawn, msg.revision)


def _refuse(
    why: reason_lib.Reason, opens_in_s: float | None = None
) -> refusal.Refusal:
    retry_after_s = None
    if why is reason_lib.Reason.BUDGET_UNAVAILABLE:
        # Without the store, new tokens come seconds later at the earliest.
        retry_after_s = _RETRY_AFTER_S if opens_in_s is None else opens_in_s
    return refusal.Refusal(
        why,
        "the workspace's prepaid tokens don't cover the request",
        retry_after_s=retry_after_s,
    )
