"""Bounds the router's CPU time per token event and request.

Target: 5,700 token events/s and 13 requests/s on one node. The engine is a
fake in the same process, the callers are another process.
"""

import asyncio
from collections.abc import AsyncIterator
import gc
import json
import resource
import sys
import time

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.core import refusal
from tests import backend_fakes
from tests import router_fakes

_MAX_CPU_S_PER_EVENT = 90e-6
_MAX_CPU_S_PER_REQUEST = 3e-3
_MAX_BYTES_PER_STREAM = 64 * 1024


class _PacedEngine(backend_fakes.FakeEngine):
    """Yields a number of events at a fixed gap."""

    events = 200
    gap_s = 0.027

    async def complete(
        self, req: engine.EngineRequest, *, idle_timeout_s: float
    ) -> AsyncIterator[engine.TokenEvent | refusal.Refusal]:
        template = backend_fakes.chunk(0, "token")
        for index in range(self.events):
            await asyncio.sleep(self.gap_s)
            yield engine.TokenEvent(template.data, 1, index)
        yield backend_fakes.last(self.events, 10, self.events)


async def _start_router() -> router_fakes.Router:
    router = await router_fakes.start_router()
    router.engines["e1"] = _PacedEngine("e1")
    router.config.ws = attrs.evolve(
        router.config.ws, max_output_tokens=4096, max_concurrency=10_000
    )
    return router


async def _run_client(router: router_fakes.Router, **options: object):
    args = [
        f"--{name.replace('_', '-')}={value}" for name, value in options.items()
    ]
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.stream_client",
        str(router.api.port),
        router_fakes.ACCESS_KEY,
        *args,
        stdout=asyncio.subprocess.PIPE,
    )


async def _measure(**options: object) -> tuple[dict[str, int], float]:
    router = await _start_router()
    client = await _run_client(router, **options)
    cpu_s = time.process_time()
    out, _ = await client.communicate()
    cpu_s = time.process_time() - cpu_s
    await router.close()
    assert client.returncode == 0
    return json.loads(out), cpu_s


async def test_cpu_per_token_event(monkeypatch):
    """Guards the share of a core that 5,700 events/s take."""
    result, cpu_s = await _measure(streams=150, ramp_s=1.0)
    assert result["complete"] == 150
    assert result["events"] == 150 * 201
    per_event_s = cpu_s / result["events"]
    print(f"\ncpu per event: {per_event_s * 1e6:.1f} us")
    assert per_event_s < _MAX_CPU_S_PER_EVENT


async def test_cpu_per_request(monkeypatch):
    monkeypatch.setattr(_PacedEngine, "events", 1)
    monkeypatch.setattr(_PacedEngine, "gap_s", 0.0)
    result, cpu_s = await _measure(streams=500, ramp_s=1.0)
    assert result["complete"] == 500
    per_request_s = cpu_s / 500
    print(f"\ncpu per request: {per_request_s * 1e3:.2f} ms")
    assert per_request_s < _MAX_CPU_S_PER_REQUEST


async def test_memory_per_open_stream(monkeypatch):
    """Guards the node's memory with many slow streams open."""
    monkeypatch.setattr(_PacedEngine, "events", 3)
    monkeypatch.setattr(_PacedEngine, "gap_s", 1.0)
    streams = 400
    router = await _start_router()
    gc.collect()
    before = _resident_bytes()
    client = await _run_client(router, streams=streams)
    peak = before
    while client.returncode is None:
        peak = max(peak, _resident_bytes())
        try:
            await asyncio.wait_for(client.wait(), 0.2)
        except TimeoutError:
            continue
    await router.close()
    per_stream = (peak - before) / streams
    print(f"\nresident bytes per open stream: {per_stream:.0f}")
    assert per_stream < _MAX_BYTES_PER_STREAM


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()
