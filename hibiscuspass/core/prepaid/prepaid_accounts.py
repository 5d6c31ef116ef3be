"""All prepaid accounts of one router."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import account
from hibiscuspass.core.prepaid import draw_policy
from hibiscuspass.core.prepaid import holders as holders_lib
from hibiscuspass.core.prepaid import ledger_view
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import usage_limit
from hibiscuspass.core.prepaid import workspace_usage as usage_lib

# A write of the limits that is late by this much has met an outage, in seconds.
_WRITE_OVERDUE_S = 0.5
# Part of the goal below which a workspace joins a write that another one needs.
_BATCH_REFILL_BELOW = 0.95


class PrepaidAccounts:
    """Accounts, draws and loans of one router; free of I/O.

    Attributes:
      routers: Number of routers that are alive, this one included.
      holders: Routers that draw for each workspace.
    """

    def __init__(
        self,
        process: incarnation.Incarnation,
        address: str,
        cfg: draw_policy.DrawConfig,
    ) -> None:
        self.routers = 1
        self.holders = holders_lib.Holders(process.name)
        self.ledger = ledger_view.LedgerView(process, address)
        self._process = process
        self._address = address
        self._cfg = cfg
        self._prepaid: dict[str, int] = {}
        # Use per router before this start, by workspace and priority.
        self._earlier_rates: dict[str, dict[int, float]] = {}
        self._entries: dict[str, usage_lib.Entry] = {}
        # Tokens that requests wait for, beyond the limits of the record.
        self._awaited_tokens: dict[str, int] = {}

    def set_prepaid_amounts(self, prepaid: Mapping[str, int]) -> list[str]:
        """Sets the prepaid amounts; returns the workspaces that changed."""
        old, self._prepaid = self._prepaid, dict(prepaid)
        names = old.keys() | prepaid.keys()
        return sorted(n for n in names if old.get(n) != prepaid.get(n))

    def load_usage_rates(
        self, records: Iterable[store_record.RouterRecord]
    ) -> None:
        """Takes in the use of the fleet before this router started.

        The share of this router is assumed until its own use is known.
        """
        routers = self._holder_count
        earlier_rates: dict[str, dict[int, float]] = {}
        for record in records:
            for name, rates in record.rates.items():
                sums = earlier_rates.setdefault(name, {})
                for priority, per_s in rates.items():
                    sums[priority] = sums.get(priority, 0.0) + per_s / routers
        self._earlier_rates = earlier_rates
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.account != account.Account()
        }

    def is_limited(self, workspace: str) -> bool:
        """Returns whether a workspace has a prepaid amount."""
        return workspace in self._prepaid

    def available(self, workspace: str) -> int:
        """Returns the tokens that this router may still use."""
        entry = self._entries.get(workspace)
        return entry.account.available if entry else 0

    def remaining(self, workspace: str) -> int:
        """Returns the tokens of this router, usable now or not."""
        entry = self._entries.get(workspace)
        return entry.account.remaining if entry else 0

    def wait_until_usable_s(
        self, workspace: str, tokens: int, now_s: float
    ) -> float | None:
        """Returns when more tokens of this router become usable.

        Args:
          workspace: Workspace that pays.
          tokens: Tokens that are needed.
          now_s: Present time in seconds.

        Returns:
          Seconds from now; None if waiting gives no room.
        """
        acc = self._entry(workspace, now_s).account
        if acc.limit is None or acc.remaining < tokens:
            return None
        return max(0.0, self.ledger.usage_limits.expires_at_s() - now_s)

    def undrawn(self, workspace: str) -> int:
        """Returns the tokens that no router has drawn, as last known."""
        return max(
            0, self._prepaid.get(workspace, 0) - self.ledger.total(workspace)
        )

    def reserve(self, workspace: str, priority: int, now_s: float) -> int:
        """Returns the tokens kept back for more urgent requests.

        Near the end of the prepaid amount, the more urgent kinds of requests
        go on for longest. The same holds in the first seconds of an outage of
        the store, in which only the room below the limits can be used.
        """
        entry = self._entry(workspace, now_s)
        urgent_per_s = sum(
            rate.per_s(now_s)
            for rank, rate in entry.by_priority.items()
            if rank < priority
        )
        kept = int(self._cfg.reserve_s * urgent_per_s)
        if self.undrawn(workspace) < kept:
            return kept
        due_s = usage_limit.interval_s(self.routers) + _WRITE_OVERDUE_S
        return int(
            self.ledger.usage_limits.outage_remaining_s(due_s, now_s)
            * urgent_per_s
        )

    def hold(
        self, workspace: str, tokens: int, priority: int, now_s: float
    ) -> usage_lib.Hold | None:
        """Reserves tokens for a request; None without room.

        Args:
          workspace: Workspace that pays.
          tokens: The most that the request can use.
          priority: Rank of the request, 0 first.
          now_s: Present time in seconds.
        """
        entry = self._entry(workspace, now_s)
        kept = self.reserve(workspace, priority, now_s)
        if tokens + kept > entry.account.available:
            return None
        if not entry.account.hold(tokens):
            return None
        self._add_use(workspace, priority, tokens, now_s)
        return usage_lib.Hold(workspace, tokens, priority)

    def _add_use(
        self, workspace: str, priority: int, tokens: int, now_s: float
    ) -> None:
        entry = self._entry(workspace, now_s)
        if tokens > 0:
            entry.on_request(tokens, now_s)
        if priority not in entry.by_priority:
            entry.by_priority[priority] = self._rate(now_s, 0.0)
        entry.by_priority[priority].add(tokens, now_s)

    def settle(self, hold: usage_lib.Hold, used: int, now_s: float) -> None:
        """Replaces a reservation by the tokens used; later calls do nothing."""
        if not hold.open:
            return
        hold.open = False
        entry = self._entry(hold.workspace, now_s)
        entry.account.settle(hold.tokens, used)
        entry.rate.add(used - hold.tokens, now_s)
        entry.by_priority[hold.priority].add(used - hold.tokens, now_s)

    def wanted_loan(self, workspace: str, tokens: int, now_s: float) -> int:
        """Returns the size of a useful loan for a request of `tokens`."""
        entry = self._entry(workspace, now_s)
        return max(tokens, int(entry.rate.per_s(now_s)))

    def lend(
        self, peer: incarnation.Incarnation, ask: messages.Borrow, now_s: float
    ) -> messages.Lent:
        """Lends tokens to a peer that asks for them."""
        acc = self._entry(ask.workspace, now_s).account
        kept = self.reserve(ask.workspace, ask.priority, now_s)
        before = acc.lent.get(peer, 0)
        total = acc.lend(peer, ask.least, ask.wanted, kept)
        if peer.name not in self.holders.of(ask.workspace):
            # The peer's use is drawn for here.
            self._add_use(ask.workspace, ask.priority, total - before, now_s)
        return self._lent(peer, {ask.workspace: total}, {ask.workspace: acc})

    def lend_everything(
        self, peer: incarnation.Incarnation
    ) -> messages.Lent | None:
        """Lends all available tokens to a peer; None if there are none."""
        accounts = {
            name: entry.account
            for name, entry in self._entries.items()
            if entry.account.available > 0
        }
        totals = {
            name: acc.lend(peer, acc.available, 0)
            for name, acc in accounts.items()
        }
        return self._lent(peer, totals, accounts) if totals else None

    def receive(self, lent: messages.Lent, now_s: float) -> int:
        """Takes in loans to this start; returns the number of new tokens."""
        if lent.borrower != str(self._process):
            return 0
        lender = incarnation.parse(lent.lender)
        return sum(
            self._entry(name, now_s).account.receive(lender, total)
            for name, total in lent.totals.items()
        )

    def planned_changes(self, now_s: float) -> dict[str, int]:
        """Returns the draws and returns that are due, by workspace.

        When one is due, those that would be due soon join its write.
        """
        due = self._changes(self._cfg, now_s)
        if not due:
            return {}
        soon = attrs.evolve(self._cfg, refill_below=_BATCH_REFILL_BELOW)
        return {**self._changes(soon, now_s), **due}

    def _changes(
        self, cfg: draw_policy.DrawConfig, now_s: float
    ) -> dict[str, int]:
        changes = {
            name: draw_policy.planned_change(
                self._workspace_state(name, now_s), cfg
            )
            for name in self._prepaid
        }
        return {name: change for name, change in changes.items() if change}

    def clip_changes(
        self, changes: Mapping[str, int], now_s: float
    ) -> dict[str, int]:
        """Returns draws and returns as far as there are tokens for them.

        Args:
          changes: Tokens by workspace, planned for an earlier state.
          now_s: Present time in seconds.
        """
        sizes = {
            name: draw_policy.clip_change(
                self._workspace_state(name, now_s), size
            )
            for name, size in changes.items()
        }
        return {name: size for name, size in sizes.items() if size}

    def urgent_draw(self, workspace: str, tokens: int, now_s: float) -> int:
        """Returns the draw that gives a request room; 0 if there is none."""
        state = self._workspace_state(workspace, now_s)
        return draw_policy.urgent_draw(state, tokens, self._cfg)

    def request_higher_limit(
        self, workspace: str, tokens: int, now_s: float
    ) -> bool:
        """Asks for a higher limit; returns whether that would give room."""
        acc = self._entry(workspace, now_s).account
        if acc.available >= tokens or acc.remaining < tokens:
            return False
        self._awaited_tokens[workspace] = max(
            tokens, self._awaited_tokens.get(workspace, 0)
        )
        return True

    def has_limit_requests(self, now_s: float) -> bool:
        """Returns whether requests still wait for a higher limit."""
        accounts = {
            n: self._entry(n, now_s).account for n in self._awaited_tokens
        }
        self._awaited_tokens = {
            name: tokens
            for name, tokens in self._awaited_tokens.items()
            if accounts[name].available < tokens <= accounts[name].remaining
        }
        return bool(self._awaited_tokens)

    def limits(self, now_s: float, wall_ms: int) -> ledger_view.Limits:
        """Returns the limits for the next record.

        They leave room for the time that they hold at the present rates, and
        for requests that wait.
        """
        duration_s = usage_limit.duration_s(self.routers)
        limits: dict[str, int] = {}
        for name, entry in self._entries.items():
            ahead = usage_limit.headroom(
                self._workspace_state(name, now_s),
                duration_s,
                entry.most_urgent_per_s(now_s),
                self._cfg,
            )
            room = max(ahead, self._awaited_tokens.get(name, 0))
            limits[name] = max(0, entry.account.consumed + room)
        return ledger_view.Limits(limits, duration_s, now_s, wall_ms)

    def is_write_due(self, now_s: float) -> bool:
        """Returns whether the limits in the store should be renewed."""
        stamp = self.ledger.usage_limits.last_stamp
        if stamp is None or not any(map(self.ledger.drawn, self._entries)):
            return False
        return now_s - stamp.sent_s >= usage_limit.interval_s(self.routers)

    def full_return_changes(self) -> dict[str, int]:
        """Returns the changes that return everything that remains."""
        return {
            name: -entry.account.remaining
            for name, entry in self._entries.items()
            if entry.account.remaining > 0 and name in self._prepaid
        }

    def used(self) -> dict[str, int]:
        """Returns the tokens used by workspace."""
        return {
            name: entry.account.used
            for name, entry in self._entries.items()
            if entry.account.used
        }

    def token_counts(self) -> dict[str, list[int]]:
        """Returns drawn, used, held, net lent and available tokens."""
        return {
            name: [
                acc.drawn,
                acc.used,
                acc.held,
                acc.consumed - acc.used - acc.held,
                acc.available,
            ]
            for name, entry in self._entries.items()
            if (acc := entry.account) != account.Account()
        }

    def limit_expires_in_s(self, now_s: float) -> float:
        """Returns for how long tokens beyond the limits stay sealed."""
        return round(
            max(0.0, self.ledger.usage_limits.expires_at_s() - now_s), 2
        )

    def sync_drawn(self, now_s: float) -> None:
        """Copies draws and limits of the store share into the accounts."""
        for name in self._prepaid.keys() | self._entries.keys():
            self._entry(name, now_s).account.drawn = self.ledger.drawn(name)

    def _workspace_state(
        self, workspace: str, now_s: float
    ) -> draw_policy.WorkspaceState:
        entry = self._entry(workspace, now_s)
        return draw_policy.WorkspaceState(
            prepaid=self._prepaid.get(workspace, 0),
            drawn_by_all=self.ledger.total(workspace),
            available=entry.account.remaining,
            rate_per_s=entry.rate.per_s(now_s),
            typical_tokens=round(entry.typical_tokens),
            routers=self._holder_count,
            is_holder=self.holders.is_holder(workspace),
        )

    @property
    def _holder_count(self) -> int:
        return max(1, min(self.routers, holders_lib.MAX_HOLDERS))

    def rates(self, now_s: float) -> dict[str, dict[int, float]]:
        """Returns the tokens per second by workspace and priority."""
        return {
            name: {
                priority: round(rate.per_s(now_s), 1)
                for priority, rate in entry.by_priority.items()
            }
            for name, entry in self._entries.items()
            if entry.by_priority and self.holders.is_holder(name)
        }

    def _entry(self, workspace: str, now_s: float) -> usage_lib.Entry:
        entry = self._entries.get(workspace)
        if entry is None:
            earlier_rates = self._earlier_rates.get(workspace, {})
            initial_per_s = sum(
                earlier_rates.values()
            ) or draw_policy.initial_rate(
                self.undrawn(workspace), self._holder_count, self._cfg
            )
            entry = usage_lib.Entry(
                account.Account(),
                self._rate(now_s, initial_per_s),
                {
                    p: self._rate(now_s, per_s)
                    for p, per_s in earlier_rates.items()
                },
            )
            self._entries[workspace] = entry
        limits = self.ledger.usage_limits.limits(now_s)
        entry.account.limit = (
            None if limits is None else limits.get(workspace, 0)
        )
        return entry

    def _rate(
        self, now_s: float, initial_per_s: float
    ) -> draw_policy.UsageRate:
        return draw_policy.UsageRate(
            self._cfg.rate_time_constant_s, now_s, initial_per_s
        )

    def _lent(
        self,
        peer: incarnation.Incarnation,
        totals: Mapping[str, int],
        accounts: Mapping[str, account.Account],
    ) -> messages.Lent:
        return messages.Lent(
            totals=dict(totals),
            available={name: acc.available for name, acc in accounts.items()},
            lender=str(self._process),
            borrower=str(peer),
            address=self._address,
        )
