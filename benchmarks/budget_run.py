"""One seeded schedule of requests under three ways to guard a budget.

Virtual time; only counts are taken.
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
# Requests per second over the whole fleet.
_RATE = 30.0
_LENGTH_S = 30.0
_FAULT_S = (8.0, 22.0)
_DOMAINS = 3


@attrs.frozen
class Request:
    """One scheduled request."""

    at_s: float
    router: int
    cost: int
    duration_s: float


@attrs.frozen
class Cell:
    """A case of the comparison.

    Attributes:
      name: Name in the table.
      groups: Number of sides of the partition; 1 for none.
      kv_cut: Whether only the first side reaches the key-value service.
      kv_outage: Whether the key-value service is down.
      kill: Whether the holder of the first grant is killed.
    """

    name: str
    groups: int = 1
    kv_cut: bool = False
    kv_outage: bool = False
    kill: bool = False


CELLS = (
    Cell("fault-free"),
    Cell("two sides", groups=2),
    Cell("three sides", groups=3),
    Cell("two sides, store cut", groups=2, kv_cut=True),
    Cell("three sides, store cut", groups=3, kv_cut=True),
    Cell("store outage", kv_outage=True),
    Cell("holder killed", kill=True),
)


@attrs.define
class Result:
    """Counts of one run."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    false_refusals: int = 0
    # Of these, before the remaining budget first fell below one worst case.
    early: int = 0
    overspend: int = 0
    writes: int = 0
    stranded: int = 0
    stranded_steps: int = 0
    steps_to_full_use: int = 0


def schedule(seed: int, routers: int) -> list[Request]:
    """Returns requests with uneven shares of the routers."""
    rng = random.Random(seed)
    weights = [rng.choice([1, 1, 3]) for _ in range(routers)]
    requests = []
    at_s = 1.0
    while at_s < _LENGTH_S:
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
    """Compares each decision with the true remaining budget."""

    def __init__(self, prepaid: int) -> None:
        self.prepaid = prepaid
        self.spent = 0
        self._ended = False
        self.result = Result()

    @property
    def remaining(self) -> int:
        """Prepaid units that no request holds or has used."""
        return self.prepaid - self.spent

    def serve(self) -> None:
        """Counts a permit."""
        self.result.served += 1
        self.spent += WORST_CASE
        self.result.overspend = max(self.result.overspend, -self.remaining)
        self._ended |= self.remaining < WORST_CASE

    def finish(self, cost: int) -> None:
        """Counts the end of a request."""
        self.spent -= WORST_CASE - cost

    def refuse(self) -> None:
        """Counts a refusal."""
        self.result.refused += 1
        self.judge(self.remaining)

    def judge(self, remaining: int) -> None:
        """Decides whether a refusal was false."""
        false = remaining >= WORST_CASE
        self.result.false_refusals += false
        self.result.early += false and not self._ended


def run_static_split(
    requests: list[Request], routers: int, prepaid: int
) -> Result:
    """Gives each router an equal share once and for all."""
    meter = Meter(prepaid)
    left = [prepaid // routers] * routers
    ends: list[tuple[float, int, Request]] = []
    order = itertools.count()
    for req in requests:
        while ends and ends[0][0] <= req.at_s:
            _, _, done = heapq.heappop(ends)
            left[done.router] += WORST_CASE - done.cost
            meter.finish(done.cost)
        meter.result.requests += 1
        if left[req.router] < WORST_CASE:
            meter.refuse()
            continue
        left[req.router] -= WORST_CASE
        meter.serve()
        heapq.heappush(ends, (req.at_s + req.duration_s, next(order), req))
    return meter.result


def run_write_each(
    requests: list[Request], cell: Cell, routers: int, prepaid: int
) -> Result:
    """Writes the ledger for each permit and for each settlement."""
    meter = Meter(prepaid)
    ends: list[tuple[float, int, Request]] = []
    order = itertools.count()
    for req in requests:
        while ends and ends[0][0] <= req.at_s:
            meter.finish(heapq.heappop(ends)[2].cost)
            meter.result.writes += 1
        meter.result.requests += 1
        faulty = _FAULT_S[0] <= req.at_s < _FAULT_S[1]
        cut = cell.kv_cut and side(req.router, cell) != 0
        if (faulty and (cell.kv_outage or cut)) or (
            meter.remaining < WORST_CASE
        ):
            meter.refuse()
            continue
        meter.serve()
        meter.result.writes += 1
        heapq.heappush(ends, (req.at_s + req.duration_s, next(order), req))
    meter.result.writes += len(ends)
    return meter.result


def side(router: int, cell: Cell) -> int:
    """Returns the side of a router; sides are whole failure domains."""
    return min(router % _DOMAINS, cell.groups - 1)


class ProtocolRun:
    """The budget protocol on a simulated fleet."""

    def __init__(
        self,
        requests: list[Request],
        cell: Cell,
        routers: int,
        prepaid: int,
        reserve: int,
        solo_limit: int,
    ) -> None:
        self._requests = requests
        self._cell = cell
        self._meter = Meter(prepaid)
        self._by_attempt: dict[str, Request] = {}
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
        """Runs the schedule, then heals and measures the recovery."""
        world = self._world
        for own in self._names:
            world.handle(own, events.KeepReserves((budget_world.WORKSPACE,)))
        for req in self._requests:
            world.at(req.at_s, lambda req=req: self._start(req))
        world.at(_FAULT_S[0], self._fail)
        if not self._cell.kill:
            world.at(_FAULT_S[1], self._heal)
        writes = world.kv.writes
        world.run_for(_LENGTH_S + 10.0)
        result = self._meter.result
        result.writes = world.kv.writes - writes
        world.on_decide = None
        result.steps_to_full_use = self._probe()
        return result

    def _start(self, req: Request) -> None:
        own = self._names[req.router]
        if own not in self._world.routers:
            # The load balancer sends callers to a router that runs.
            own = self._world.names()[req.router % len(self._world.routers)]
        self._meter.result.requests += 1
        attempt = self._world.acquire(own, WORST_CASE)
        self._by_attempt[attempt] = req
        outcome = self._world.outcomes.get(attempt)
        if outcome is not None:
            self._decide(attempt, outcome)

    def _on_decide(self, attempt: str, outcome: object) -> None:
        if attempt in self._by_attempt:
            self._decide(attempt, outcome)

    def _decide(self, attempt: str, outcome: object) -> None:
        req = self._by_attempt.pop(attempt)
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
        # A permit that was issued before the refusal may still be on its way.
        world.at(
            world.now_s + 2 * budget_world.MESSAGE_DELAY_S,
            lambda: meter.judge(min(before, meter.remaining)),
        )

    def _finish(self, attempt: str, cost: int) -> None:
        world = self._world
        if world.runs[attempt].entry in world.routers:
            # A refusal that arrives now was decided one message delay ago, and
            # a settlement needs another one to be known there.
            delay_s = 2 * budget_world.MESSAGE_DELAY_S
            world.at(world.now_s + delay_s, lambda: self._meter.finish(cost))
            world.finish(attempt, cost)

    def _fail(self) -> None:
        world, cell = self._world, self._cell
        if cell.groups > 1:
            world.partition(
                {r.name: side(i, cell) for i, r in enumerate(self._names)}
            )
        for i, r in enumerate(self._names):
            world.routers[r].kv_cut = cell.kv_cut and side(i, cell) != 0
        world.kv_up = not cell.kv_outage
        if cell.kill:
            self._kill()
        # Membership notices after a second.
        world.at(world.now_s + 1.0, world.refresh_views)

    def _kill(self) -> None:
        grants = list(self._world.ledger().grants.values())
        self._killed = grants[0].holder
        holder = self._world.routers[self._killed].node.holders
        rooms = holder[budget_world.WORKSPACE].state.grants.values()
        self._meter.result.stranded = sum(g.available for g in rooms)
        self._world.crash(self._killed)
        self._world.known_gone.add(self._killed)
        self._watch_stranded()

    def _watch_stranded(self) -> None:
        held = self._world.ledger().grants.values()
        if any(g.holder == self._killed for g in held):
            self._meter.result.stranded_steps += 1
            self._world.at(self._world.now_s + STEP_S, self._watch_stranded)

    def _heal(self) -> None:
        world = self._world
        world.partition(dict.fromkeys(world.groups, 0))
        for router in world.routers.values():
            router.kv_cut = False
        world.kv_up = True
        world.at(world.now_s + 1.0, world.refresh_views)

    def _probe(self) -> int:
        """Returns the steps until one request can use all that is left.

        Requests whose entry router was killed keep their holds.
        """
        world = self._world
        for step in range(1, MAX_STEPS):
            left = world.ledger().prepaid - world.spent()
            if left <= 0:
                return 0
            own = world.names()[step % len(world.routers)]
            attempt = world.acquire(own, left, timeout_s=2.0)
            world.run_for(STEP_S)
            outcome = world.outcomes.get(attempt)
            if isinstance(outcome, permit_lib.Permit):
                return step
        return MAX_STEPS
