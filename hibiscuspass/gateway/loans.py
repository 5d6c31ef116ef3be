"""Borrows prepaid tokens of other routers and returns the rest."""

import asyncio
import itertools
import random
import time

import attrs
import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import lending as lending_lib
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

_TIMEOUT_S = 0.3
# Peers that are asked for a loan at the same time.
_CONCURRENT_PEERS = 4


@attrs.frozen
class Borrowing:
    """Outcome of asking holders for a loan.

    Attributes:
      all_answered: Whether all holders that were asked answered.
      store_asked: Whether those that answered could draw from the store.
    """

    all_answered: bool
    store_asked: bool


class Loans:
    """Asks the holders of a workspace for tokens, and returns the rest."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        lending: lending_lib.Lending,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._lending = lending
        self._accounts = accounts
        self._transport = transport
        self._fleet = fleet
        self._metrics = metrics
        # Tokens that a peer could lend when it last answered, by address and
        # workspace.
        self._available: dict[tuple[str, str], int] = {}

    async def borrow(
        self,
        workspace: str,
        tokens: int,
        priority: int,
        single_asks: int = 0,
    ) -> Borrowing:
        """Borrows from holders of a workspace's tokens.

        Args:
          workspace: Workspace that pays.
          tokens: Tokens that must be available afterwards.
          priority: Rank of the request that needs them, 0 first.
          single_asks: Holders that are asked one after the other. Of the next
            ones several are asked at the same time, which may lend more than
            is needed.
        """
        names = self._fleet.addresses_by_name()
        peers = [
            names[name]
            for name in self._accounts.holders.of(workspace)
            if name in names
        ]
        random.shuffle(peers)
        peers.sort(key=lambda p: -self._available.get((p, workspace), 0))
        replies: list[messages.Lent | None] = []
        starts = (
            *range(single_asks),
            *range(single_asks, len(peers), _CONCURRENT_PEERS),
        )
        for start, end in itertools.pairwise((*starts, len(peers))):
            batch = peers[start:end]
            missing = tokens - self._accounts.available(workspace)
            if missing <= 0:
                break
            wanted = self._lending.wanted_loan(
                workspace, missing, time.monotonic()
            )
            request = messages.Borrow(workspace, missing, wanted, priority)
            replies += await asyncio.gather(
                *(self._request_loan(p, request) for p in batch)
            )
        lent = [reply for reply in replies if reply]
        return Borrowing(
            all_answered=len(lent) == len(replies),
            store_asked=bool(lent) and all(r.store_asked for r in lent),
        )

    async def return_unused(self) -> None:
        """Returns what this router has left of earlier loans."""
        now_s = time.monotonic()
        workspaces = self._lending.surplus_workspaces(now_s)
        if not workspaces:
            return
        # The second call may already return other peers than the first one.
        addresses = self._fleet.addresses_by_name()
        processes = self._fleet.processes_by_name()
        live = {n: p for n, p in processes.items() if n in addresses}
        loans = self._lending.return_loans(workspaces, live, now_s)
        await asyncio.gather(
            *(
                self._return(holder, addresses[holder.name], loan)
                for holder, loan in loans.items()
            )
        )

    async def _return(
        self,
        holder: incarnation.Incarnation,
        address: str,
        loan: messages.Lent,
    ) -> None:
        reply = await self._transport.request(
            address, loan, timeout_s=_TIMEOUT_S
        )
        is_accepted = isinstance(reply, messages.Accepted)
        if not is_accepted:
            # The next loan to this holder repeats the total.
            self._fleet.on_failure(address)
        _log.info(
            "returned borrowed tokens",
            holder=str(holder),
            workspaces=sorted(loan.totals),
            accepted=is_accepted,
        )

    async def _request_loan(
        self, peer: str, request: messages.Borrow
    ) -> messages.Lent | None:
        reply = await self._transport.request(
            peer, request, timeout_s=_TIMEOUT_S
        )
        if not isinstance(reply, messages.Lent):
            self._fleet.on_failure(peer)
            return None
        self._fleet.on_answer(peer, incarnation.parse(reply.lender))
        new_tokens = self.receive(reply)
        for name, available in reply.available.items():
            self._available[reply.address, name] = available
        if new_tokens:
            self._metrics.on_borrowed(new_tokens)
            _log.info(
                "borrowed prepaid tokens",
                lender=reply.lender,
                tokens=new_tokens,
                workspaces=sorted(reply.totals),
            )
        return reply

    def receive(self, lent: messages.Lent) -> int:
        """Adds a loan to the accounts; returns the number of new tokens."""
        for workspace, drawn in lent.drawn.items():
            self._accounts.ledger.on_totals(
                {workspace: drawn},
                lent.revisions.get(workspace, 0),
                lent.era,
            )
        return self._lending.receive(lent, time.monotonic())
