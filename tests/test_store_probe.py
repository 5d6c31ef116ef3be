"""Tests of the reads that show when the store can be reached again."""

import asyncio
import time

import pytest

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.gateway import store_probe
from tests import memory_store


class _Store(memory_store.MemoryStore):
    """Answers after a time, or not at all.

    Attributes:
      answer_s: Time until a read is answered in seconds.
      reads: Number of reads.
    """

    def __init__(self, answer_s: float) -> None:
        super().__init__()
        self.answer_s = answer_s
        self.reads = 0

    async def get_prefix(self, prefix, *, timeout_s, **options):
        self.reads += 1
        await asyncio.sleep(min(self.answer_s, timeout_s))
        if self.answer_s >= timeout_s:
            return refusal.Refusal(reason_lib.Reason.TIMEOUT, "no reply")
        return await super().get_prefix(prefix, timeout_s=timeout_s, **options)


@pytest.mark.parametrize("answer_s", [0.01, 0.6, 1.2])
async def test_store_behind_a_saturated_link_is_found(answer_s: float) -> None:
    """Each read was given up before its answer, for as long as requests came.

    Such a router followed nothing for six seconds.
    """
    probe = store_probe.StoreProbe(_Store(answer_s))
    probe.on_failure()
    started_s = time.monotonic()
    async with asyncio.timeout(5.0):
        await probe.wait()
    assert time.monotonic() - started_s < answer_s + 0.3
    assert probe.is_reachable


async def test_reads_of_a_silent_store_are_few() -> None:
    store = _Store(answer_s=60.0)
    probe = store_probe.StoreProbe(store)
    probe.on_failure()
    await asyncio.sleep(4.0)
    probe.close()
    assert 3 <= store.reads <= 6


async def test_store_that_refuses_is_asked_at_short_intervals() -> None:
    store = _Store(answer_s=0.0)
    store.is_down = True
    probe = store_probe.StoreProbe(store)
    probe.on_failure()
    await asyncio.sleep(2.0)
    assert 4 <= store.reads <= 11
    store.is_down = False
    async with asyncio.timeout(0.6):
        await probe.wait()
