"""aiohttp client protocol that reports a connection reset as an error."""

import functools

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as connector_lib

from hibiscuspass.backends import sockets


class UpstreamProtocol(client_proto.ResponseHandler):
    """Raises an error for a body that ends with a connection reset.

    By default, aiohttp treats a body without a length as complete however the
    connection ends.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """See base class."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection reset: {exc}")
            )
        super().connection_lost(exc)


def make_connector(idle_s: float) -> aiohttp.TCPConnector:
    """Returns a connector without a limit on connections.

    Args:
      idle_s: Time after which an idle connection is closed, in seconds.
    """
    connector = connector_lib.TCPConnector(
        limit=0,
        keepalive_timeout=idle_s,
        use_dns_cache=False,
        socket_factory=sockets.make_socket,
    )
    # aiohttp has no public parameter for the protocol class.
    connector._factory = functools.partial(  # type: ignore[assignment]
        UpstreamProtocol, loop=connector._loop
    )
    return connector
