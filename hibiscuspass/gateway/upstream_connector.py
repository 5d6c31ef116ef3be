"""aiohttp connector whose time limit leaves out stalls of the event loop."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as connector_lib
import attrs

from hibiscuspass.backends import sockets
from hibiscuspass.gateway import upstream_protocol

_Connected = tuple[asyncio.Transport, client_proto.ResponseHandler]


class UpstreamConnector(connector_lib.TCPConnector):
    """Uses connections that the kernel set up while the event loop was stalled.

    By default, a connection fails if its time limit has passed when the event
    loop goes on, though the server has accepted it.
    """

    async def _wrap_create_connection(
        self, *args: Any, timeout: aiohttp.ClientTimeout, **kwargs: Any
    ) -> _Connected:
        """See base class; the limit is extended by the delay of its timer."""
        limit_s = timeout.sock_connect
        unlimited = attrs.evolve(timeout, sock_connect=None)
        connecting = asyncio.ensure_future(
            super()._wrap_create_connection(*args, timeout=unlimited, **kwargs)
        )
        try:
            due_s = self._loop.time() + (limit_s or 0.0)
            await asyncio.wait({connecting}, timeout=limit_s)
            if not connecting.done():
                delay_s = self._loop.time() - due_s
                await asyncio.wait({connecting}, timeout=max(0.0, delay_s))
        except asyncio.CancelledError:
            connecting.add_done_callback(_close)
            raise
        finally:
            connecting.cancel()
        if not connecting.done():
            raise TimeoutError
        return connecting.result()


def _close(connecting: asyncio.Future[_Connected]) -> None:
    """Closes a connection that nobody waits for."""
    if not connecting.cancelled() and connecting.exception() is None:
        transport, _ = connecting.result()
        transport.close()


def make_connector(idle_s: float) -> aiohttp.TCPConnector:
    """Returns a connector without a limit on connections.

    Args:
      idle_s: Time after which an idle connection is closed, in seconds.
    """
    connector = UpstreamConnector(
        limit=0,
        keepalive_timeout=idle_s,
        use_dns_cache=False,
        socket_factory=sockets.make_socket,
    )
    # aiohttp has no public parameter for the protocol class.
    connector._factory = functools.partial(  # type: ignore[assignment]
        upstream_protocol.UpstreamProtocol, loop=connector._loop
    )
    return connector
