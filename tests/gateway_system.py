"""Runs a complete gateway inside the test, with scripted backend servers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
from typing import Any

import aiohttp
import attrs
import yarl

from hibiscuspass.core.forwarding import stop_schedule
from hibiscuspass.gateway import process as process_lib
from hibiscuspass.gateway import start_time
from hibiscuspass.platform import operator_config
from hibiscuspass.settings import gateway as settings_lib
from tests import free_ports
from tests import memory_store
from tests import scripted_backend

HOST = "press.example"
KEY = "key-1"
_MAX_TRIES = 2000
_POLL_INTERVAL_S = 0.01


def _free_address() -> str:
    return f"127.0.0.1:{free_ports.free_port()}"


def free_address_pair() -> str:
    """Returns an address whose next port is free too."""
    return f"127.0.0.1:{free_ports.free_port(adjacent=2)}"


def _route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 8000,
        "service": service,
        "max_attempts": 2,
        **more,
    }


def config(prepaid: int, version: int = 1, **route: Any) -> bytes:
    """Returns a configuration with a route of each kind.

    Args:
      prepaid: Prepaid amount of the workspace in tokens.
      version: Version of the configuration.
      **route: More fields of all routes.
    """
    data = {
        "version": version,
        "routes": [
            _route("draft", "streaming", "llm", **route),
            _route("ask", "streaming", "llm", stream_resume=True, **route),
            _route("order", "non_idempotent", "app", **route),
            _route("status", "idempotent", "app", **route),
        ],
        "services": [
            {
                "name": "llm",
                "engine": {"slots": 8, "kv_capacity": 9000, "stride": 5},
            },
            {"name": "app"},
        ],
        "tenants": [{"name": "press", "api_keys": [KEY], "prepaid": prepaid}],
    }
    return json.dumps(data).encode()


@attrs.define
class System:
    """A running gateway with its store, backend servers and a client.

    Attributes:
      gateway: The gateway process.
      store: Store that the gateway uses.
      url: Base URL for callers.
      ready_url: URL of the readiness check.
      backends: Backend servers; each one serves both services.
      session: HTTP client of the callers.
      cfg: Settings of the gateway.
    """

    gateway: process_lib.GatewayProcess
    store: memory_store.MemoryStore
    url: str
    ready_url: str
    backends: list[scripted_backend.ScriptedBackend]
    session: aiohttp.ClientSession
    cfg: settings_lib.GatewaySettings

    async def send(
        self,
        path: str,
        *,
        method: str = "GET",
        key: str = KEY,
        tokens: str = "100,50",
        **headers: str,
    ) -> aiohttp.ClientResponse:
        """Sends a caller's request; does not read the body of the answer."""
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        return await self.session.request(
            method,
            yarl.URL(self.url + path, encoded=True),
            headers={
                "Host": HOST,
                "X-Attempt-Id": "a1",
                "Authorization": f"Bearer {key}",
                "X-Token-Counts": tokens,
                "X-Deadline-Ms": "1500",
                **names,
            },
        )

    def move_backend(self, number: int, address: str) -> None:
        """Lists a backend server under another address."""
        for service in ("llm", "app"):
            key = f"servers/{service}-{self.cfg.process.name}-{number}"
            entry = json.loads(self.store.items[key].value)
            entry["address"] = address
            self.store.apply({}, {key: json.dumps(entry).encode()})

    async def crash(self) -> None:
        """Ends the gateway without returning its tokens."""
        gateway = self.gateway
        await gateway.tasks.cancel()
        await gateway._listener.close()
        assert gateway._transport
        assert gateway._pubsub
        await gateway._transport.close()
        await gateway._pubsub.close()
        # Makes `GatewayProcess.stop` return at once.
        gateway._limits.stop = stop_schedule.make_stop_schedule(0.0, 1.0)

    async def wait_until_ready(self) -> None:
        """Returns when the gateway is ready for requests."""
        await self._wait_for(self._is_ready)

    async def wait_until(self, is_true: Callable[[], bool]) -> None:
        """Returns when a condition holds."""

        async def holds() -> bool:
            return is_true()

        await self._wait_for(holds)

    async def wait_until_drawn(self) -> None:
        """Returns when a router has drawn tokens of workspace `press`."""

        async def has_drawn() -> bool:
            return "prepaid/press" in self.store.items

        await self._wait_for(has_drawn)

    async def _is_ready(self) -> bool:
        async with self.session.get(self.ready_url) as resp:
            return resp.status == 200

    async def _wait_for(self, is_done: Callable[[], Awaitable[bool]]) -> None:
        for _ in range(_MAX_TRIES):
            if await is_done():
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"not done after {_MAX_TRIES} tries")

    @property
    def request_heads(self) -> list[bytes]:
        """Heads of all requests that reached backend servers."""
        return [head for r in self.backends for head in r.requests]


@contextlib.asynccontextmanager
async def running(
    *,
    backends: int = 1,
    prepaid: int = 10_000,
    with_config: bool = True,
    store: memory_store.MemoryStore | None = None,
    name: str = "router-1",
    grace_s: float = 1.5,
) -> AsyncIterator[System]:
    """Runs a gateway; waits until it is ready if it has a configuration.

    A store that is passed in keeps its configuration.
    """
    store_is_new = store is None
    store = store or memory_store.MemoryStore()
    if with_config and store_is_new:
        store.apply({}, {operator_config.KEY: config(prepaid)})
    async with contextlib.AsyncExitStack() as stack:
        servers = [
            await stack.enter_async_context(scripted_backend.running())
            for _ in range(backends)
        ]
        for number, server in enumerate(servers):
            for service in ("llm", "app"):
                entry = {
                    "service": service,
                    "address": server.address,
                    "state": "ready",
                    "slots": 4,
                }
                key = f"servers/{service}-{name}-{number}"
                store.apply({}, {key: json.dumps(entry).encode()})
        listen = settings_lib.GatewayListen(
            *(_free_address() for _ in range(3)), free_address_pair()
        )
        cfg = settings_lib.GatewaySettings(
            process=settings_lib.GatewayProcess(name),
            listen=listen,
            store="127.0.0.1:1",  # Not used; the process gets `store`.
            grace_s=grace_s,
        )
        gateway = process_lib.GatewayProcess(cfg, store, start_time.now())
        await gateway.start()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        system = System(
            gateway,
            store,
            f"http://{listen.callers}",
            f"http://{listen.ready}/v1/ready",
            servers,
            session,
            cfg,
        )
        if with_config:
            await system.wait_until_ready()
        try:
            yield system
        finally:
            await gateway.stop()
