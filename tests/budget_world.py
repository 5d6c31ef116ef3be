"""A simulated fleet of budget nodes in virtual time, with faults.

In manual mode, messages and key-value calls wait until the test delivers, drops
or answers them. In automatic mode they arrive after fixed delays.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import events
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node as node_lib
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import timing as timing_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from tests import budget_parts
from tests import budget_records
from tests import budget_views

WORKSPACE = budget_records.WORKSPACE
MESSAGE_DELAY_S = 0.001
KV_DELAY_S = 0.003

_Reason = reason_lib.Reason


class World(budget_views.Views):
    """Simulates routers, the key-value service and the network."""

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
        super().__init__()
        self.timing = timing or budget_parts.default_timing()
        self.config = config or workspace_lib.Workspace(WORKSPACE)
        self.node_type = node_type
        self.auto = auto
        self.now_s = 1.0
        self.domains = domains
        self.kv_up = True
        self.undelivered: list[budget_parts.InFlightMessage] = []
        self.calls: list[budget_parts.KvCall] = []
        self.late: list[budget_parts.KvCall] = []
        self.on_decide: Callable[[str, actions.Outcome], None] | None = None
        self.reports: list[messages.Report] = []
        self.events: collections.Counter[str] = collections.Counter()
        self.stopped = 0
        self.drained: set[incarnation.Incarnation] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._ids = itertools.count(1)
        for i in range(routers):
            self._add(f"r{i:02d}", f"d{i % domains}")
        self.top_up("initial", prepaid)
        self.refresh_views()

    # Fleet.

    def _add(self, name: str, domain: str) -> incarnation.Incarnation:
        own = incarnation.Incarnation(name, f"s{next(self._ids)}")
        node = self.node_type(own, self._policy, self.timing)
        self.routers[own] = budget_parts.Router(node, domain)
        self.groups.setdefault(name, 0)
        return own

    def _policy(self, name: str) -> workspace_lib.Workspace | None:
        return self.config if name == WORKSPACE else None

    def refresh_views(self) -> None:
        """Gives every running router its current membership view."""
        for own, router in self.routers.items():
            if not router.frozen:
                self.handle(own, events.FleetChanged(self._view(own)))

    def crash(self, router: incarnation.Incarnation) -> None:
        """Ends a process, which loses its state."""
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
        self.known_gone.add(router)
        self._add(router.name, domain)
        self.refresh_views()

    def drain(self, router: incarnation.Incarnation) -> None:
        """Begins a planned stop; the router restarts once it is drained."""
        self.handle(router, events.Drain())
        self.refresh_views()

    def _replace_drained(self) -> None:
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

    def thaw(self, router: incarnation.Incarnation) -> None:
        """Resumes a frozen process with its old state."""
        self.routers[router].frozen = False
        if self.auto:
            self._schedule_tick(router)

    # Events and actions.

    def handle(self, own: incarnation.Incarnation, event: events.Event) -> None:
        """Passes an event to a router and carries out its actions."""
        for action in self.routers[own].node.handle(event, self.now_s):
            self._perform(own, action)
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

    def _perform(
        self, own: incarnation.Incarnation, action: actions.Action
    ) -> None:
        if isinstance(action, actions.Send):
            self._send(budget_parts.InFlightMessage(own, action.to, action.msg))
        elif isinstance(action, actions.KvRead | actions.KvCas):
            self._call(budget_parts.KvCall(own, action))
        elif isinstance(action, actions.FinishAcquire):
            self._decide(own, action)
        elif isinstance(action, actions.EmitEvent):
            self.events[action.kind] += 1
            if action.kind == "permit.orphan_billed":
                key = (action.request_id, action.grant_id)
                self.orphans[key] = int(action.fields["cost"])
        elif isinstance(action, actions.Drained):
            self.drained.add(own)

    def _send(self, item: budget_parts.InFlightMessage) -> None:
        self.sent[type(item.msg).__name__] += 1
        if isinstance(item.msg, messages.Report):
            self._check_report(item.msg)
        elif self.auto:
            self.at(self.now_s + MESSAGE_DELAY_S, lambda: self.deliver(item))
        else:
            self.undelivered.append(item)

    def _call(self, call: budget_parts.KvCall) -> None:
        if self.auto:
            self.at(
                self.now_s + KV_DELAY_S,
                lambda: self.answer(call, reply=True, apply=True),
            )
        else:
            self.calls.append(call)

    def deliver(self, item: budget_parts.InFlightMessage) -> bool:
        """Delivers a message if its recipient is up and reachable."""
        router = self.routers.get(item.to)
        if router is None or not self._connected(item.sender, item.to):
            return False
        if router.frozen:
            if self.auto:
                self.at(self.now_s + 0.5, lambda: self.deliver(item))
            else:
                self.undelivered.append(item)
            return False
        self.handle(item.to, events.Received(item.sender, item.msg))
        return True

    def answer(
        self, call: budget_parts.KvCall, *, reply: bool, apply: bool
    ) -> None:
        """Answers a key-value call; without `apply`, adds it to `late`."""
        router = self.routers.get(call.router)
        if router is not None and router.frozen and self.auto:
            self.at(
                self.now_s + 0.5,
                lambda: self.answer(call, reply=reply, apply=apply),
            )
            return
        up = self.kv_up and not (router and router.kv_cut)
        result = self._apply(call) if up and apply else None
        if not up:
            result = refusal.Refusal(_Reason.UNAVAILABLE)
        # A lost reply and a write that applies later look alike to the caller.
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

    def _apply(self, call: budget_parts.KvCall) -> Any:
        if isinstance(call.action, actions.KvRead):
            return self.kv.read(call.action.key)
        return self.kv.cas(
            call.action.key,
            call.action.expected_revision,
            call.action.value,
        )

    def land_late(self, index: int) -> None:
        """Applies a call that timed out or whose caller crashed."""
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
        """Starts an attempt that asks for a permit; returns its id."""
        attempt_id = f"a{next(self._ids)}"
        request_id = f"key-{key}" if key else f"request-{attempt_id}"
        req = permit_lib.PermitRequest(
            request_id, attempt_id, WORKSPACE, worst_case, bool(key), "m"
        )
        self.requests[attempt_id] = request_id
        self.handle(own, events.Acquire(req, self.now_s + timeout_s))
        return attempt_id

    def _decide(
        self, own: incarnation.Incarnation, action: actions.FinishAcquire
    ) -> None:
        self.outcomes[action.attempt_id] = action.outcome
        self.record_outcome(action, own, self.now_s)
        if self.on_decide is not None:
            self.on_decide(action.attempt_id, action.outcome)

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
        """Settles a run; cost 0 means that no backend server ran it."""
        run = self.runs[attempt_id]
        run.cost = min(cost, run.permit.hold)
        self.handle(
            run.entry,
            events.Settle(run.permit, run.cost, permit_lib.CostKind.REPORTED),
        )

    def use(self, attempt_id: str) -> None:
        """Marks a run as sent to a backend server."""
        run = self.runs[attempt_id]
        self.handle(run.entry, events.MarkUsed(run.permit, "b"))

    # Reports.

    def ask_report(self, own: incarnation.Incarnation) -> None:
        """Requests a report from a router."""
        admin = incarnation.Incarnation("admin", "s0")
        msg = messages.ReportRequest(next(self._ids), WORKSPACE)
        self.handle(own, events.Received(admin, msg))

    def _check_report(self, report: messages.Report) -> None:
        self.reports.append(report)
        if not report.known or self.charged:
            return
        assert report.spent_at_least <= self.max_reported_spend(), report
        # Runs that started at the time of the read may not be in the report.
        read_at_s = self.now_s - report.age_s - 1e-6
        assert report.spent_at_most >= self.spent_at(read_at_s), report

    # Time.

    def at(self, at_s: float, call: Callable[[], None]) -> None:
        """Schedules a call in automatic mode."""
        heapq.heappush(self._heap, (at_s, next(self._sequence), call))

    def advance(self, seconds: float) -> None:
        """Advances time in manual mode; only timers run."""
        self.now_s += seconds
        self._replace_drained()
        for own in self.names():
            if not self.routers[own].frozen:
                self.handle(own, events.Tick())

    def run_for(self, seconds: float) -> None:
        """Runs for some time in automatic mode."""
        if not self.auto:
            self._switch_to_automatic()
        end_s = self.now_s + seconds
        while self._heap and self._heap[0][0] <= end_s:
            at_s, _, call = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, at_s)
            call()
            if self.drained:
                self._replace_drained()
        self.now_s = end_s

    def _switch_to_automatic(self) -> None:
        self.auto = True
        undelivered, self.undelivered = self.undelivered, []
        calls, self.calls = self.calls, []
        for item in undelivered:
            self.deliver(item)
        for call in calls:
            self.answer(call, reply=True, apply=True)
        for own in self.names():
            self.handle(own, events.Tick())

    def heal(self) -> None:
        """Ends all faults and restarts crashed routers."""
        self.kv_up = True
        self.groups = dict.fromkeys(self.groups, 0)
        for router in self.routers.values():
            router.frozen = False
            router.kv_cut = False
        running = {r.name for r in self.routers}
        for router, _ in list(self.gone):
            self.known_gone.add(router)
            if router.name not in running:
                running.add(router.name)
                self.restart(router)
        self.refresh_views()

    def quiesce(self, rng: random.Random) -> None:
        """Heals the fleet, finishes all runs and waits until it is idle."""
        self.heal()
        self.run_for(10.0)
        for own in self.names():
            if self.routers[own].node.ctx.draining:  # Its grace period is over.
                self.crash(own)
                self.restart(own)
        self.run_for(5.0)
        for attempt_id in self.running():
            hold = self.runs[attempt_id].permit.hold
            self.finish(attempt_id, rng.randint(0, hold))
        self.run_for(40.0)
        self.charge_in_doubt()
        self.run_for(1.0)
        self.final_attempts = [
            self.acquire(own, 1, key=key)
            for own in self.names()
            for key in ("", f"last {own}")
        ]
        self.run_for(5.0)
        for attempt_id in self.running():
            self.finish(attempt_id, 1)
        self.run_for(20.0)
