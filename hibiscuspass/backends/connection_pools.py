"""HTTP connections that are replaced after a call without a reply."""

from collections.abc import AsyncIterator
import contextlib

import aiohttp
import attrs

from hibiscuspass.backends import sockets


@attrs.define(eq=False)
class Pool:
    """Connections that calls share.

    Attributes:
      session: Client with the connections.
      calls: Number of calls in progress.
    """

    session: aiohttp.ClientSession
    calls: int = 0


class ConnectionPools:
    """The pool for new calls, and earlier ones until their calls have ended."""

    def __init__(self) -> None:
        self._pool = _make_pool()
        self._retired: set[Pool] = set()

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[Pool]:
        """Returns the pool for one call, which ends with the context."""
        pool = self._pool
        pool.calls += 1
        try:
            yield pool
        finally:
            pool.calls -= 1
            if pool in self._retired and not pool.calls:
                self._retired.discard(pool)
                await pool.session.close()

    def retire(self, pool: Pool) -> None:
        """Makes later calls use new connections.

        If one connection has gone silent, the idle ones may have too. Each of
        them would cost another time limit.
        """
        if pool is self._pool:
            self._pool = _make_pool()
            self._retired.add(pool)

    async def close(self) -> None:
        """Closes all connections."""
        for pool in (self._pool, *self._retired):
            await pool.session.close()


def _make_pool() -> Pool:
    return Pool(
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, socket_factory=sockets.make_socket
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
    )
