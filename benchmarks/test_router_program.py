"""Bounds the CPU time and memory of the router program.

Two routers, the engine, the key-value service, the VM list and the callers run
as separate processes. The figures are those of the router that serves the
callers, with budgets, routing and membership enabled.
"""

import asyncio
import json
import os
import pathlib
import sys

import aiohttp

from tests import process_fleet

_MAX_CPU_S_PER_EVENT = 90e-6
_MAX_IDLE_CORE_SHARE = 0.016
_MAX_IDLE_BYTES = 128 * 1024 * 1024
# 390 nodes share about 2,000 calls/s to the key-value service.
_MAX_IDLE_KV_CALLS_PER_S = 5.0
# 4,800 requests/s share the several hundred remaining writes/s.
_MAX_KV_CALLS_PER_REQUEST = 0.1
_KV_CALLS = "hibiscuspass_kv_calls_total"
_STREAMS = 150
_IDLE_S = 10.0


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> int:
    statm = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def _kv_calls(
    session: aiohttp.ClientSession, router: process_fleet.Program
) -> float:
    async with session.get(f"{router.url}/metrics") as resp:
        lines = (await resp.text()).splitlines()
    return sum(
        float(line.rpartition(" ")[2])
        for line in lines
        if line.startswith(_KV_CALLS)
    )


async def _run_callers(fleet: process_fleet.Fleet, port: int) -> dict[str, int]:
    callers = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.stream_client",
        str(port),
        fleet.access_key,
        f"--streams={_STREAMS}",
        "--ramp-s=2",
        f"--model={process_fleet.MODEL}",
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await callers.communicate()
    result: dict[str, int] = json.loads(out)
    return result


async def test_cost_of_the_program(tmp_path):
    """Guards against excessive use of CPU, memory and key-value calls.

    The router is measured while idle and at 5,500 events/s.
    """
    async with aiohttp.ClientSession() as session:
        fleet = process_fleet.Fleet(tmp_path, session)
        try:
            await fleet.start_platform()
            await fleet.start_engine(
                "e1",
                "--max-batch=2000",
                "--token-interval-s=0.027",
                "--output-tokens=400",
            )
            router, _ = await asyncio.gather(
                *(
                    # The streams exceed the default limit per engine.
                    fleet.start_router(r, admission={"max_per_backend": 1000})
                    for r in ("r1", "r2")
                )
            )
            pid = router.process.pid
            start_s = _cpu_s(pid)
            idle_calls = -await _kv_calls(session, router)
            await asyncio.sleep(_IDLE_S)
            idle_calls += await _kv_calls(session, router)
            idle_share = (_cpu_s(pid) - start_s) / _IDLE_S
            idle_bytes = _resident_bytes(pid)
            start_s = _cpu_s(pid)
            calls = -await _kv_calls(session, router)
            result = await _run_callers(fleet, router.port)
            per_event_s = (_cpu_s(pid) - start_s) / result["events"]
            calls += await _kv_calls(session, router)
        finally:
            await fleet.stop()
    print(
        f"\nidle: {idle_share:.2%} of a core, {idle_bytes / 2**20:.0f} MiB;"
        f" {per_event_s * 1e6:.1f} us per event;"
        f" key-value calls: {idle_calls / _IDLE_S:.2f} per idle second,"
        f" {calls / _STREAMS:.3f} per request"
    )
    assert result["complete"] == _STREAMS, result
    assert per_event_s < _MAX_CPU_S_PER_EVENT
    assert idle_share < _MAX_IDLE_CORE_SHARE
    assert idle_bytes < _MAX_IDLE_BYTES
    assert idle_calls / _IDLE_S < _MAX_IDLE_KV_CALLS_PER_S
    assert calls / _STREAMS < _MAX_KV_CALLS_PER_REQUEST
