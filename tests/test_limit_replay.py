"""Replays a server that names a limit before fleets of all sizes.

The figures are in the table of docs/decisions/server-limits.md.
"""

import random

import pytest

from tests import limit_simulation

_SIZES = [3, 9, 63, 195]
_DURATION_S = 40.0
_END_S = 5.0 + _DURATION_S
_LOAD_PER_S = 30.0

_Simulation = limit_simulation.Simulation


def _simulation(size, limit_at, **more):
    if not callable(limit_at):
        limit_at = limit_simulation.steps((5.0, limit_at))
    return _Simulation(limit_at, size, _LOAD_PER_S, **more)


@pytest.mark.parametrize("size", _SIZES)
@pytest.mark.parametrize("limit", [0.6, 1.2, 8.0])
def test_server_gets_about_what_it_accepts(size: int, limit: float) -> None:
    """Neither a share for each router nor a request for each router works."""
    replay = _simulation(size, limit)
    replay.run(_DURATION_S)
    assert replay.worst_excess() <= 0
    assert 0.35 * limit <= replay.rate(15.0, _END_S) <= limit


@pytest.mark.parametrize("size", _SIZES)
def test_all_routers_learn_soon(size: int) -> None:
    """Those that the server has not told don't count, but load it too."""
    replay = _simulation(size, 1.2)
    replay.run(_DURATION_S)
    assert replay.rate(7.0, 11.0) <= 1.5 * 1.2


def test_keeper_is_not_overloaded() -> None:
    """All routers of a large fleet have requests for the server."""
    size = 195
    replay = _simulation(size, 1.2)
    replay.per_s = 200.0
    replay.run(_DURATION_S)
    # Each router asks every three seconds.
    assert replay.messages / _END_S <= size / 3
    assert replay.rate(15.0, _END_S) >= 0.6 * 1.2


@pytest.mark.parametrize("size", _SIZES)
def test_lost_keeper_is_replaced(size: int) -> None:
    """The other routers know it for a while and ask it first."""
    replay = _simulation(size, 1.2)

    def stop(replay: _Simulation) -> None:
        replay.keeper().is_up = False

    replay.run(_DURATION_S, {15.0: stop})
    assert replay.worst_excess() <= 0
    assert replay.rate(20.0, _END_S) >= 0.25 * 1.2


@pytest.mark.parametrize("size", _SIZES)
def test_restarts_of_the_keeper(size: int) -> None:
    """A restarted keeper has lost its count, and is told of the limit again."""
    replay = _simulation(size, 1.2)

    def stop(replay: _Simulation) -> None:
        replay.keeper().is_up = False

    def start(replay: _Simulation) -> None:
        replay.keeper().restart()

    events = {12.0: stop, 13.0: start, 18.0: stop, 19.0: start, 25.0: stop}
    replay.run(_DURATION_S, {**events, 25.5: start})
    assert replay.worst_excess() <= 0
    assert replay.rate(30.0, _END_S) >= 0.35 * 1.2


@pytest.mark.parametrize("size", _SIZES)
@pytest.mark.parametrize("limit", [1.2, 8.0])
def test_two_views_of_the_fleet(size: int, limit: float) -> None:
    """For 10 s, two routers take themselves for the keeper."""
    replay = _simulation(size, limit)
    replay.run(
        _DURATION_S,
        {
            15.0: lambda replay: replay.split(views=2),
            25.0: _Simulation.join,
        },
    )
    assert replay.worst_excess() <= 0


@pytest.mark.parametrize("size", _SIZES)
@pytest.mark.parametrize("views", [3, 1000])
def test_many_views_of_the_fleet(size: int, views: int) -> None:
    """For 10 s, each router sees a third of the others, or none."""
    replay = _simulation(size, 8.0)
    replay.run(
        _DURATION_S,
        {
            15.0: lambda replay: replay.split(views=views),
            25.0: _Simulation.join,
        },
    )
    assert replay.worst_excess() <= 0
    assert replay.rate(28.0, _END_S) >= 0.35 * 8.0


@pytest.mark.parametrize("size", _SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_random_views_of_the_fleet(size: int, seed: int) -> None:
    """For 10 s, each router misses one in five of the others."""
    replay = _simulation(size, 8.0, seed=seed)

    def forget(replay: _Simulation) -> None:
        rng = random.Random(seed)
        for router in replay.routers.values():
            router.view = {n for n in router.view if rng.random() < 0.8}

    replay.run(_DURATION_S, {15.0: forget, 25.0: _Simulation.join})
    assert replay.worst_excess() <= 0


@pytest.mark.parametrize("size", _SIZES)
@pytest.mark.parametrize("loss", [0.05, 0.3])
def test_lost_messages(size: int, loss: float) -> None:
    """Routers take others for silent that give permits."""
    replay = _simulation(size, 8.0, loss=loss)
    replay.run(_DURATION_S)
    assert replay.worst_excess() <= 0
    assert replay.rate(15.0, _END_S) >= 0.15 * 8.0


@pytest.mark.parametrize("size", _SIZES)
def test_limit_that_falls_and_rises(size: int) -> None:
    """The keeper learns it from the first answer that says so."""
    replay = _simulation(
        size, limit_simulation.steps((5.0, 10.0), (20.0, 0.5), (32.0, 10.0))
    )
    replay.run(_DURATION_S)
    assert replay.worst_excess() <= 0
    assert replay.rate(10.0, 20.0) >= 3.5
    assert replay.rate(24.0, 32.0) <= 0.5
    assert replay.rate(36.0, _END_S) >= 3.5


@pytest.mark.parametrize("size", _SIZES)
def test_limit_that_ends(size: int) -> None:
    """A server that gets a few requests says soon that it is well."""
    replay = _simulation(size, limit_simulation.steps((5.0, 1.2), (20.0, None)))
    replay.run(_DURATION_S)
    assert replay.rate(15.0, 20.0) <= 1.2
    assert replay.rate(32.0, _END_S) >= 0.7 * _LOAD_PER_S


@pytest.mark.parametrize("size", _SIZES)
def test_limit_of_nothing(size: int) -> None:
    """Single requests show when the server accepts some again."""
    replay = _simulation(size, limit_simulation.steps((5.0, 0.0), (20.0, None)))
    replay.run(80.0)
    assert replay.worst_excess() <= 0
    assert replay.rate(8.0, 20.0) <= 0.2
    assert replay.rate(65.0, 85.0) >= 0.7 * _LOAD_PER_S
