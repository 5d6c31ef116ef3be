"""Draws, returns, borrows and lends the prepaid tokens of this router."""

import asyncio
import time

import attrs
import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.prepaid import lending as lending_lib
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.core.prepaid import workspace_usage as usage_lib
from hibiscuspass.gateway import advance_loans
from hibiscuspass.gateway import era_recovery
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import ledger_writer
from hibiscuspass.gateway import loans
from hibiscuspass.gateway import registration as registration_lib
from hibiscuspass.gateway import revision_age_tracker
from hibiscuspass.gateway import start_time
from hibiscuspass.gateway import store_probe
from hibiscuspass.peers import pynng_pubsub
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

# Interval of the planned draws and returns.
_REFILL_INTERVAL_S = 1.0
# Pause in which the other routers of a new fleet register.
_JOIN_DELAY_S = 1.0
# The store answers in a few milliseconds. A request whose draw takes longer
# asks the peers for tokens.
_URGENT_DRAW_WAIT_S = 0.05
# Interval of the checks for borrowed tokens that are left.
_LOAN_RETURN_INTERVAL_S = 1.0
# Interval of the log lines with the token counts of all workspaces.
_REPORT_INTERVAL_S = 10.0
# Interval of the checks whether the limits in the store must be renewed.
_RENEWAL_CHECK_INTERVAL_S = 0.25
_PEER_TIMEOUT_S = 0.3
# `Retry-After` for callers while tokens can't be drawn or borrowed.
_RETRY_AFTER_S = 3.0
# For this time after a failed search, requests for as many tokens or more are
# refused without a search of their own.
_FAILED_SEARCH_TTL_S = 0.4


@attrs.frozen
class _FailedSearch:
    """Result of a search that did not find enough tokens.

    Attributes:
      tokens: Tokens that were searched for.
      until_s: Time until which the result is used for other requests.
      reason: Reason of the refusal.
    """

    tokens: int
    until_s: float
    reason: reason_lib.Reason


class PrepaidRuntime:
    """Moves tokens between this router's accounts, the store and the peers.

    Attributes:
      accounts: Prepaid accounts of this router.
    """

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        store: txn_store.TxnStore,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        pubsub: pynng_pubsub.PynngPubSub,
        metrics: gateway_metrics.GatewayMetrics,
        started: start_time.StartTime,
        probe: store_probe.StoreProbe,
    ) -> None:
        self.accounts = accounts
        self._transport = transport
        self._fleet = fleet
        age_tracker = revision_age_tracker.RevisionAgeTracker(
            transport, fleet, started
        )
        self._writer = ledger_writer.LedgerWriter(
            accounts, store, pubsub, age_tracker, metrics, probe
        )
        self._registration = registration_lib.Registration(
            accounts, store, fleet, age_tracker, self._writer
        )
        self._recovery = era_recovery.EraRecovery(
            accounts, store, fleet, self._registration, metrics
        )
        self._searches: dict[str, asyncio.Lock] = {}
        self._failed_searches: dict[tuple[str, int], _FailedSearch] = {}
        self._is_closing = False
        # Keeps references to draws that go on after their request stopped
        # waiting.
        self._draws: set[asyncio.Task[bool]] = set()
        self._lending = lending_lib.Lending(
            accounts, fleet.process, fleet.address
        )
        self._loans = loans.Loans(
            accounts, self._lending, transport, fleet, metrics
        )
        self._advances = advance_loans.AdvanceLoans(accounts, self._loans)
        transport.register(messages.Borrow, self._on_borrow)
        transport.register(messages.Lent, self._on_lent)
        pubsub.register(messages.Totals, self._on_totals)

    async def return_loans(self) -> None:
        """Returns borrowed tokens that are left, until cancelled."""
        while True:
            await asyncio.sleep(_LOAN_RETURN_INTERVAL_S)
            if not self._is_closing:
                await self._loans.return_unused()

    async def recover(self) -> None:
        """Registers the router, and again after each restore of the store."""
        await self._recovery.run()

    async def run(self) -> None:
        """Draws and returns until cancelled, once the router is registered."""
        await self._recovery.wait_until_registered()
        # Meanwhile the other routers of a new fleet register. The size of the
        # first draw depends on their number.
        await asyncio.sleep(_JOIN_DELAY_S)
        await self._fleet.read()
        next_refill_s = next_report_s = time.monotonic()
        while True:
            if time.monotonic() >= next_refill_s:
                next_refill_s += _REFILL_INTERVAL_S
                await self.refill()
            if time.monotonic() >= next_report_s:
                next_report_s += _REPORT_INTERVAL_S
                now_s = time.monotonic()
                expires_s = self.accounts.ledger.usage_limits.expires_at_s()
                _log.info(
                    "prepaid positions",
                    sealed_for_s=round(max(0.0, expires_s - now_s), 2),
                    workspaces=self.accounts.token_counts(),
                )
            if self._can_write and self.accounts.is_write_due(time.monotonic()):
                await self._writer.write_changes({})
            await asyncio.sleep(_RENEWAL_CHECK_INTERVAL_S)

    @property
    def _can_write(self) -> bool:
        return not self._is_closing and not self._writer.is_paused

    async def refill(self) -> bool:
        """Carries out the planned draws and returns.

        Returns:
          Whether the store could be written, or no write was needed.
        """
        self.accounts.routers = self._fleet.size
        self.accounts.holders.set_names(self._fleet.addresses_by_name())
        # Holders write the same records. Totals of the others spare conflicts.
        self._fleet.subscribe_to(self.accounts.other_holders())
        if not self._can_write:
            return False
        changes = self.accounts.planned_changes(time.monotonic())
        return not changes or await self._writer.write_changes(changes)

    async def hold_tokens(
        self, workspace: str, tokens: int, priority: int, deadline_s: float
    ) -> usage_lib.Hold | refusal.Refusal:
        """Reserves tokens for a request.

        Args:
          workspace: Workspace that pays.
          tokens: The most that the request can use.
          priority: Rank of the request, 0 first.
          deadline_s: Time on the monotonic clock at which the search for
            tokens ends.

        Returns:
          The reservation, or a refusal: `BUDGET_EXHAUSTED` if the store and all
          holders answered and have too few tokens, `BUDGET_UNAVAILABLE` if one
          of them did not answer in time.
        """
        hold = self.accounts.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            if not self._is_closing:
                self._advances.on_hold(workspace, priority)
            return hold
        failed = self._failed_searches.get((workspace, priority))
        if (
            failed
            and tokens >= failed.tokens
            and time.monotonic() < failed.until_s
        ):
            return _refuse(failed.reason)
        lock = self._searches.setdefault(workspace, asyncio.Lock())
        try:
            async with asyncio.timeout_at(deadline_s), lock:
                return await self._search(
                    workspace, tokens, priority, deadline_s
                )
        except TimeoutError:
            # Tokens may have arrived while the event loop was late.
            now_s = time.monotonic()
            hold = self.accounts.hold(workspace, tokens, priority, now_s)
            return hold or _refuse(reason_lib.Reason.BUDGET_UNAVAILABLE)

    async def close(self) -> None:
        """Returns all unused tokens to the store, or lends them to a peer.

        It can be called again after more requests have ended.
        """
        # Tokens of a later draw would be lost when this process ends.
        self._is_closing = True
        self._advances.close()
        self.accounts.ledger.is_closing = True
        surplus = self.accounts.full_return_changes()
        is_replaced = self.accounts.ledger.is_replaced
        if (
            surplus
            and not is_replaced
            and await self._writer.write_changes(surplus)
        ):
            _log.info("returned prepaid tokens", workspaces=len(surplus))
            return
        for peer in self._fleet.peers():
            process = self._fleet.process_at(peer)
            loan = process and self._lending.lend_all(
                process, self.accounts.known_workspaces(), time.monotonic()
            )
            if not loan:
                continue
            reply = await self._transport.request(
                peer, loan, timeout_s=_PEER_TIMEOUT_S
            )
            if isinstance(reply, messages.Accepted):
                _log.info("lent prepaid tokens at stop", peer=peer)
                return

    async def _search(
        self, workspace: str, tokens: int, priority: int, deadline_s: float
    ) -> usage_lib.Hold | refusal.Refusal:
        """Gets tokens from the store and from peers.

        During an outage of the store, tokens of this router beyond its usage
        limits become usable when the limits expire, so a short wait may help.
        """
        hold = self.accounts.hold(workspace, tokens, priority, time.monotonic())
        if hold:
            return hold
        asked = await self._fetch(workspace, tokens, priority)
        now_s = time.monotonic()
        hold = self.accounts.hold(workspace, tokens, priority, now_s)
        if hold:
            return hold
        reserved = self.accounts.reserve(workspace, priority, now_s)
        usable_in_s = self.accounts.wait_until_usable_s(
            workspace, tokens + reserved, now_s
        )
        if usable_in_s is not None and now_s + usable_in_s < deadline_s:
            await asyncio.sleep(usable_in_s)
            now_s = time.monotonic()
            hold = self.accounts.hold(workspace, tokens, priority, now_s)
            if hold:
                return hold
        is_exhausted = asked.store_asked and asked.all_answered
        reason = (
            reason_lib.Reason.BUDGET_EXHAUSTED
            if is_exhausted
            else reason_lib.Reason.BUDGET_UNAVAILABLE
        )
        self._failed_searches[workspace, priority] = _FailedSearch(
            tokens, now_s + _FAILED_SEARCH_TTL_S, reason
        )
        _log.info(
            "no prepaid tokens",
            workspace=workspace,
            tokens=tokens,
            priority=priority,
            reserve=reserved,
            available=self.accounts.available(workspace),
            undrawn=self.accounts.undrawn(workspace),
            store_asked=asked.store_asked,
            peers_asked=asked.all_answered,
            remaining=self.accounts.remaining(workspace),
            opens_in_s=usable_in_s,
        )
        return _refuse(reason, usable_in_s)

    async def _fetch(
        self, workspace: str, tokens: int, priority: int
    ) -> loans.Borrowing:
        """Draws tokens from the store, then borrows from peers.

        A router that is not a holder of the workspace asks the holders first.
        They draw for it, so it draws only if one of them did not answer or
        could not draw.
        """
        if not self.accounts.holders.is_holder(workspace):
            borrowed = await self._loans.borrow(
                workspace, tokens, priority, single_asks=2
            )
            is_final = borrowed.all_answered and borrowed.store_asked
            if is_final or self.accounts.available(workspace) >= tokens:
                return borrowed
        tokens += self.accounts.reserve(workspace, priority, time.monotonic())
        store_asked = await self._draw_for(workspace, tokens)
        if self.accounts.available(workspace) >= tokens:
            return loans.Borrowing(all_answered=True, store_asked=store_asked)
        borrowed = await self._loans.borrow(workspace, tokens, priority)
        return attrs.evolve(borrowed, store_asked=store_asked)

    async def _draw_for(self, workspace: str, tokens: int) -> bool:
        """Draws tokens for one request.

        Returns:
          Whether the store answered in time, or no write was needed.
        """
        if not self._can_write:
            return False
        now_s = time.monotonic()
        change = self.accounts.urgent_draw(workspace, tokens, now_s)
        needs_higher_limit = self.accounts.request_limit(
            workspace, tokens, now_s
        )
        if change:
            write = self._writer.write_changes({workspace: change}, tokens)
        elif needs_higher_limit:
            write = self._writer.write_limits()
        else:
            return True
        draw = asyncio.create_task(write)
        self._draws.add(draw)
        draw.add_done_callback(self._draws.discard)
        done, _ = await asyncio.wait({draw}, timeout=_URGENT_DRAW_WAIT_S)
        return draw in done and draw.result()

    async def _on_borrow(
        self, peer: incarnation.Incarnation, msg: messages.Borrow
    ) -> messages.Lent:
        store_asked = True
        if (
            peer.name not in self.accounts.holders.of(msg.workspace)
            and self.accounts.available(msg.workspace) < msg.least
        ):
            # A router that is not a holder leaves the draws to the holders.
            store_asked = await self._draw_for(msg.workspace, msg.least)
        lent = self._lending.lend(peer, msg, time.monotonic())
        return attrs.evolve(lent, store_asked=store_asked)

    async def _on_lent(
        self, _: incarnation.Incarnation, msg: messages.Lent
    ) -> messages.Accepted:
        tokens = self._loans.receive(msg)
        _log.info(
            "received returned tokens",
            lender=msg.lender,
            tokens=tokens,
            workspaces=sorted(msg.totals),
        )
        return messages.Accepted()

    def _on_totals(
        self, _: incarnation.Incarnation, msg: messages.Totals
    ) -> None:
        self.accounts.ledger.on_totals(msg.drawn, msg.revision, msg.era)


def _refuse(
    reason: reason_lib.Reason, usable_in_s: float | None = None
) -> refusal.Refusal:
    retry_after_s = None
    if reason is reason_lib.Reason.BUDGET_UNAVAILABLE:
        # While the store is unreachable, new tokens are seconds away.
        retry_after_s = _RETRY_AFTER_S if usable_in_s is None else usable_in_s
    return refusal.Refusal(
        reason,
        "the workspace's prepaid tokens don't cover the request",
        retry_after_s=retry_after_s,
    )
