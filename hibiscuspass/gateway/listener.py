"""Listening sockets of the gateway."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
import prometheus_client

from hibiscuspass.backends import tcp_server
from hibiscuspass.gateway import caller_connections
from hibiscuspass.settings import gateway as settings_lib

# Callers keep connections open for a long time. If aiohttp closed an idle one
# first, a request sent at that moment would be lost.
_KEEPALIVE_S = 600.0
# The limits of the configuration apply to smaller heads and give a refusal.
_MAX_LINE_BYTES = 64 * 1024
_BACKLOG = 512

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listener:
    """Serves callers, the load balancer's readiness checks, and metrics."""

    def __init__(
        self,
        handler: Handler,
        is_ready: Callable[[], bool],
        registry: prometheus_client.CollectorRegistry,
        callers: caller_connections.CallerConnections,
    ) -> None:
        self._handler = handler
        self._is_ready = is_ready
        self._registry = registry
        self._callers = callers
        self._runners: list[web.ServerRunner] = []

    async def start(self, cfg: settings_lib.GatewayListen) -> None:
        """Starts to listen on all addresses.

        Raises:
          OSError: An address can't be bound.
        """
        callers = caller_connections.CallerServer(
            self._handler,
            self._callers,
            keepalive_timeout=_KEEPALIVE_S,
            access_log=None,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
            auto_decompress=False,
        )
        await self._listen(callers, cfg.callers, self._callers.accepts)
        await self._listen(
            web.Server(self._on_ready, access_log=None), cfg.ready
        )
        await self._listen(
            web.Server(self._on_metrics, access_log=None), cfg.metrics
        )

    async def close(self) -> None:
        """Closes all connections."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(
        self, server: web.Server, address: str, accepts: int = _BACKLOG
    ) -> None:
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        host, _, port = address.rpartition(":")
        site = tcp_server.TCPSite(runner, host, int(port), backlog=accepts)
        await site.start()
        site.set_backlog(_BACKLOG)
        self._runners.append(runner)

    async def _on_ready(self, _: web.BaseRequest) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _on_metrics(self, _: web.BaseRequest) -> web.Response:
        body = prometheus_client.generate_latest(self._registry)
        return web.Response(
            body=body,
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )
