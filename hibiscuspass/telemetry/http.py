"""Metrics and health probes over HTTP."""

from collections.abc import Callable

from aiohttp import web
import prometheus_client

from hibiscuspass.backends import tcp_server
from hibiscuspass.settings import listen as listen_lib
from hibiscuspass.settings import tls


def add_routes(
    app: web.Application,
    is_ready: Callable[[], bool],
    registry: prometheus_client.CollectorRegistry = prometheus_client.REGISTRY,
) -> None:
    """Adds `/metrics`, `/healthz` and `/readyz` to an application."""

    async def metrics(_: web.Request) -> web.Response:
        body = prometheus_client.generate_latest(registry)
        return web.Response(
            body=body,
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )

    async def healthz(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(_: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    app.add_routes(
        [
            web.get("/metrics", metrics),
            web.get("/healthz", healthz),
            web.get("/readyz", readyz),
        ]
    )


def make_app(
    is_ready: Callable[[], bool],
    registry: prometheus_client.CollectorRegistry = prometheus_client.REGISTRY,
) -> web.Application:
    """Returns an application that serves only metrics and probes."""
    app = web.Application()
    add_routes(app, is_ready, registry)
    return app


async def serve(
    app: web.Application, listen: listen_lib.ListenSettings
) -> web.AppRunner:
    """Starts an HTTP server; the caller stops it with `runner.cleanup()`.

    Raises:
      OSError: The port cannot be bound or a TLS file cannot be read.
    """
    # The access log is disabled because it would contain request headers
    # and paths.
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = tcp_server.TCPSite(
        runner,
        listen.host,
        listen.port,
        ssl_context=tls.make_server_context(listen.tls),
    )
    await site.start()
    return runner
