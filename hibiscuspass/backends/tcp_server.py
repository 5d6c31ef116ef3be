"""Servers that set up each accepted connection before they close.

`asyncio.Server.close` drops connections that were accepted in the same
iteration of the event loop. Nothing reads from them, and they stay open until
the garbage collector finds them.
"""

import asyncio

from aiohttp import web

# The event loop creates the transport of a connection in the iteration after
# the accept, and calls `connection_made` in the next one.
_SETUP_ITERATIONS = 2


async def stop_accepting(server: asyncio.Server) -> None:
    """Stops accepting; returns when accepted connections are set up."""
    loop = server.get_loop()
    for sock in server.sockets:
        loop.remove_reader(sock.fileno())
    for _ in range(_SETUP_ITERATIONS):
        await asyncio.sleep(0)


class TCPSite(web.TCPSite):
    """Site of aiohttp that sets up each accepted connection."""

    def set_backlog(self, backlog: int) -> None:
        """Sets how many connections may wait for the accept.

        The event loop accepts as many at once as the `backlog` with which the
        site was started, before it sets up any of them.
        """
        assert isinstance(self._server, asyncio.Server)
        for sock in self._server.sockets:
            # `asyncio.TransportSocket` has no `listen`.
            sock._sock.listen(backlog)  # type: ignore[attr-defined]

    async def stop(self) -> None:
        """See base class."""
        if isinstance(self._server, asyncio.Server):
            await stop_accepting(self._server)
        await super().stop()
