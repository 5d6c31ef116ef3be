"""The HTTP server for callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import ssl

from aiohttp import web

from hibiscuspass.backends import tcp_server
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.dispatch import completion
from hibiscuspass.router import call_context
from hibiscuspass.router import completions
from hibiscuspass.router import header_deadline
from hibiscuspass.router import http_response
from hibiscuspass.router import intake
from hibiscuspass.router import interrupt
from hibiscuspass.router import parts as parts_lib
from hibiscuspass.router import service_calls
from hibiscuspass.telemetry import http as telemetry_http
from hibiscuspass.telemetry import logs

_log = logs.get_logger(__name__)

CallResult = web.StreamResponse | refusal.Refusal
CallHandler = Callable[
    [web.Request, call_context.CallContext], Awaitable[CallResult]
]

# Time to read the rest of a refused body before the connection is closed.
_LINGER_S = 1.0
_KEEP_ALIVE_TIMEOUT_S = 75.0
_SHUTDOWN_TIMEOUT_S = 1.0
_BACKLOG_CONNECTIONS = 128


class CallerApi:
    """Serves callers, probes and metrics on one listener."""

    def __init__(self, parts: parts_lib.Parts) -> None:
        self._parts = parts
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self.port = 0

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Starts to listen; with port 0, `port` is set to a free one."""
        runner = web.AppRunner(
            self.make_app(),
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        assert runner.server is not None
        headers_s = self._parts.limits.headers_s
        # `web.TCPSite` does not allow a custom protocol class.
        self._listener = await asyncio.get_running_loop().create_server(
            functools.partial(
                header_deadline.HeaderDeadlineProtocol,
                runner.server,
                headers_s,
                access_log=None,
                keepalive_timeout=_KEEP_ALIVE_TIMEOUT_S,
                lingering_time=_LINGER_S,
            ),
            host,
            port,
            ssl=tls,
            ssl_handshake_timeout=headers_s if tls else None,
            backlog=_BACKLOG_CONNECTIONS,
        )
        self._runner = runner
        self.port = self._listener.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._listener is not None:
            await tcp_server.stop_accepting(self._listener)
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def make_app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(
            client_max_size=0, middlewares=[header_deadline.middleware]
        )
        completion_handler = completions.CompletionHandler(self._parts)
        service_handler = service_calls.ServiceHandler(self._parts)
        endpoint = self._endpoint
        app.add_routes(
            [
                web.post(
                    completion.CHAT_PATH,
                    endpoint("chat", completion_handler.handle),
                ),
                web.post(
                    completion.TEXT_PATH,
                    endpoint("completions", completion_handler.handle),
                ),
                web.get("/v1/models", endpoint("models", self._list_models)),
                web.route(
                    "*",
                    "/services/{service:[A-Za-z0-9_.-]+}{tail:(/.*)?}",
                    endpoint("services", service_handler.handle),
                ),
            ]
        )
        telemetry_http.add_routes(
            app,
            lambda: self._parts.lifecycle.ready,
            self._parts.metrics.registry,
        )
        app.add_routes(
            [web.route("*", "/{tail:.*}", endpoint("none", _not_found))]
        )
        return app

    def _endpoint(
        self, api: str, handler: CallHandler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def serve(req: web.Request) -> web.StreamResponse:
            ctx = call_context.begin_call(
                req.headers.get(call_context.IDEMPOTENCY_KEY_HEADER, "")
            )
            with self._parts.lifecycle.track(ctx):
                try:
                    answer = await self._run_handler(api, handler, req, ctx)
                    self._record_result(api, ctx, answer)
                    if isinstance(answer, refusal.Refusal):
                        return await _send_refusal(req, ctx, answer)
                    return answer
                finally:
                    for callback in ctx.after_response:
                        callback()

        return serve

    async def _run_handler(
        self,
        api: str,
        handler: CallHandler,
        req: web.Request,
        ctx: call_context.CallContext,
    ) -> CallResult:
        try:
            return await handler(req, ctx)
        except asyncio.CancelledError:
            if ctx.interrupter.take_cause() is not interrupt.Cause.SHUTDOWN:
                self._count_request(api, "", ctx)
                raise
            return refusal.Refusal(
                reason.Reason.SHUTTING_DOWN,
                "the router stopped before the request was complete",
                ctx.run,
                retry_after_s=0.0,
            )
        except web.HTTPException:
            raise
        except Exception:
            _log.exception("call failed", request_id=ctx.request_id)
            return refusal.Refusal(
                reason.Reason.UNAVAILABLE, "internal error", ctx.run
            )

    def _record_result(
        self, api: str, ctx: call_context.CallContext, answer: CallResult
    ) -> None:
        refused = answer if isinstance(answer, refusal.Refusal) else ctx.failure
        if refused is None:
            self._count_request(api, "", ctx, "completed")
        elif refused.run is run_state.RunState.NO:
            self._count_request(api, refused.reason.value, ctx, "not_run")
        else:
            self._count_request(
                api, refused.reason.value, ctx, "outcome_unknown"
            )

    def _count_request(
        self,
        api: str,
        reason_code: str,
        ctx: call_context.CallContext,
        outcome: str = "cancelled",
    ) -> None:
        self._parts.metrics.requests.labels(api, outcome, reason_code).inc()
        self._parts.recorder.emit(
            f"request.{outcome}",
            request_id=ctx.request_id,
            workspace=ctx.workspace,
            api=api,
            reason=reason_code,
        )

    async def _list_models(
        self, req: web.Request, ctx: call_context.CallContext
    ) -> CallResult:
        workspace = await intake.authenticate(req, ctx, self._parts)
        if isinstance(workspace, refusal.Refusal):
            return workspace
        names = [m for m in workspace.models if m in self._parts.models]
        data = [
            {"id": name, "object": "model", "owned_by": "hibiscuspass"}
            for name in names
        ]
        return web.json_response(
            {"object": "list", "data": data},
            headers=http_response.identity_headers(
                ctx.request_id, run_state.RunState.YES
            ),
        )


async def _send_refusal(
    req: web.Request,
    ctx: call_context.CallContext,
    refused: refusal.Refusal,
) -> web.StreamResponse:
    resp = http_response.error_response(refused, ctx.request_id)
    if not req.content.at_eof():
        # The unread rest of the body would be parsed as the next request.
        resp.force_close()
    with contextlib.suppress(ConnectionError):
        await resp.prepare(req)
        await resp.write_eof()
    return resp


async def _not_found(
    req: web.Request, ctx: call_context.CallContext
) -> CallResult:
    return refusal.Refusal(
        reason.Reason.NOT_FOUND,
        f"{req.method} {req.path[:200]!r} is not part of this API",
    )
