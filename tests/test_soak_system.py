"""Guards the soak test against processes that it does not stop."""

import asyncio
import pathlib
import random

import pytest

from tests.soak import proxy as proxy_lib
from tests.soak import system as system_lib


async def test_overlapping_starts_start_one_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a gateway process that outlives the soak test.

    Overlapping faults start the same gateway concurrently. The second process
    replaced the first, which was then never stopped.
    """
    started: list[object] = []

    class _FakeProcess:
        returncode = None

    async def start_process(*_: object, **__: object) -> _FakeProcess:
        await asyncio.sleep(0.01)
        started.append(None)
        return _FakeProcess()

    monkeypatch.setattr(
        system_lib.asyncio, "create_subprocess_exec", start_process
    )
    gateway = system_lib.Gateway(
        "router-0",
        tmp_path / "router-0.yaml",
        "http://h:1",
        proxy_lib.Proxy("h:2", random.Random(1)),
    )
    await asyncio.gather(gateway.start(), gateway.start())
    assert len(started) == 1
