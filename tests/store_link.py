"""Runs a follower of the configuration behind a link with faults."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import itertools
import json
import random
import time

import attrs

from hibiscuspass.gateway import config_follower
from hibiscuspass.gateway import follower as follower_lib
from hibiscuspass.gateway import store_probe
from hibiscuspass.platform import operator_config
from hibiscuspass.platform import store as store_lib
from standins import metadata_store
from tests.soak import proxy as proxy_lib
from tests.soak import system as soak_system

# Bandwidth of a slow link.
BYTES_PER_S = 625_000
# Address of the peer that announces changes.
PEER = "127.0.0.1:1"
_CHECK_INTERVAL_S = 0.1


class _NoPeers(follower_lib.Peers):
    def announce(self, prefix: str, revision: int) -> None:
        pass


def make_config(version: int, transfer_s: float) -> bytes:
    """Returns a configuration that the link transfers in a given time."""
    routes = (
        {
            "name": f"r{n:06}",
            "host": "press.example",
            "path_prefix": f"/r{n:06}/",
            "kind": "idempotent",
            "timeout_ms": 800,
            "service": "app",
        }
        for n in itertools.count()
    )
    # Values are sent in base64, which takes four bytes for three.
    size = transfer_s * BYTES_PER_S * 3 / 4
    route_bytes = len(json.dumps(next(routes))) + 2
    data = {
        "version": version,
        "routes": list(itertools.islice(routes, int(size / route_bytes))),
        "services": [{"name": "app"}],
    }
    return json.dumps(data).encode()


@attrs.define
class StoreLink:
    """A follower of the configuration behind a link.

    Attributes:
      stand_in: The store.
      proxy: The link.
      client: Client of the store.
      follower: Follows the configuration.
      config: Keeps the configuration.
      adopted: Versions that came in force.
    """

    stand_in: metadata_store.MetadataStore
    proxy: proxy_lib.Proxy
    client: store_lib.StoreClient
    follower: follower_lib.Follower
    config: config_follower.ConfigFollower
    adopted: asyncio.Queue[int]

    def put(
        self, version: int, transfer_s: float, *, is_announced: bool = True
    ) -> None:
        """Writes a version.

        Args:
          version: Version of the configuration.
          transfer_s: Time that the slow link needs for it, in seconds.
          is_announced: Whether a router with a fast link reads it at once.
        """
        self.put_value(make_config(version, transfer_s))
        if is_announced:
            self.follower.on_announced(self.stand_in.revision, "127.0.0.1:1")

    def put_value(self, value: bytes) -> None:
        """Writes a configuration that no router has read yet."""
        self.stand_in.put(operator_config.KEY, value)

    async def time_until(self, version: int) -> float:
        """Returns the seconds until a version is in force."""
        started_s = time.monotonic()
        while await self.adopted.get() < version:
            pass
        return time.monotonic() - started_s


@contextlib.asynccontextmanager
async def running(
    contact_s: float, bytes_per_s: float | None = None
) -> AsyncIterator[StoreLink]:
    """Runs a store, a link to it, and a follower of the configuration.

    Args:
      contact_s: Contact time of the follower in seconds.
      bytes_per_s: Bandwidth of the link; None for no limit.
    """
    stand_in = metadata_store.MetadataStore(random.Random(1))
    stand_in.put(operator_config.KEY, make_config(1, 0.01))
    runner, address = await soak_system.serve(stand_in.app())
    proxy = proxy_lib.Proxy(address, random.Random(1))
    await proxy.start()
    proxy.bytes_per_s = bytes_per_s
    store = store_lib.make_store(proxy.address)
    adopted: asyncio.Queue[int] = asyncio.Queue()
    config = config_follower.ConfigFollower(
        operator_config.KEY,
        operator_config.decode,
        lambda table: adopted.put_nowait(table.version),
    )
    follower = follower_lib.Follower(
        store,
        operator_config.PREFIX,
        config,
        _NoPeers(),
        store_probe.StoreProbe(store),
        contact_s=contact_s,
    )

    async def check() -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            follower.check()

    tasks = [asyncio.create_task(w) for w in (follower.run(), check())]
    link = StoreLink(stand_in, proxy, store, follower, config, adopted)
    try:
        await link.time_until(1)
        yield link
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await store.close()
        await proxy.close()
        await runner.cleanup()
