"""Prepaid accounts of all workspaces at one router."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import account
from hibiscuspass.core.prepaid import draw_caps
from hibiscuspass.core.prepaid import draw_policy
from hibiscuspass.core.prepaid import holders as holders_lib
from hibiscuspass.core.prepaid import ledger_view
from hibiscuspass.core.prepaid import ledger_write
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import usage_limit
from hibiscuspass.core.prepaid import workspace_usage as usage_lib

# Overdue time of a limits write that indicates a store outage, in seconds.
_WRITE_OVERDUE_S = 0.5
# Fraction of the target below which a workspace draws tokens in the same write
# as another workspace that is due.
_BATCH_REFILL_BELOW = 0.95

# Expected usage, as a multiple of the mean one, that caps on draws allow for.
_CAP_USAGE_FACTOR = 1.5
# Share of the undrawn tokens that the caps of all routers leave room for in any
# case. Single requests may be large.
_CAP_SHARE = 0.5


class PrepaidAccounts:
    """Accounts, draws and loans of one router, without I/O.

    Attributes:
      routers: Number of routers that are alive, including this one.
      holders: Routers that draw for each workspace.
      ledger: This router's view of the ledger in the store.
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
        self._cfg = cfg
        self._prepaid: dict[str, int] = {}
        # Largest amounts that were ever in force.
        self._most_prepaid: dict[str, int] = {}
        # Mean usage rates of the routers before this process started, in tokens
        # per second by workspace and priority.
        self._earlier_rates: dict[str, dict[int, float]] = {}
        self._usages: dict[str, usage_lib.WorkspaceUsage] = {}
        # Tokens of the largest request awaiting a higher limit, by workspace.
        self._awaited: dict[str, int] = {}

    def set_prepaid_amounts(self, prepaid: Mapping[str, int]) -> list[str]:
        """Sets the prepaid amounts; returns the workspaces that changed."""
        old, self._prepaid = self._prepaid, dict(prepaid)
        for name, amount in prepaid.items():
            most = self._most_prepaid.get(name, 0)
            self._most_prepaid[name] = max(amount, most)
        names = old.keys() | prepaid.keys()
        return sorted(n for n in names if old.get(n) != prepaid.get(n))

    @property
    def most_prepaid(self) -> Mapping[str, int]:
        """Largest known prepaid amount by workspace."""
        return self._most_prepaid

    def on_restored(self, era: int, names: Iterable[str], now_s: float) -> None:
        """Begins an era after the store was restored from a copy.

        Args:
          era: The new era.
          names: Names of all known routers.
          now_s: Current time.
        """
        self.ledger.on_restored(era, self._most_prepaid, names, now_s)
        self.sync_drawn(now_s)

    def load_usage_rates(
        self, records: Iterable[store_record.RouterRecord]
    ) -> None:
        """Initializes the usage rates from the records of all routers.

        Until this router has measured its own usage of a workspace, it assumes
        an even share of the rate of the fleet.
        """
        self._earlier_rates = usage_lib.mean_rates(
            [record.rates for record in records], self._holder_count
        )
        self._usages = {
            name: usage
            for name, usage in self._usages.items()
            if usage.account != account.Account()
        }

    def is_limited(self, workspace: str) -> bool:
        """Returns whether a workspace has a prepaid amount."""
        return workspace in self._prepaid

    def other_holders(self) -> set[str]:
        """Returns the other holders of this router's workspaces."""
        return self.holders.other_holders(self._prepaid)

    def known_workspaces(self) -> list[str]:
        """Returns the workspaces that have an account."""
        return list(self._usages)

    def available(self, workspace: str) -> int:
        """Returns the tokens that this router may use now."""
        usage = self._usages.get(workspace)
        return usage.account.available if usage else 0

    def remaining(self, workspace: str) -> int:
        """Returns the tokens of this router, regardless of the usage limit."""
        usage = self._usages.get(workspace)
        return usage.account.remaining if usage else 0

    def wait_until_usable_s(
        self, workspace: str, tokens: int, now_s: float
    ) -> float | None:
        """Returns the seconds until the usage limit of this router expires.

        None if the router would not have enough tokens then either.
        """
        acc = self.usage(workspace, now_s).account
        if acc.limit is None or acc.remaining < tokens:
            return None
        return max(0.0, self.ledger.usage_limits.expires_at_s() - now_s)

    def undrawn(self, workspace: str) -> int:
        """Returns the last known number of tokens that no router has drawn."""
        return max(
            0, self._prepaid.get(workspace, 0) - self.ledger.total(workspace)
        )

    def reserve(self, workspace: str, priority: int, now_s: float) -> int:
        """Returns the tokens reserved for requests of higher priority.

        They are reserved when the prepaid amount is nearly used up, so that
        requests of higher priority are served longer, and in the first seconds
        of a store outage, when only tokens below the usage limit may be used.
        A router that is not a holder keeps no reserve, since its lenders do.
        """
        if not self.holders.is_holder(workspace):
            return 0
        usage = self.usage(workspace, now_s)
        urgent_per_s = sum(
            rate.per_s(now_s)
            for other, rate in usage.by_priority.items()
            if other < priority
        )
        reserved = int(self._cfg.reserve_s * urgent_per_s)
        if self.undrawn(workspace) < reserved:
            return reserved
        due_s = usage_limit.interval_s(self._holder_count) + _WRITE_OVERDUE_S
        return int(
            self.ledger.usage_limits.outage_remaining_s(due_s, now_s)
            * urgent_per_s
        )

    def hold(
        self, workspace: str, tokens: int, priority: int, now_s: float
    ) -> usage_lib.Hold | None:
        """Reserves tokens for a request; returns None if too few are available.

        `tokens` is the most that the request can use. Priority 0 is the most
        urgent.
        """
        usage = self.usage(workspace, now_s)
        reserved = self.reserve(workspace, priority, now_s)
        if tokens + reserved > usage.account.available:
            return None
        if not usage.account.hold(tokens):
            return None
        usage.last_request_s = now_s
        self.add_usage(workspace, priority, tokens, now_s)
        return usage_lib.Hold(workspace, tokens, priority)

    def add_usage(
        self, workspace: str, priority: int, tokens: int, now_s: float
    ) -> None:
        """Counts tokens as used by requests of a priority."""
        usage = self.usage(workspace, now_s)
        if tokens > 0:
            usage.on_request(tokens, now_s)
        if priority not in usage.by_priority:
            usage.by_priority[priority] = self._make_rate(now_s, 0.0)
        usage.by_priority[priority].add(tokens, now_s)

    def settle(self, hold: usage_lib.Hold, used: int, now_s: float) -> None:
        """Replaces a reservation by the used tokens; later calls do nothing."""
        if not hold.is_open:
            return
        hold.is_open = False
        usage = self.usage(hold.workspace, now_s)
        usage.account.settle(hold.tokens, used)
        usage.last_request_s = now_s
        usage.rate.add(used - hold.tokens, now_s)
        usage.by_priority[hold.priority].add(used - hold.tokens, now_s)

    def planned_changes(self, now_s: float) -> dict[str, int]:
        """Returns the draws and returns that are due, by workspace.

        If any is due, the same write includes those that would be due soon.
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
            name: draw_policy.planned_change(self._state(name, now_s), cfg)
            for name in self._prepaid
        }
        return {name: change for name, change in changes.items() if change}

    def clip_changes(
        self, changes: Mapping[str, int], now_s: float
    ) -> dict[str, int]:
        """Reduces changes that were planned for an earlier state.

        Draws are limited to the undrawn tokens, returns to the remaining ones.
        """
        sizes = {
            name: draw_policy.clip_change(self._state(name, now_s), size)
            for name, size in changes.items()
        }
        return {name: size for name, size in sizes.items() if size}

    def urgent_draw(self, workspace: str, tokens: int, now_s: float) -> int:
        """Returns the draw for a request; 0 if it is useless or not needed."""
        state = self._state(workspace, now_s)
        return draw_policy.urgent_draw(state, tokens, self._cfg)

    def request_limit(self, workspace: str, tokens: int, now_s: float) -> bool:
        """Requests a higher limit; returns whether it would be sufficient."""
        acc = self.usage(workspace, now_s).account
        if acc.available >= tokens or acc.remaining < tokens:
            return False
        self._awaited[workspace] = max(tokens, self._awaited.get(workspace, 0))
        return True

    def has_limit_requests(self, now_s: float) -> bool:
        """Returns whether any request still waits for a higher limit."""
        accounts = {n: self.usage(n, now_s).account for n in self._awaited}
        self._awaited = {
            name: tokens
            for name, tokens in self._awaited.items()
            if accounts[name].available < tokens <= accounts[name].remaining
        }
        return bool(self._awaited)

    def limits(self, now_s: float, wall_ms: int) -> ledger_write.Limits:
        """Returns the usage limits for the next record.

        Each limit allows the current usage rate for the period in which it
        applies, or the waiting requests if they need more.
        """
        duration_s = usage_limit.duration_s(self._holder_count)
        limits: dict[str, int] = {}
        for name, usage in self._usages.items():
            planned = usage_limit.headroom(
                self._state(name, now_s),
                duration_s,
                usage.most_urgent_per_s(now_s),
                self._cfg,
            )
            headroom = max(planned, self._awaited.get(name, 0))
            limits[name] = max(0, usage.account.consumed + headroom)
        return ledger_write.Limits(limits, duration_s, now_s, wall_ms)

    def draw_headroom(self, now_s: float) -> draw_caps.Headroom:
        """Returns what this router may draw without another record.

        It covers the usage until a higher cap holds, and single large draws.
        """
        tokens: dict[str, int] = {}
        for name in self._prepaid:
            state = self._state(name, now_s)
            usage = _CAP_USAGE_FACTOR * draw_caps.WINDOW_S * state.rate_per_s
            share = _CAP_SHARE * state.undrawn
            tokens[name] = (
                draw_policy.target_tokens(state, self._cfg)
                + math.ceil(usage)
                + int(share / self._holder_count)
            )
        return draw_caps.Headroom(tokens, now_s)

    def is_write_due(self, now_s: float) -> bool:
        """Returns whether the limits in the store should be renewed."""
        stamp = self.ledger.usage_limits.last_stamp
        holds_tokens = any(
            self.ledger.drawn(n) and self.holders.is_holder(n)
            for n in self._usages
        )
        if stamp is None or not holds_tokens:
            return False
        return now_s - stamp.sent_s >= usage_limit.interval_s(
            self._holder_count
        )

    def full_return_changes(self) -> dict[str, int]:
        """Returns the changes that return all remaining tokens."""
        remaining = {n: u.account.remaining for n, u in self._usages.items()}
        return {
            name: -tokens
            for name, tokens in remaining.items()
            if tokens > 0 and name in self._prepaid
        }

    def used(self) -> dict[str, int]:
        """Returns the tokens used so far, by workspace."""
        return {
            name: usage.account.used
            for name, usage in self._usages.items()
            if usage.account.used
        }

    def token_counts(self) -> dict[str, list[int]]:
        """Returns [drawn, used, held, net lent, available] by workspace."""
        return {
            name: usage.account.counts()
            for name, usage in self._usages.items()
            if usage.account != account.Account()
        }

    def sync_drawn(self, now_s: float) -> None:
        """Copies drawn tokens and usage limits from the ledger view."""
        for name in self._prepaid.keys() | self._usages.keys():
            self.usage(name, now_s).account.drawn = self.ledger.drawn(name)

    def _state(self, name: str, now_s: float) -> draw_policy.WorkspaceState:
        usage = self.usage(name, now_s)
        return draw_policy.WorkspaceState(
            prepaid=self._prepaid.get(name, 0),
            drawn_by_all=self.ledger.total(name),
            available=usage.account.remaining,
            rate_per_s=usage.rate.per_s(now_s),
            typical_tokens=round(usage.typical_tokens),
            routers=self._holder_count,
            is_holder=self.holders.is_holder(name),
            has_borrowers=holders_lib.has_borrowers(self.routers),
        )

    @property
    def _holder_count(self) -> int:
        return holders_lib.holder_count(self.routers)

    def rates(self, now_s: float) -> dict[str, dict[int, float]]:
        """Returns the tokens per second by workspace and priority."""
        return {
            name: {
                priority: round(rate.per_s(now_s), 1)
                for priority, rate in usage.by_priority.items()
            }
            for name, usage in self._usages.items()
            if usage.by_priority and self.holders.is_holder(name)
        }

    def usage(self, name: str, now_s: float) -> usage_lib.WorkspaceUsage:
        """Returns the usage of a workspace with an up-to-date limit."""
        usage = self._usages.get(name)
        if usage is None:
            rates = self._earlier_rates.get(name, {})
            per_s = sum(rates.values()) or draw_policy.initial_rate(
                self.undrawn(name), self._holder_count, self._cfg
            )
            usage = usage_lib.WorkspaceUsage(
                account.Account(),
                self._make_rate(now_s, per_s),
                {p: self._make_rate(now_s, rate) for p, rate in rates.items()},
            )
            self._usages[name] = usage
        limits = self.ledger.usage_limits.limits(now_s)
        usage.account.limit = None if limits is None else limits.get(name, 0)
        return usage

    def _make_rate(self, now_s: float, per_s: float) -> draw_policy.UsageRate:
        return draw_policy.UsageRate(
            self._cfg.rate_time_constant_s, now_s, per_s
        )
