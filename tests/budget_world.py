"""A fleet of budget nodes in virtual time, with faults and the true spend.

Messages and key-value calls wait in bags until the test decides what becomes
of them. In automatic mode they are delivered after fixed delays instead.
"""

from collections import Counter
from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import events
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node as node_lib
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import timing as timing_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.membership import fleet_view

WORKSPACE = "w"
MESSAGE_DELAY_S = 0.001
KV_DELAY_S = 0.003

_State = fleet_view.MemberState
_Reason = reason_lib.Reason


class FakeKv:
    """Keys with revisions; the two switches break its promises."""

    def __init__(self) -> None:
        self.data: dict[str, kv_store.KeyValue] = {}
        self.revision = 0
        self.checks_revision = True
        self.create_only = True
        self.writes = 0
        self.reads = 0

    def read(self, key: str) -> kv_store.ReadResult:
        self.reads += 1
        found = self.data.get(key)
        return kv_store.ReadResult((found,) if found else (), self.revision)

    def cas(self, key: str, expected: int, value: bytes) -> kv_store.CasResult:
        self.writes += 1
        found = self.data.get(key)
        present = found.revision if found else 0
        is_bill = key.startswith("bills/")
        checked = self.create_only if is_bill else self.checks_revision
        if checked and present != expected:
            return kv_store.CasResult(False, 0, found)
        self.revision += 1
        self.data[key] = kv_store.KeyValue(key, value, self.revision)
        return kv_store.CasResult(True, self.revision)


@attrs.define
class KvCall:
    """A call on its way to the key-value service."""

    router: incarnation.Incarnation
    action: actions.KvRead | actions.KvCas
    # The caller has given up on it; it may still take effect.
    late: bool = False


@attrs.define
class Letter:
    """A message on its way."""

    sender: incarnation.Incarnation
    to: incarnation.Incarnation
    msg: messages.Message


@attrs.define
class Run:
    """A request that runs, or ran, under a permit."""

    permit: permit_lib.Permit
    entry: incarnation.Incarnation
    started_at_s: float
    cost: int | None = None
    entry_lost: bool = False


@attrs.define
class Router:
    """One router process."""

    node: node_lib.BudgetNode
    domain: str
    frozen: bool = False
    kv_cut: bool = False
    tick_at_s: float = float("inf")


def default_timing() -> timing_lib.BudgetTiming:
    """Returns delays that make the slow mechanisms visible in short runs."""
    return timing_lib.BudgetTiming(
        flush_s=0.5,
        orphan_window_s=10.0,
        status_s=2.0,
        takeover_s=1.0,
        idle_s=15.0,
        record_s=5.0,
        report_retry_s=1.0,
    )


class World:
    """Routers, the key-value service, the network, and the truth."""

    def __init__(
        self,
        routers: int,
        prepaid: int,
        *,
        domains: int = 3,
        timing: timing_lib.BudgetTiming | None = None,
        config: workspace_lib.Workspace | None = None,
        node_type: type[node_lib.BudgetNode] = node_lib.BudgetNode,
        auto: bool = False,
    ) -> None:
        self.kv = FakeKv()
        self.timing = timing or default_timing()
        self.config = config or workspace_lib.Workspace(WORKSPACE)
        self.node_type = node_type
        self.auto = auto
        self.now_s = 1.0
        self.domains = domains
        self.routers: dict[incarnation.Incarnation, Router] = {}
        self.gone: list[tuple[incarnation.Incarnation, str]] = []
        self.noticed: set[incarnation.Incarnation] = set()
        self.groups: dict[str, int] = {}
        self.kv_up = True
        self.bag: list[Letter] = []
        self.calls: list[KvCall] = []
        self.late: list[KvCall] = []
        self.runs: dict[str, Run] = {}
        self.outcomes: dict[str, actions.Outcome] = {}
        self.on_decide: Callable[[str, actions.Outcome], None] | None = None
        self.reports: list[messages.Report] = []
        self.events: Counter[str] = Counter()
        self.orphans: dict[tuple[str, str], int] = {}
        self.stopped = 0
        self.drained: set[incarnation.Incarnation] = set()
        self.charged: set[str] = set()
        self.requests: dict[str, str] = {}
        # Keyed attempts that were refused as not run although an earlier
        # attempt of the same request may have run.
        self.untrue_refusals: list[str] = []
        self.sent: Counter[str] = Counter()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        for i in range(routers):
            self._add(f"r{i:02d}", f"d{i % domains}")
        self.top_up("initial", prepaid)
        self.refresh_views()

    # Fleet.

    def _add(self, name: str, domain: str) -> incarnation.Incarnation:
        own = incarnation.Incarnation(name, f"s{next(self._ids)}")
        node = self.node_type(own, self._policy, self.timing)
        self.routers[own] = Router(node, domain)
        self.groups.setdefault(name, 0)
        return own

    def _policy(self, name: str) -> workspace_lib.Workspace | None:
        return self.config if name == WORKSPACE else None

    def names(self) -> list[incarnation.Incarnation]:
        """Returns the running routers."""
        return list(self.routers)

    def refresh_views(self) -> None:
        """Lets every running router see the fleet as it is."""
        for own, router in self.routers.items():
            if not router.frozen:
                self.handle(own, events.FleetChanged(self._view(own)))

    def _view(self, own: incarnation.Incarnation) -> fleet_view.FleetView:
        members = [
            self._member(r, x.domain, self._seen_state(own, r))
            for r, x in self.routers.items()
        ]
        members += [
            self._member(
                r,
                domain,
                _State.GONE if r in self.noticed else _State.SUSPECTED,
            )
            for r, domain in self.gone
        ]
        return fleet_view.FleetView(tuple(members))

    def _member(
        self, r: incarnation.Incarnation, domain: str, state: _State
    ) -> fleet_view.RouterMember:
        return fleet_view.RouterMember(r, r.name, domain, "region", state)

    def _seen_state(
        self, own: incarnation.Incarnation, other: incarnation.Incarnation
    ) -> _State:
        if own == other:
            return _State.LIVE
        router = self.routers[other]
        if router.frozen or not self._connected(own, other):
            return _State.SUSPECTED
        if router.node.ctx.draining:
            return _State.LEAVING
        return _State.LIVE

    def _connected(
        self, a: incarnation.Incarnation, b: incarnation.Incarnation
    ) -> bool:
        return self.groups.get(a.name, 0) == self.groups.get(b.name, 0)

    def crash(self, router: incarnation.Incarnation) -> None:
        """Ends a process; everything it knew is lost."""
        gone = self.routers.pop(router)
        self.gone.append((router, gone.domain))
        for run in self.runs.values():
            if run.entry == router:
                run.entry_lost = True
        for call in self.calls:
            if call.router == router:
                call.late = True
        self.late += [c for c in self.calls if c.router == router]
        self.calls = [c for c in self.calls if c.router != router]

    def restart(self, router: incarnation.Incarnation) -> None:
        """Starts a new incarnation of a crashed router."""
        domain = dict(self.gone)[router]
        self.noticed.add(router)
        self._add(router.name, domain)
        self.refresh_views()

    def drain(self, router: incarnation.Incarnation) -> None:
        """Begins a planned stop; the process ends once it is drained."""
        self.handle(router, events.Drain())
        self.refresh_views()

    def _end_drained(self) -> None:
        for router in list(self.drained):
            self.drained.discard(router)
            if router in self.routers:
                self.stopped += 1
                assert not any(
                    run.entry == router and run.cost is None
                    for run in self.runs.values()
                ), f"{router} drained with requests in progress"
                self.crash(router)
                self.restart(router)

    def freeze(self, router: incarnation.Incarnation) -> None:
        """Stops a process without ending it."""
        self.routers[router].frozen = True

    def thaw(self, router: incarnation.Incarnation) -> None:
        """Lets a stopped process go on with its old state."""
        self.routers[router].frozen = False
        if self.auto:
            self._schedule_tick(router)

    def partition(self, groups: dict[str, int]) -> None:
        """Cuts routers with different group numbers off from each other."""
        self.groups.update(groups)

    # Events and actions.

    def handle(self, own: incarnation.Incarnation, event: events.Event) -> None:
        """Gives an event to a router and takes its actions."""
        router = self.routers[own]
        for action in router.node.handle(event, self.now_s):
            self._take(own, action)
        if self.auto:
            self._schedule_tick(own)

    def _schedule_tick(self, own: incarnation.Incarnation) -> None:
        router = self.routers[own]
        at_s = router.node.next_wake_s()
        if at_s is None or at_s >= router.tick_at_s:
            return
        router.tick_at_s = at_s

        def tick() -> None:
            if self.routers.get(own) is router and router.tick_at_s == at_s:
                router.tick_at_s = float("inf")
                if not router.frozen:
                    self.handle(own, events.Tick())

        self.at(at_s, tick)

    def _take(
        self, own: incarnation.Incarnation, action: actions.Action
    ) -> None:
        if isinstance(action, actions.Send):
            self._send(Letter(own, action.to, action.msg))
        elif isinstance(action, actions.KvRead | actions.KvCas):
            self._call(KvCall(own, action))
        elif isinstance(action, actions.Decide):
            self._decide(own, action)
        elif isinstance(action, actions.Emit):
            self.events[action.kind] += 1
            if action.kind == "permit.orphan_billed":
                key = (action.request_id, action.grant_id)
                self.orphans[key] = int(action.fields["cost"])
        elif isinstance(action, actions.Drained):
            self.drained.add(own)

    def _send(self, letter: Letter) -> None:
        self.sent[type(letter.msg).__name__] += 1
        if isinstance(letter.msg, messages.Report):
            self._take_report(letter.msg)
        elif self.auto:
            self.at(self.now_s + MESSAGE_DELAY_S, lambda: self.deliver(letter))
        else:
            self.bag.append(letter)

    def _call(self, call: KvCall) -> None:
        if self.auto:
            self.at(
                self.now_s + KV_DELAY_S,
                lambda: self.answer(call, reply=True, apply=True),
            )
        else:
            self.calls.append(call)

    def deliver(self, letter: Letter) -> bool:
        """Delivers a message if its recipient can be reached."""
        router = self.routers.get(letter.to)
        if router is None or not self._connected(letter.sender, letter.to):
            return False
        if router.frozen:
            if self.auto:
                self.at(self.now_s + 0.5, lambda: self.deliver(letter))
            else:
                self.bag.append(letter)
            return False
        self.handle(letter.to, events.Received(letter.sender, letter.msg))
        return True

    def answer(self, call: KvCall, *, reply: bool, apply: bool) -> None:
        """Decides what becomes of a key-value call."""
        router = self.routers.get(call.router)
        if router is not None and router.frozen and self.auto:
            self.at(
                self.now_s + 0.5,
                lambda: self.answer(call, reply=reply, apply=apply),
            )
            return
        up = self.kv_up and not (router and router.kv_cut)
        result: Any = None
        if not up:
            result = refusal.Refusal(_Reason.UNAVAILABLE)
        elif apply:
            result = self._apply(call)
        if up and not (reply and apply):
            result = refusal.Refusal(_Reason.TIMEOUT)
            if not apply:
                self.late.append(attrs.evolve(call, late=True))
        if router is None:
            return
        done: events.Event
        if isinstance(call.action, actions.KvRead):
            done = events.KvReadDone(call.action.token, result)
        else:
            done = events.KvCasDone(call.action.token, result)
        self.handle(call.router, done)

    def _apply(self, call: KvCall) -> Any:
        if isinstance(call.action, actions.KvRead):
            return self.kv.read(call.action.key)
        return self.kv.cas(
            call.action.key,
            call.action.expected_revision,
            call.action.value,
        )

    def land_late(self, index: int) -> None:
        """Lets a write take effect that its caller has given up on."""
        call = self.late.pop(index)
        if self.kv_up:
            self._apply(call)

    # Requests.

    def acquire(
        self,
        own: incarnation.Incarnation,
        worst_case: int,
        *,
        key: str = "",
        timeout_s: float = 3.0,
    ) -> str:
        """Lets a caller's attempt ask for a permit; returns its id."""
        attempt_id = f"a{next(self._ids)}"
        request_id = f"key-{key}" if key else f"request-{attempt_id}"
        req = permit_lib.PermitRequest(
            request_id, attempt_id, WORKSPACE, worst_case, bool(key), "m"
        )
        self.requests[attempt_id] = request_id
        self.handle(own, events.Acquire(req, self.now_s + timeout_s))
        return attempt_id

    def _decide(
        self, own: incarnation.Incarnation, action: actions.Decide
    ) -> None:
        self.outcomes[action.attempt_id] = action.outcome
        if isinstance(action.outcome, permit_lib.Permit):
            self.runs[action.attempt_id] = Run(action.outcome, own, self.now_s)
        elif self._is_untrue(action):
            self.untrue_refusals.append(action.attempt_id)
        if self.on_decide is not None:
            self.on_decide(action.attempt_id, action.outcome)

    def _is_untrue(self, action: actions.Decide) -> bool:
        outcome = action.outcome
        if not isinstance(outcome, refusal.Refusal):
            return False
        request_id = self.requests[action.attempt_id]
        return outcome.run is run_state.RunState.NO and any(
            run.permit.request_id == request_id
            and run.cost != 0
            and run.permit.grant_id not in self.charged
            for run in self.runs.values()
        )

    def running(self) -> list[str]:
        """Returns the attempts whose entry router can still settle them."""
        return [
            a
            for a, run in self.runs.items()
            if run.cost is None
            and run.entry in self.routers
            and not self.routers[run.entry].frozen
        ]

    def finish(self, attempt_id: str, cost: int) -> None:
        """Ends a run; cost 0 means that it never reached a backend."""
        run = self.runs[attempt_id]
        run.cost = min(cost, run.permit.hold)
        self.handle(
            run.entry,
            events.Settle(run.permit, run.cost, permit_lib.CostKind.REPORTED),
        )

    def use(self, attempt_id: str) -> None:
        """Marks a run as sent to a backend."""
        run = self.runs[attempt_id]
        self.handle(run.entry, events.MarkUsed(run.permit, "b"))

    # The ledger.

    def ledger(self) -> ledger_lib.Ledger:
        """Returns the present ledger."""
        found = self.kv.data.get(ledger_codec.key(WORKSPACE))
        if found is None:
            return ledger_lib.Ledger(WORKSPACE)
        return ledger_codec.decode(found.value)

    def _store(self, led: ledger_lib.Ledger) -> None:
        key = ledger_codec.key(WORKSPACE)
        found = self.kv.data.get(key)
        self.kv.cas(
            key, found.revision if found else 0, ledger_codec.encode(led)
        )

    def top_up(self, top_up_id: str, amount: int) -> None:
        """Adds prepaid units as an operator does."""
        led = ledger_lib.top_up(self.ledger(), top_up_id, amount)
        assert isinstance(led, ledger_lib.Ledger)
        self._store(led)

    def batches(self) -> list[tuple[str, billing_batch.BillingBatch]]:
        """Returns all billing batches with their keys."""
        return [
            (k, billing_batch.decode(v.value))
            for k, v in sorted(self.kv.data.items())
            if k.startswith("bills/")
        ]

    def records(self) -> list[billing_batch.BillingRecord]:
        """Returns all billing records."""
        return [r for _, b in self.batches() for r in b.records]

    def charge_in_doubt(self) -> None:
        """Charges the rest of grants whose holder and witness are gone."""
        for g in list(self.ledger().grants.values()):
            if g.holder in self.routers or g.witness in self.routers:
                continue
            prefix = billing_batch.prefix(WORKSPACE, g.id)
            mine = [b for k, b in self.batches() if k.startswith(prefix)]
            logged = mine[-1].settled if mine else 0
            rest = g.amount - logged
            record = billing_batch.BillingRecord(
                f"operator:{g.id}",
                g.id,
                rest,
                permit_lib.CostKind.ESTIMATED,
                "operator",
                "",
            )
            batch = billing_batch.BillingBatch(
                (record,) if rest else (), g.amount, g.epoch + 1, final=True
            )
            key = billing_batch.key(WORKSPACE, g.id, len(mine))
            self.kv.cas(key, 0, billing_batch.encode(batch))
            led = ledger_lib.charge(
                self.ledger(), g.id, g.operation, logged, rest
            )
            assert isinstance(led, ledger_lib.Ledger), led
            self._store(led)
            self.charged.add(g.id)

    # Reports.

    def ask_report(self, own: incarnation.Incarnation) -> None:
        """Asks a router for a report."""
        admin = incarnation.Incarnation("admin", "s0")
        msg = messages.ReportRequest(next(self._ids), WORKSPACE)
        self.handle(own, events.Received(admin, msg))

    def _take_report(self, report: messages.Report) -> None:
        self.reports.append(report)
        if not report.known or self.charged:
            return
        assert report.spent_at_least <= self.reported_bound(), report
        # Later events of the same moment may already be part of the truth.
        read_at_s = self.now_s - report.age_s - 1e-6
        assert report.spent_at_most >= self.spent_at(read_at_s), report

    # The truth.

    def _costs(
        self, at_s: float = float("inf")
    ) -> dict[tuple[str, str], tuple[int, int]]:
        """Returns for each hold its cost and what a report may show.

        A retry that took over the permit of a lost router settles the cost of
        the whole request. Without one, such a request may be billed at its
        full hold.
        """
        groups: dict[tuple[str, str], list[Run]] = {}
        for run in self.runs.values():
            if run.started_at_s <= at_s:
                key = (run.permit.request_id, run.permit.grant_id)
                groups.setdefault(key, []).append(run)
        return {key: self._cost(runs) for key, runs in groups.items()}

    def _cost(self, runs: list[Run]) -> tuple[int, int]:
        settled = max((r.cost or 0 for r in runs), default=0)
        unknown = [r.permit.hold for r in runs if r.cost is None]
        cost = settled or max(unknown, default=0)
        lost = [r.permit.hold for r in runs if r.entry_lost]
        return cost, max([cost, *lost])

    def spent(self) -> int:
        """Returns the settled cost plus the holds of everything running."""
        return sum(cost for cost, _ in self._costs().values())

    def spent_at(self, at_s: float) -> int:
        """Returns the spend of the runs that had started at a time."""
        return sum(cost for cost, _ in self._costs(at_s).values())

    def reported_bound(self) -> int:
        """Returns the most that a report may call certainly spent."""
        costs = {k: shown for k, (_, shown) in self._costs().items()}
        for key, hold in self.orphans.items():
            costs[key] = max(costs.get(key, 0), hold)
        return sum(costs.values())

    # Time.

    def at(self, at_s: float, call: Callable[[], None]) -> None:
        """Calls back at a time, in automatic mode."""
        heapq.heappush(self._heap, (at_s, next(self._order), call))

    def advance(self, seconds: float) -> None:
        """Lets time pass in manual mode; only timers run."""
        self.now_s += seconds
        self._end_drained()
        for own in self.names():
            if not self.routers[own].frozen:
                self.handle(own, events.Tick())

    def run_for(self, seconds: float) -> None:
        """Runs in automatic mode."""
        if not self.auto:
            self._become_automatic()
        end_s = self.now_s + seconds
        while self._heap and self._heap[0][0] <= end_s:
            at_s, _, call = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, at_s)
            call()
            if self.drained:
                self._end_drained()
        self.now_s = end_s

    def _become_automatic(self) -> None:
        self.auto = True
        bag, self.bag = self.bag, []
        calls, self.calls = self.calls, []
        for letter in bag:
            self.deliver(letter)
        for call in calls:
            self.answer(call, reply=True, apply=True)
        for own in self.names():
            self.handle(own, events.Tick())

    def heal(self) -> None:
        """Ends all faults and replaces crashed routers."""
        self.kv_up = True
        self.groups = dict.fromkeys(self.groups, 0)
        for router in self.routers.values():
            router.frozen = False
            router.kv_cut = False
        running = {r.name for r in self.routers}
        for router, _ in list(self.gone):
            self.noticed.add(router)
            if router.name not in running:
                running.add(router.name)
                self.restart(router)
        self.refresh_views()

    def quiesce(self, rng: random.Random) -> None:
        """Heals, finishes all runs and waits until nothing is in progress."""
        self.heal()
        self.run_for(10.0)
        for own in self.names():
            # A planned stop that can't complete ends at its grace period.
            if self.routers[own].node.ctx.draining:
                self.crash(own)
                self.restart(own)
        self.run_for(5.0)
        for attempt_id in self.running():
            hold = self.runs[attempt_id].permit.hold
            self.finish(attempt_id, rng.randint(0, hold))
        self.run_for(40.0)
        self.charge_in_doubt()
        # Grants of lost routers are found by whoever uses the workspace next.
        for own in self.names():
            self.acquire(own, 1)
        self.run_for(5.0)
        for attempt_id in self.running():
            self.finish(attempt_id, 1)
        self.run_for(20.0)

    # Checks.

    def check_refusals(self) -> None:
        """Asserts that a request refused as not run has not run."""
        assert not self.untrue_refusals, self.untrue_refusals

    def check_no_overspend(self) -> None:
        """Asserts the budget guarantee at this moment."""
        prepaid = self.ledger().prepaid
        assert self.spent() <= prepaid, (
            f"overspend: {self.spent()} of {prepaid}"
        )

    def check_billing(self) -> None:
        """Asserts the billing guarantee after quiescence."""
        counts = Counter(r.request_id for r in self.records())
        repeated = {i: n for i, n in counts.items() if n > 1}
        assert not repeated, f"billed more than once: {repeated}"
        for run in self.runs.values():
            ran = run.cost is None or run.cost > 0
            if not ran or run.permit.grant_id in self.charged:
                continue
            assert counts[run.permit.request_id] == 1, f"not billed: {run}"
        by_request = {r.request_id: r for r in self.records()}
        for run in self.runs.values():
            record = by_request.get(run.permit.request_id)
            if run.cost and record and not run.entry_lost:
                assert record.cost >= run.cost, (run, record)
        led = self.ledger()
        logged: dict[str, int] = {}
        for key, batch in self.batches():
            logged[key.split("/")[2]] = batch.settled
        open_logged = sum(logged.get(i, 0) for i in led.grants)
        total = sum(r.cost for r in self.records())
        assert total == led.settled + open_logged, (total, led, logged)

    def check_quiet(self) -> None:
        """Asserts that nothing is left in progress after quiescence."""
        for own, router in self.routers.items():
            assert not router.node.entry.uses, (own, router.node.entry.uses)
            for holder in router.node.holders.values():
                for held in holder.state.grants.values():
                    assert held.table.open_count == 0, held.table.rows
        for g in self.ledger().grants.values():
            assert g.holder in self.routers, f"stranded: {g}"
