"""Bounds the router's CPU time per token event and per request.

The target is 5,700 token events/s and 13 requests/s on one node. The engine
test server and the callers run as separate processes. Budgets, routing and
admission are fakes.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import gc
import json
import resource
import socket
import sys
import time

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.backends import openai_engine
from tests import router_fakes

_MAX_CPU_S_PER_EVENT = 90e-6
_MAX_CPU_S_PER_REQUEST = 3e-3
_MAX_BYTES_PER_STREAM = 64 * 1024
_READINESS_TRIES = 200


@contextlib.asynccontextmanager
async def _engine(
    *, gap_s: float, tokens: int
) -> AsyncIterator[openai_engine.OpenAiEngine]:
    """Runs an engine test server as a process and returns its client."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.engine",
        f"--port={port}",
        "--models=m",
        "--max-batch=2000",
        "--max-queue=2000",
        f"--token-interval-s={gap_s}",
        f"--output-tokens={tokens}",
    )
    client = openai_engine.make_openai_engine("e1", f"127.0.0.1:{port}")
    try:
        for _ in range(_READINESS_TRIES):
            report = await client.load_report(timeout_s=1.0)
            if isinstance(report, engine.LoadReport):
                break
            await asyncio.sleep(0.05)
        yield client
    finally:
        await client.close()
        process.terminate()
        await process.wait()


async def _start_router(client: engine.Engine) -> router_fakes.Router:
    router = await router_fakes.start_router()
    router.engines["e1"] = client
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


async def _measure(
    gap_s: float, tokens: int, **options: object
) -> tuple[dict[str, int], float]:
    async with _engine(gap_s=gap_s, tokens=tokens) as client:
        router = await _start_router(client)
        callers = await _run_client(router, **options)
        cpu_s = time.process_time()
        out, _ = await callers.communicate()
        cpu_s = time.process_time() - cpu_s
        await router.close()
    assert callers.returncode == 0
    return json.loads(out), cpu_s


async def test_cpu_per_token_event():
    """Guards against using too much of a core at 5,700 events/s."""
    result, cpu_s = await _measure(0.027, 200, streams=150, ramp_s=1.0)
    assert result["complete"] == 150
    assert result["events"] >= 150 * 200
    per_event_s = cpu_s / result["events"]
    print(f"\ncpu per event: {per_event_s * 1e6:.1f} us")
    assert per_event_s < _MAX_CPU_S_PER_EVENT


async def test_cpu_per_request():
    result, cpu_s = await _measure(0.0, 1, streams=500, ramp_s=2.0)
    assert result["complete"] == 500
    per_request_s = cpu_s / 500
    print(f"\ncpu per request: {per_request_s * 1e3:.2f} ms")
    assert per_request_s < _MAX_CPU_S_PER_REQUEST


async def test_memory_per_open_stream():
    """Guards against using too much memory with many slow open streams."""
    streams = 400
    async with _engine(gap_s=1.0, tokens=3) as client:
        router = await _start_router(client)
        gc.collect()
        peak = before = _resident_bytes()
        callers = await _run_client(router, streams=streams)
        while callers.returncode is None:
            peak = max(peak, _resident_bytes())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(callers.wait(), 0.2)
        await router.close()
    per_stream = (peak - before) / streams
    print(f"\nresident bytes per open stream: {per_stream:.0f}")
    assert per_stream < _MAX_BYTES_PER_STREAM


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()
