"""Gateway processes, their surroundings and the faults of the soak."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys

from aiohttp import web
import attrs
import yaml

from standins import metadata_store
from tests import gateway_system
from tests.soak import backend as backend_lib
from tests.soak import proxy as proxy_lib

WORKSPACES = ("press", "desk")
_KILL_AFTER_S = 10.0


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    """Serves an application on loopback; returns it and its address."""
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


@attrs.define
class Gateway:
    """One gateway over its starts.

    Attributes:
      name: Name of the router.
      settings: Path of its settings.
      url: Base address for callers.
      store: Its connections to the store.
      process: Present process; None while it is stopped.
    """

    name: str
    settings: pathlib.Path
    url: str
    store: proxy_lib.Proxy
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    _starting: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def start(self) -> None:
        """Starts the program unless it runs."""
        # Faults overlap; a second start would lose sight of the first process.
        async with self._starting:
            if self.process is None or self.process.returncode is not None:
                await self._start()

    async def _start(self) -> None:
        self.starts += 1
        log = self.settings.with_suffix(f".{self.starts}.log")
        with log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hibiscuspass.gateway.main",
                stdout=output,
                stderr=output,
                env={**os.environ, "HIBISCUSPASS_CONFIG": str(self.settings)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Signals the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self) -> None:
        """Waits for the end of the process; kills it if it hangs."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(_KILL_AFTER_S):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class System:
    """Store, backend servers, gateways and their proxies.

    Attributes:
      store: State of the store.
      truth: What the backend servers did.
      gateways: Gateways.
      backends: Connections to the backend servers.
      prepaid: Largest prepaid amount so far, of each workspace.
    """

    def __init__(
        self, folder: pathlib.Path, rng: random.Random, prepaid: int
    ) -> None:
        self.store = metadata_store.MetadataStore(rng)
        self.truth = backend_lib.Truth()
        self.gateways: list[Gateway] = []
        self.backends: list[proxy_lib.Proxy] = []
        self.prepaid = prepaid
        self._folder = folder
        self._rng = rng
        self._version = 0
        self._runners: list[web.AppRunner] = []

    async def start(self, gateways: int, backends: int) -> None:
        """Starts everything."""
        self.configure(self.prepaid)
        for number in range(backends):
            await self._start_backend(f"server-{number}")
        runner, address = await serve(self.store.app())
        self._runners.append(runner)
        for number in range(gateways):
            await self._start_gateway(f"router-{number}", address)

    def configure(self, prepaid: int) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        self.prepaid = max(prepaid, self.prepaid)
        data = json.loads(gateway_system.config(prepaid, self._version))
        data["tenants"] = [
            {"name": name, "api_keys": [f"key-{name}"], "prepaid": prepaid}
            for name in WORKSPACES
        ]
        self.store.put("op/config", json.dumps(data).encode())

    def announce(self, number: int, state: str) -> None:
        """Writes the entries of a backend server."""
        for service in ("llm", "app"):
            entry = {
                "service": service,
                "address": self.backends[number].address,
                "state": state,
                "slots": 8,
            }
            # Each service knows the server under the same id.
            key = f"servers/{service}-server-{number}"
            self.store.put(key, json.dumps(entry).encode())

    async def close(self) -> None:
        """Ends the processes that were started, then everything else."""
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            gateway.send_signal(signal.SIGTERM)
        await asyncio.gather(*(g.wait() for g in self.gateways))
        for proxy in (*self.backends, *(g.store for g in self.gateways)):
            await proxy.close()
        for runner in self._runners:
            await runner.cleanup()

    async def _start_backend(self, name: str) -> None:
        server = backend_lib.Backend(name, self.truth, self._rng)
        runner, address = await serve(server.app())
        self._runners.append(runner)
        proxy = proxy_lib.Proxy(address, self._rng)
        await proxy.start()
        self.backends.append(proxy)
        self.announce(len(self.backends) - 1, "ready")

    async def _start_gateway(self, name: str, store: str) -> None:
        proxy = proxy_lib.Proxy(store, self._rng)
        await proxy.start()
        callers = gateway_system.free_address_pair()
        settings = {
            "process": {"name": name},
            "listen": {
                "callers": callers,
                "ready": gateway_system.free_address_pair(),
                "metrics": gateway_system.free_address_pair(),
                "peers": gateway_system.free_address_pair(),
            },
            "store": proxy.address,
            "grace_s": 4.0,
        }
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        gateway = Gateway(name, path, f"http://{callers}", proxy)
        self.gateways.append(gateway)
        await gateway.start()
