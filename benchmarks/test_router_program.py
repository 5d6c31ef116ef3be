"""Bounds the CPU time and memory of the whole router program.

Two routers, the engine, the key-value service, the VM list and the callers are
processes of their own; the figures are those of the router that the callers
use, with budgets, routing and membership.
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
_STREAMS = 150
_IDLE_S = 10.0


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> int:
    statm = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")


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
    """Guards a node's core and memory at 5,500 events/s and when idle."""
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
                    # More streams than the usual limit of one engine.
                    fleet.start_router(r, admission={"max_per_backend": 1000})
                    for r in ("r1", "r2")
                )
            )
            pid = router.process.pid
            start_s = _cpu_s(pid)
            await asyncio.sleep(_IDLE_S)
            idle_share = (_cpu_s(pid) - start_s) / _IDLE_S
            idle_bytes = _resident_bytes(pid)
            start_s = _cpu_s(pid)
            result = await _run_callers(fleet, router.port)
            per_event_s = (_cpu_s(pid) - start_s) / result["events"]
        finally:
            await fleet.stop()
    print(
        f"\nidle: {idle_share:.2%} of a core, {idle_bytes / 2**20:.0f} MiB;"
        f" {per_event_s * 1e6:.1f} us per event"
    )
    assert result["complete"] == _STREAMS, result
    assert per_event_s < _MAX_CPU_S_PER_EVENT
    assert idle_share < _MAX_IDLE_CORE_SHARE
    assert idle_bytes < _MAX_IDLE_BYTES
