"""Common part of the stand-ins: listener, faults and records."""

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

# Handlers that a fault holds up are cancelled; zero would mean no limit.
_SHUTDOWN_S = 0.01
_CONTROL_PATHS = frozenset({"/faults", "/record"})


@attrs.define
class Faults:
    """Faults in force; subclasses add those of one system.

    Attributes:
      delay_s: Delay before each request is handled.
      outage: `refuse` closes the listener and all connections, `hang` accepts
        requests and never answers.
      lose_replies: Number of next requests that take effect and whose reply is
        lost.
      lost_reply: `close` aborts the connection, `hang` keeps it open.
      lose_path: Start of the paths that lose replies; empty for all.
      frozen: Nothing is handled and no stream continues until it is reset.
    """

    delay_s: float = 0.0
    outage: str = ""
    lose_replies: int = 0
    lost_reply: str = "close"
    lose_path: str = ""
    frozen: bool = False


class LostReplyError(Exception):
    """The reply of the current request gets lost."""


class StandIn:
    """A server whose faults can be switched at run time.

    `POST /faults` takes a JSON object of fault fields and of one-time actions
    set to true; `GET /faults` shows the fields. `GET /record` shows what the
    server did. Both also work during every fault but `refuse`, and on the
    control port always.
    """

    faults_type: type[Faults] = Faults
    # One-time faults: names of methods without arguments.
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
        self._silent: set[web_protocol.RequestHandler] = set()
        self._thawed = asyncio.Event()
        self._thawed.set()

    @property
    def address(self) -> str:
        """`host:port` of the server."""
        return f"{self._host}:{self._port}"

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the protocol."""
        raise NotImplementedError

    def record(self) -> Any:
        """Returns what `GET /record` shows."""
        raise NotImplementedError

    async def start(self) -> None:
        """Starts to serve; `address` then holds the port in use."""
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
        self._thawed.set()
        self._abort_connections()
        for runner in (self._runner, self._control):
            if runner:
                await runner.cleanup()

    async def inject(self, **changes: Any) -> None:
        """Sets fault fields and triggers one-time faults.

        Raises:
          ValueError: A name is neither a field nor an action.
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
        """Makes every open connection carry nothing more, for good."""
        for protocol in self._protocols():
            self._silent.add(protocol)

    async def hold(self, request: web.Request) -> None:
        """Waits while a fault stops this connection or the whole server."""
        if request.protocol in self._silent:
            await asyncio.Event().wait()
        await self._thawed.wait()

    async def maybe_lose_reply(self, request: web.Request) -> None:
        """Called after a request took effect, before its reply is sent.

        Raises:
          LostReplyError: The reply gets lost.
        """
        faults = self.faults
        if faults.lose_replies <= 0 or not request.path.startswith(
            faults.lose_path
        ):
            return
        faults.lose_replies -= 1
        if faults.lost_reply == "hang":
            self._silent.add(request.protocol)
            await asyncio.Event().wait()
        raise LostReplyError

    def abort_connection(self, request: web.Request) -> None:
        """Closes the connection of a request without further bytes."""
        if request.transport:
            request.transport.abort()

    @web.middleware
    async def _middleware(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if request.path in _CONTROL_PATHS:
            return await handler(request)
        await self.hold(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage == "hang":
            await asyncio.Event().wait()
        try:
            response = await handler(request)
            if not response.prepared:
                await self.maybe_lose_reply(request)
                await self.hold(request)
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
            self._thawed.clear()
        else:
            self._thawed.set()
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


async def serve(stand_in: StandIn) -> None:
    """Runs a stand-in until the task is cancelled."""
    await stand_in.start()
    try:
        await asyncio.Event().wait()
    finally:
        await stand_in.stop()


def run(make: Callable[[], StandIn]) -> None:
    """Runs a stand-in as the program until it is interrupted."""

    async def main() -> None:
        await serve(make())

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
