"""Seeded random schedules of requests and faults over a simulated fleet."""

from collections.abc import Callable
import random

from hibiscuspass.core.configuration import workspace as workspace_lib
from tests import budget_world

Prepare = Callable[[budget_world.World], None]


def _unfrozen(world: budget_world.World) -> list:
    return [r for r, x in world.routers.items() if not x.frozen]


def _acquire(world: budget_world.World, rng: random.Random) -> None:
    names = _unfrozen(world)
    if names:
        key = str(rng.randint(0, 4)) if rng.random() < 0.4 else ""
        world.acquire(rng.choice(names), rng.randint(1, 12), key=key)


def _deliver(world: budget_world.World, rng: random.Random) -> None:
    for _ in range(min(rng.randint(1, 8), len(world.undelivered))):
        in_order = rng.random() < 0.5
        index = 0 if in_order else rng.randrange(len(world.undelivered))
        item = world.undelivered.pop(index)
        fate = rng.random()
        if fate < 0.04:
            continue
        if fate < 0.08:
            world.undelivered.append(item)
        world.deliver(item)


def _answer(world: budget_world.World, rng: random.Random) -> None:
    for _ in range(min(rng.randint(1, 3), len(world.calls))):
        call = world.calls.pop(rng.randrange(len(world.calls)))
        if call.router in world.routers and world.routers[call.router].frozen:
            world.calls.append(call)
            continue
        fate = rng.random()
        world.answer(call, reply=fate > 0.12, apply=fate > 0.06)


def _advance(world: budget_world.World, rng: random.Random) -> None:
    world.advance(rng.choice([0.01, 0.05, 0.2, 0.5, 1, 3]))


def _finish(world: budget_world.World, rng: random.Random) -> None:
    running = world.running()
    if running:
        attempt = rng.choice(running)
        if rng.random() < 0.3:
            world.use(attempt)
        world.finish(attempt, rng.randint(0, world.runs[attempt].permit.hold))


def _crash(world: budget_world.World, rng: random.Random) -> None:
    if len(world.routers) > 2:
        world.crash(rng.choice(world.names()))


def _restart(world: budget_world.World, rng: random.Random) -> None:
    running = {r.name for r in world.routers}
    down = [r for r, _ in world.gone if r.name not in running]
    if down:
        world.restart(rng.choice(down))


def _freeze(world: budget_world.World, rng: random.Random) -> None:
    names = _unfrozen(world)
    if names:
        world.freeze(rng.choice(names))


def _thaw(world: budget_world.World, rng: random.Random) -> None:
    frozen = [r for r, x in world.routers.items() if x.frozen]
    if frozen:
        world.thaw(rng.choice(frozen))


def _partition(world: budget_world.World, rng: random.Random) -> None:
    split = rng.random() < 0.5
    world.partition(
        {name: rng.randint(0, 1) if split else 0 for name in world.groups}
    )


def _outage(world: budget_world.World, rng: random.Random) -> None:
    world.kv_up = rng.random() < 0.6


def _top_up(world: budget_world.World, rng: random.Random) -> None:
    world.top_up(f"t{rng.random()}", rng.randint(1, 30))


def _land_late(world: budget_world.World, rng: random.Random) -> None:
    if world.late:
        world.land_late(rng.randrange(len(world.late)))


def _report(world: budget_world.World, rng: random.Random) -> None:
    names = _unfrozen(world)
    if names:
        world.ask_report(rng.choice(names))


def _drain(world: budget_world.World, rng: random.Random) -> None:
    up = [r for r in _unfrozen(world) if not world.routers[r].node.ctx.draining]
    if len(up) > 1:
        world.drain(rng.choice(up))


def _refresh(world: budget_world.World, rng: random.Random) -> None:
    del rng
    world.refresh_views()


_STEPS: dict[Callable[[budget_world.World, random.Random], None], float] = {
    _acquire: 15,
    _deliver: 40,
    _answer: 20,
    _advance: 9,
    _finish: 8,
    _crash: 1,
    _restart: 0.5,
    _freeze: 1,
    _thaw: 1,
    _partition: 1,
    _outage: 1,
    _top_up: 0.5,
    _land_late: 0.5,
    _report: 0.5,
    _drain: 0.2,
    _refresh: 0.8,
}


def walk(
    seed: int,
    *,
    steps: int = 400,
    node_type: type | None = None,
    prepare: Prepare | None = None,
) -> budget_world.World:
    """Runs one random schedule, heals the fleet and checks all guarantees."""
    rng = random.Random(seed)
    config = workspace_lib.Workspace(
        budget_world.WORKSPACE, solo_grant_limit=rng.choice([0, 10])
    )
    world = budget_world.World(
        rng.choice([2, 3, 5]),
        rng.choice([20, 60, 300]),
        domains=rng.choice([1, 3]),
        config=config,
        **({} if node_type is None else {"node_type": node_type}),
    )
    if prepare is not None:
        prepare(world)
    kinds, weights = list(_STEPS), list(_STEPS.values())
    for kind in rng.choices(kinds, weights, k=steps):
        kind(world, rng)
        world.check_no_overspend()
    world.quiesce(rng)
    world.check_no_overspend()
    world.check_refusals()
    world.check_billing()
    world.check_quiet()
    return world
