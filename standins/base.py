"""Base class of the test servers: listener, fault injection and records."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

from aiohttp import web
from aiohttp import web_protocol
import attrs
import msgspec

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Handlers that a fault blocks are cancelled after this time; aiohttp takes zero
# as no limit.
_SHUTDOWN_S = 0.01
_CONTROL_PATHS = frozenset({"/faults", "/record"})


@attrs.define
class Faults:
    """Active faults; each subclass adds the faults of one system.

    Attributes:
      delay_s: Delay before each request is handled.
      outage: `refuse` closes the listener and all connections, `hang` accepts
        requests and never answers.
      lose_replies: Number of further requests that take effect but whose reply
        is lost.
      lost_reply: `close` aborts the connection, `hang` keeps it open.
      lose_path: Prefix of the paths whose replies are lost; empty for all.
      frozen: No request is handled and no stream continues until this is
        reset.
    """

    delay_s: float = 0.0
    outage: str = ""
    lose_replies: int = 0
    lost_reply: str = "close"
    lose_path: str = ""
    frozen: bool = False


class LostReplyError(Exception):
    """Raised to drop the reply of the current request."""


class StandIn:
    """Test server whose faults are switched on and off at run time.

    `POST /faults` takes a JSON object with fault fields, and with one-time
    actions set to true. `GET /faults` returns the fields. `GET /record` returns
    the requests that the server handled. On the control port these paths work
    during every fault; on the main port they fail only while the outage is
    `refuse`.
    """

    faults_type: type[Faults] = Faults
    # One-time faults: names of methods without parameters.
    actions: tuple[str, ...] = ("silence_open_connections",)

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int | None = None,
    ) -> None:
        self.faults: Any = self.faults_type()
        self._host = host
        self._port = port
        self._control_port = control_port
        self._runner: web.AppRunner | None = None
        self._control: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._silenced: set[web_protocol.RequestHandler] = set()
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()

    @property
    def address(self) -> str:
        """`host:port` of the server."""
        return f"{self._host}:{self._port}"

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the simulated protocol."""
        raise NotImplementedError

    def record(self) -> Any:
        """Returns the reply to `GET /record`."""
        raise NotImplementedError

    async def start(self) -> None:
        """Starts the server; `address` then contains the actual port."""
        app = web.Application(
            middlewares=[self._middleware], client_max_size=64 * 1024 * 1024
        )
        app.add_routes([*self.routes(), *self._control_routes()])
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_S
        )
        await self._runner.setup()
        await self._listen()
        if self._control_port is not None:
            control = web.Application()
            control.add_routes(self._control_routes())
            self._control = web.AppRunner(
                control, access_log=None, shutdown_timeout=_SHUTDOWN_S
            )
            await self._control.setup()
            await web.TCPSite(
                self._control, self._host, self._control_port
            ).start()

    async def stop(self) -> None:
        """Closes all connections and the listener."""
        self._unfrozen.set()
        self._abort_connections()
        for runner in (self._runner, self._control):
            if runner:
                await runner.cleanup()

    async def inject(self, **changes: Any) -> None:
        """Sets fault fields and triggers one-time faults.

        Raises:
          ValueError: A name is neither a fault field nor an action.
        """
        fields = attrs.fields_dict(self.faults_type)
        for name, value in changes.items():
            if name in self.actions:
                if value:
                    getattr(self, name)()
            elif name in fields:
                setattr(self.faults, name, value)
            else:
                allowed = ", ".join((*fields, *self.actions))
                raise ValueError(f"fault {name!r}: expected one of {allowed}")
        await self._apply_faults()

    def silence_open_connections(self) -> None:
        """Makes the currently open connections send nothing more."""
        for protocol in self._protocols():
            self._silenced.add(protocol)

    async def wait_while_blocked(self, request: web.Request) -> None:
        """Waits while a fault blocks this connection or the whole server."""
        if request.protocol in self._silenced:
            await asyncio.Event().wait()
        await self._unfrozen.wait()

    async def maybe_lose_reply(self, request: web.Request) -> None:
        """Drops the reply of a request that took effect, if a fault says so.

        Handlers call this after the request took effect and before they reply.

        Raises:
          LostReplyError: The reply is dropped and the connection closed.
        """
        faults = self.faults
        if faults.lose_replies <= 0 or not request.path.startswith(
            faults.lose_path
        ):
            return
        faults.lose_replies -= 1
        if faults.lost_reply == "hang":
            self._silenced.add(request.protocol)
            await asyncio.Event().wait()
        raise LostReplyError

    def abort_connection(self, request: web.Request) -> None:
        """Closes the connection of a request without sending anything more."""
        if request.transport:
            request.transport.abort()

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if request.path in _CONTROL_PATHS:
            return await handler(request)
        await self.wait_while_blocked(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage == "hang":
            await asyncio.Event().wait()
        try:
            response = await handler(request)
            if not response.prepared:
                await self.maybe_lose_reply(request)
                await self.wait_while_blocked(request)
            return response
        except LostReplyError:
            self.abort_connection(request)
            return web.Response(status=500)

    def _control_routes(self) -> list[web.RouteDef]:
        return [
            web.get("/faults", self._get_faults),
            web.post("/faults", self._post_faults),
            web.get("/record", self._get_record),
        ]

    async def _get_faults(self, request: web.Request) -> web.Response:
        del request
        return json_response(attrs.asdict(self.faults))

    async def _post_faults(self, request: web.Request) -> web.Response:
        changes = msgspec.json.decode(await request.read(), type=dict[str, Any])
        try:
            await self.inject(**changes)
        except ValueError as exc:
            return json_response({"error": str(exc)}, status=400)
        return json_response(attrs.asdict(self.faults))

    async def _get_record(self, request: web.Request) -> web.Response:
        del request
        return json_response(self.record())

    async def _apply_faults(self) -> None:
        if self.faults.frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()
        if self.faults.outage == "refuse" and self._site:
            site, self._site = self._site, None
            await site.stop()
            self._abort_connections()
        elif self.faults.outage != "refuse" and self._runner:
            await self._listen()

    async def _listen(self) -> None:
        if self._site or not self._runner:
            return
        self._site = web.TCPSite(self._runner, self._host, self._port)
        await self._site.start()
        self._port = self._runner.addresses[-1][1]

    def _protocols(self) -> list[web_protocol.RequestHandler]:
        server = self._runner.server if self._runner else None
        return list(server.connections) if server else []

    def _abort_connections(self) -> None:
        for protocol in self._protocols():
            if protocol.transport:
                protocol.transport.abort()


def json_response(
    value: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


async def serve(server: StandIn) -> None:
    """Serves until the task is cancelled."""
    await server.start()
    try:
        await asyncio.Event().wait()
    finally:
        await server.stop()


def run(make_server: Callable[[], StandIn]) -> None:
    """Serves as the main program until interrupted."""

    async def main() -> None:
        await serve(make_server())

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
