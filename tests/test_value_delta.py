"""Tests of differences between versions of a large value."""

import json
import random

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import value_delta
from tests import assertions

_MAX_BYTES = 1 << 20


def _routes(count: int, seed: int) -> list[dict[str, object]]:
    rng = random.Random(seed)
    return [
        {
            "name": f"r-{rng.getrandbits(40):x}",
            "host": f"{rng.getrandbits(24):x}.example",
            "path_prefix": f"/{rng.getrandbits(40):x}/",
            "timeout_ms": 800,
            "service": "app",
        }
        for _ in range(count)
    ]


def _value(version: int, routes: list[dict[str, object]]) -> bytes:
    return json.dumps({"version": version, "routes": routes}).encode()


@hypothesis.given(base=st.binary(), value=st.binary())
def test_difference_gives_the_value(base: bytes, value: bytes) -> None:
    delta = value_delta.encode(value, base)
    assert value_delta.decode(delta, base, _MAX_BYTES) == value


@hypothesis.settings(max_examples=30, deadline=None)
@hypothesis.given(st.integers(), st.integers(1, 8))
def test_series_of_changes_gives_each_version(seed: int, changes: int) -> None:
    """A follower that misses versions applies one difference for several."""
    rng = random.Random(seed)
    routes = _routes(600, seed=1)
    known = _value(0, routes)
    for version in range(1, changes + 1):
        for _ in range(rng.randrange(4)):
            routes[rng.randrange(len(routes))]["timeout_ms"] = rng.random()
        del routes[rng.randrange(len(routes))]
        routes += _routes(rng.randrange(3), seed=version)
        value = _value(version, routes)
        if rng.random() < 0.5:
            delta = value_delta.encode(value, known)
            known = value_delta.decode(delta, known, _MAX_BYTES)
            assert known == value


def test_small_change_of_a_large_value_is_small() -> None:
    """A top-up took 0.7 s of a link that it shares with requests."""
    routes = _routes(2600, seed=1)
    base = _value(1, routes)
    routes[1200]["timeout_ms"] = 900
    delta = value_delta.encode(_value(2, routes), base)
    assert len(base) > 300_000
    assert len(delta.data) < 1000


def test_difference_from_another_value_is_refused() -> None:
    delta = value_delta.encode(b"new", b"old")
    refused = value_delta.decode(delta, b"other", _MAX_BYTES)
    assertions.assert_refused(refused, reason_lib.Reason.INVALID_REQUEST)


def test_difference_with_too_large_a_result_is_refused() -> None:
    """It would take memory before its digest could be compared."""
    delta = value_delta.encode(bytes(5 << 20), b"old")
    refused = value_delta.decode(delta, b"old", 1 << 20)
    assertions.assert_refused(refused, reason_lib.Reason.INVALID_REQUEST)


@pytest.mark.parametrize("size", [0, 3, 20, -1])
def test_truncated_difference_is_refused(size: int) -> None:
    routes = _routes(50, seed=1)
    base = _value(1, routes[:30])
    delta = value_delta.encode(_value(2, routes), base)
    delta = attrs.evolve(delta, data=delta.data[:size])
    refused = value_delta.decode(delta, base, _MAX_BYTES)
    assertions.assert_refused(refused, reason_lib.Reason.INVALID_REQUEST)


def test_difference_with_a_wrong_result_is_refused() -> None:
    delta = value_delta.encode(b"new" * 50, b"old")
    delta = attrs.evolve(delta, digest=value_delta.digest(b"newer"))
    refused = value_delta.decode(delta, b"old", _MAX_BYTES)
    assertions.assert_refused(refused, reason_lib.Reason.INVALID_REQUEST)


def test_oldest_values_are_dropped() -> None:
    recent = value_delta.RecentValues()
    values = [b"%d" % n for n in range(9)]
    for value in values:
        recent.add(value)
    kept = [v for v in values if recent.find(value_delta.digest(v)) == v]
    assert kept == values[-5:]
