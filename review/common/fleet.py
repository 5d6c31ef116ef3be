"""Starts the gateways as the deploy file says, with rendered settings."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import tomllib

import attrs

ROOT = pathlib.Path(__file__).resolve().parents[2]
_PORTS_PER_GATEWAY = 6
_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 10.0
# The bounds of the deployment sheet.
_BOUNDS = {
    "contact_ms": 3000,
    "grace_s": 8,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
}


def _free_ports() -> int:
    """Returns the first of several free ports in a row.

    They lie below those that the system gives to outgoing connections.
    """
    rng = random.SystemRandom()
    for _ in range(200):
        base = rng.randrange(12_000, 32_000, _PORTS_PER_GATEWAY)
        with contextlib.ExitStack() as stack:
            try:
                for offset in range(_PORTS_PER_GATEWAY):
                    sock = stack.enter_context(socket.socket())
                    sock.bind(("127.0.0.1", base + offset))
            except OSError:
                continue
            return base
    raise RuntimeError("no free ports")


def _render(template: str, fields: dict[str, object]) -> str:
    def find(path: str) -> object:
        value: object = fields
        for name in path.split("."):
            if isinstance(value, dict):
                value = value.get(name, "")
            elif isinstance(value, list):
                value = value[int(name)]
        return value

    def replace_section(match: re.Match[str]) -> str:
        return match.group(2) if find(match.group(1)) else ""

    def replace(match: re.Match[str]) -> str:
        value = find(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return str(value)

    # Values that are absent in most deployments.
    template = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        replace_section,
        template,
        flags=re.DOTALL,
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


@attrs.define
class Gateway:
    """A gateway process.

    Attributes:
      name: Name of its machine.
      callers: Port for callers.
      ready: Port of the readiness check.
      settings: Path of its settings file.
      process: The running process; None before the first start.
      starts: Number of starts.
    """

    name: str
    callers: int
    ready: int
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.starts += 1
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.settings.with_suffix(f".{self.starts}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment
                | {
                    "HIBISCUSPASS_CONFIG": str(self.settings),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                },
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process with SIGTERM, then with SIGKILL."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def wait_until_ready(self) -> None:
        """Asks until the readiness check answers 200."""
        while not await self.is_ready():  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Returns whether the readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()


class Fleet:
    """All gateways of a small deployment.

    Attributes:
      gateways: The gateways.
    """

    def __init__(
        self,
        count: int,
        store_address: str,
        folder: pathlib.Path,
        zones: tuple[str, ...],
    ) -> None:
        template = (ROOT / "deploy/gateway.yaml.tmpl").read_text()
        self.gateways: list[Gateway] = []
        for number in range(count):
            base = _free_ports()
            name = f"edge-{number}"
            fields: dict[str, object] = {
                "node": name,
                "zone": zones[number % len(zones)],
                "ip": "127.0.0.1",
                "listen": {
                    "front": f"127.0.0.1:{base}",
                    "ready": f"127.0.0.1:{base + 1}",
                },
                "internal_ports": [base + 2, base + 5],
                "platform": {"address": store_address},
                "bounds": _BOUNDS,
                "limits": {"max_fds": 4100},
            }
            path = folder / f"{name}.yaml"
            path.write_text(_render(template, fields))
            self.gateways.append(Gateway(name, base, base + 1, path))

    async def start(self) -> None:
        """Starts all gateways; returns when all are ready.

        Raises:
          TimeoutError: A gateway did not become ready.
        """
        for gateway in self.gateways:
            await gateway.start()
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for gateway in self.gateways:
                await gateway.wait_until_ready()

    async def stop(self) -> None:
        """Ends all gateways."""
        await asyncio.gather(*(g.stop() for g in self.gateways))
