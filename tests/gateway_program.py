"""Runs the gateway program without a store."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import sys

import yaml

from tests import free_ports

GRACE_S = 2.0


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Starts the program and waits for its first log line.

    Args:
      folder: Folder for the settings file.
    """
    path = folder / "gateway.yaml"
    listen = {
        name: f"127.0.0.1:{free_ports.free_port(adjacent=2)}"
        for name in ("callers", "ready", "metrics", "peers")
    }
    path.write_text(
        yaml.safe_dump(
            {
                "process": {"name": "router-1"},
                "listen": listen,
                "store": f"127.0.0.1:{free_ports.free_port()}",
                "grace_s": GRACE_S,
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hibiscuspass.gateway.main",
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "HIBISCUSPASS_CONFIG": str(path)},
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(20.0):
            while (
                json.loads(await process.stdout.readline())["event"]
                != "started"
            ):
                pass
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
