"""Runs the project's stand-in of the platform's metadata store."""

import random

from aiohttp import web

from standins import metadata_store


class Store:
    """The store, served on loopback.

    Attributes:
      state: Contents of the store.
      address: `host:port`.
    """

    def __init__(self, seed: int) -> None:
        self.state = metadata_store.MetadataStore(random.Random(seed))
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._runner = web.AppRunner(self.state.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    def remove(self, key: str) -> None:
        """Removes a key, as the platform does with entries that lapse."""
        if key in self.state.items:
            self.state._apply({}, {}, [key])

    async def close(self) -> None:
        """Stops listening."""
        if self._runner:
            await self._runner.cleanup()
