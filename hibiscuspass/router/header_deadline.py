"""Closes connections whose request headers arrive too slowly."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HeaderDeadlineProtocol(web.RequestHandler):
    """A connection that is closed when request headers arrive too slowly.

    The time limit starts with the first byte that arrives outside a request.
    aiohttp itself only has the keep-alive timeout, which closes connections on
    which no byte arrives and must be longer than that of the load balancer in
    front of the routers. The application must include `middleware`.
    """

    def __init__(
        self, server: web.Server, limit_s: float, **kwargs: Any
    ) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), **kwargs)
        self._limit_s = limit_s
        self._deadline: asyncio.TimerHandle | None = None
        self._in_request = False

    def data_received(self, data: bytes) -> None:
        """Starts the timer with the first byte of a request."""
        if self._deadline is None and not self._in_request:
            self._arm()
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops the timer."""
        self._disarm()
        super().connection_lost(exc)

    def begin_request(self) -> None:
        """Stops the timer, since the headers are complete."""
        self._in_request = True
        self._disarm()

    def end_request(self) -> None:
        """Allows the next byte to start the timer again."""
        self._in_request = False

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._deadline = loop.call_later(self._limit_s, self.force_close)

    def _disarm(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None


@web.middleware
async def middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Notifies the connection when a request begins and ends."""
    conn = request.protocol
    if not isinstance(conn, HeaderDeadlineProtocol):
        return await handler(request)
    conn.begin_request()
    try:
        return await handler(request)
    finally:
        conn.end_request()
