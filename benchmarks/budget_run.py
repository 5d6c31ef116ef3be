"""Runs a seeded schedule of requests under three budget policies.

The runs use virtual time, so only counts are compared, no durations.
"""

import heapq
import itertools
import random

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import events
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from tests import budget_world

WORST_CASE = 100
STEP_S = 0.5
MAX_STEPS = 100
# Requests per second of the whole fleet.
_RATE = 30.0
_DURATION_S = 30.0
_FAULT_S = (8.0, 22.0)
_DOMAINS = 3


@attrs.frozen
class Request:
    """A scheduled request."""

    at_s: float
    router: int
    cost: int
    duration_s: float


@attrs.frozen
class Scenario:
    """A scenario of the comparison.

    Attributes:
      name: Name in the table.
      groups: Number of sides of the network partition; 1 for no partition.
      kv_cut: Whether only the first side can reach the key-value service.
      kv_outage: Whether the key-value service is down.
      kill: Whether the holder of the first grant is killed.
    """

    name: str
    groups: int = 1
    kv_cut: bool = False
    kv_outage: bool = False
    kill: bool = False


SCENARIOS = (
    Scenario("fault-free"),
    Scenario("two sides", groups=2),
    Scenario("three sides", groups=3),
    Scenario("two sides, store cut", groups=2, kv_cut=True),
    Scenario("three sides, store cut", groups=3, kv_cut=True),
    Scenario("store outage", kv_outage=True),
    Scenario("holder killed", kill=True),
)


@attrs.define
class Result:
    """Counts of one run.

    Attributes:
      requests: Requests that arrived.
      served: Requests that got a permit.
      refused: Requests that were refused.
      false_refusals: Refusals although the remaining budget covered them.
      early_false_refusals: False refusals before the remaining budget first
        fell below the worst case of one request.
      overspend: Largest amount by which permits exceeded the budget.
      writes: Writes to the key-value service.
      stranded: Budget that was available to the killed holder.
      stranded_steps: Steps until the grants of the killed holder were closed.
      steps_to_full_use: Steps after the run until one request can use the
        whole unspent budget.
    """

    requests: int = 0
    served: int = 0
    refused: int = 0
    false_refusals: int = 0
    early_false_refusals: int = 0
    overspend: int = 0
    writes: int = 0
    stranded: int = 0
    stranded_steps: int = 0
    steps_to_full_use: int = 0


def schedule(seed: int, routers: int) -> list[Request]:
    """Returns requests that are spread unevenly over the routers."""
    rng = random.Random(seed)
    weights = [rng.choice([1, 1, 3]) for _ in range(routers)]
    requests = []
    at_s = 1.0
    while at_s < _DURATION_S:
        at_s += rng.expovariate(_RATE)
        router = rng.choices(range(routers), weights)[0]
        requests.append(
            Request(
                at_s,
                router,
                rng.randint(20, WORST_CASE),
                rng.uniform(0.2, 2.0),
            )
        )
    return requests


class Meter:
    """Compares each decision with the actual remaining budget."""

    def __init__(self, prepaid: int) -> None:
        self.prepaid = prepaid
        self.spent = 0
        self._budget_used_up = False
        self.result = Result()

    @property
    def remaining(self) -> int:
        """Prepaid units that are neither held nor used by a request."""
        return self.prepaid - self.spent

    def serve(self) -> None:
        """Records a permit, which holds one worst case."""
        self.result.served += 1
        self.spent += WORST_CASE
        self.result.overspend = max(self.result.overspend, -self.remaining)
        self._budget_used_up |= self.remaining < WORST_CASE

    def finish(self, cost: int) -> None:
        """Settles a request at its actual cost."""
        self.spent -= WORST_CASE - cost

    def refuse(self) -> None:
        """Records a refusal."""
        self.result.refused += 1
        self.count_if_false(self.remaining)

    def count_if_false(self, remaining: int) -> None:
        """Counts a refusal as false if `remaining` would have covered it."""
        false = remaining >= WORST_CASE
        self.result.false_refusals += false
        self.result.early_false_refusals += false and not self._budget_used_up


def run_static_split(
    requests: list[Request], routers: int, prepaid: int
) -> Result:
    """Runs a baseline that splits the budget equally among the routers."""
    meter = Meter(prepaid)
    unspent = [prepaid // routers] * routers
    ends: list[tuple[float, int, Request]] = []
    order = itertools.count()
    for req in requests:
        while ends and ends[0][0] <= req.at_s:
            _, _, done = heapq.heappop(ends)
            unspent[done.router] += WORST_CASE - done.cost
            meter.finish(done.cost)
        meter.result.requests += 1
        if unspent[req.router] < WORST_CASE:
            meter.refuse()
            continue
        unspent[req.router] -= WORST_CASE
        meter.serve()
        heapq.heappush(ends, (req.at_s + req.duration_s, next(order), req))
    return meter.result


def run_write_each(
    requests: list[Request], scenario: Scenario, routers: int, prepaid: int
) -> Result:
    """Runs a baseline that writes each permit and settlement to the ledger."""
    meter = Meter(prepaid)
    ends: list[tuple[float, int, Request]] = []
    order = itertools.count()
    for req in requests:
        while ends and ends[0][0] <= req.at_s:
            meter.finish(heapq.heappop(ends)[2].cost)
            meter.result.writes += 1
        meter.result.requests += 1
        faulty = _FAULT_S[0] <= req.at_s < _FAULT_S[1]
        cut = scenario.kv_cut and side(req.router, scenario) != 0
        if (faulty and (scenario.kv_outage or cut)) or (
            meter.remaining < WORST_CASE
        ):
            meter.refuse()
            continue
        meter.serve()
        meter.result.writes += 1
        heapq.heappush(ends, (req.at_s + req.duration_s, next(order), req))
    meter.result.writes += len(ends)
    return meter.result


def side(router: int, scenario: Scenario) -> int:
    """Returns the partition side of a router.

    All routers of a failure domain are on the same side.
    """
    return min(router % _DOMAINS, scenario.groups - 1)


class ProtocolRun:
    """Runs the budget protocol on a simulated fleet."""

    def __init__(
        self,
        requests: list[Request],
        scenario: Scenario,
        routers: int,
        prepaid: int,
        reserve: int,
        solo_limit: int,
    ) -> None:
        self._requests = requests
        self._scenario = scenario
        self._meter = Meter(prepaid)
        self._undecided: dict[str, Request] = {}
        config = workspace_lib.Workspace(
            budget_world.WORKSPACE,
            reserve_per_failure_domain=reserve,
            solo_grant_limit=solo_limit,
        )
        self._world = budget_world.World(
            routers, prepaid, domains=_DOMAINS, config=config, auto=True
        )
        self._world.on_decide = self._on_decide
        self._names = self._world.names()
        self._killed: incarnation.Incarnation | None = None

    def run(self) -> Result:
        """Runs the schedule and then measures the recovery from the faults."""
        world = self._world
        for own in self._names:
            world.handle(own, events.KeepReserves((budget_world.WORKSPACE,)))
        for req in self._requests:
            world.at(req.at_s, lambda req=req: self._start(req))
        world.at(_FAULT_S[0], self._start_faults)
        if not self._scenario.kill:
            world.at(_FAULT_S[1], self._end_faults)
        writes = world.kv.writes
        world.run_for(_DURATION_S + 10.0)
        result = self._meter.result
        result.writes = world.kv.writes - writes
        world.on_decide = None
        result.steps_to_full_use = self._steps_to_full_use()
        return result

    def _start(self, req: Request) -> None:
        own = self._names[req.router]
        if own not in self._world.routers:
            # A load balancer would send the caller to a live router.
            own = self._world.names()[req.router % len(self._world.routers)]
        self._meter.result.requests += 1
        attempt = self._world.acquire(own, WORST_CASE)
        self._undecided[attempt] = req
        outcome = self._world.outcomes.get(attempt)
        if outcome is not None:
            self._decide(attempt, outcome)

    def _on_decide(self, attempt: str, outcome: object) -> None:
        if attempt in self._undecided:
            self._decide(attempt, outcome)

    def _decide(self, attempt: str, outcome: object) -> None:
        req = self._undecided.pop(attempt)
        if not isinstance(outcome, permit_lib.Permit):
            self._refuse()
            return
        self._meter.serve()
        self._world.at(
            self._world.now_s + req.duration_s,
            lambda: self._finish(attempt, req.cost),
        )

    def _refuse(self) -> None:
        meter, world = self._meter, self._world
        meter.result.refused += 1
        before = meter.remaining
        # A permit that was issued before the refusal may still be in transit.
        world.at(
            world.now_s + 2 * budget_world.MESSAGE_DELAY_S,
            lambda: meter.count_if_false(min(before, meter.remaining)),
        )

    def _finish(self, attempt: str, cost: int) -> None:
        world = self._world
        if world.runs[attempt].entry in world.routers:
            # A refusal that arrives now was decided one message delay ago, and
            # the settlement reaches that router only after another delay.
            delay_s = 2 * budget_world.MESSAGE_DELAY_S
            world.at(world.now_s + delay_s, lambda: self._meter.finish(cost))
            world.finish(attempt, cost)

    def _start_faults(self) -> None:
        world, scenario = self._world, self._scenario
        if scenario.groups > 1:
            world.partition(
                {r.name: side(i, scenario) for i, r in enumerate(self._names)}
            )
        for i, r in enumerate(self._names):
            world.routers[r].kv_cut = scenario.kv_cut and side(i, scenario) != 0
        world.kv_up = not scenario.kv_outage
        if scenario.kill:
            self._kill_holder()
        # Failure detection takes a second.
        world.at(world.now_s + 1.0, world.refresh_views)

    def _kill_holder(self) -> None:
        grants = list(self._world.ledger().grants.values())
        self._killed = grants[0].holder
        holders = self._world.routers[self._killed].node.holders
        held_grants = holders[budget_world.WORKSPACE].state.grants.values()
        self._meter.result.stranded = sum(g.available for g in held_grants)
        self._world.crash(self._killed)
        self._world.known_gone.add(self._killed)
        self._count_stranded()

    def _count_stranded(self) -> None:
        held = self._world.ledger().grants.values()
        if any(g.holder == self._killed for g in held):
            self._meter.result.stranded_steps += 1
            self._world.at(self._world.now_s + STEP_S, self._count_stranded)

    def _end_faults(self) -> None:
        world = self._world
        world.partition(dict.fromkeys(world.groups, 0))
        for router in world.routers.values():
            router.kv_cut = False
        world.kv_up = True
        world.at(world.now_s + 1.0, world.refresh_views)

    def _steps_to_full_use(self) -> int:
        """Returns the steps until one request can use the unspent budget.

        Requests whose entry router was killed keep their holds.
        """
        world = self._world
        for step in range(1, MAX_STEPS):
            unspent = world.ledger().prepaid - world.spent()
            if unspent <= 0:
                return 0
            own = world.names()[step % len(world.routers)]
            attempt = world.acquire(own, unspent, timeout_s=2.0)
            world.run_for(STEP_S)
            outcome = world.outcomes.get(attempt)
            if isinstance(outcome, permit_lib.Permit):
                return step
        return MAX_STEPS
