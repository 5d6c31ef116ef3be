"""Authenticates operators and converts errors to JSON responses."""

from aiohttp import typedefs
from aiohttp import web
import prometheus_client

from hibiscuspass.admin import replies
from hibiscuspass.core import reason
from hibiscuspass.settings import admin as admin_settings
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import logs

_log = logs.get_logger(__name__)

_PUBLIC_PATHS = frozenset({"/metrics", "/healthz", "/readyz"})
_BEARER = "bearer "

OPERATOR = web.RequestKey("operator", str)

_UNAUTHENTICATED = prometheus_client.Counter(
    "hibiscuspass_admin_unauthenticated_total",
    "Requests to the administration API without a valid token.",
)


def make_middleware(
    operators: tuple[admin_settings.OperatorToken, ...],
) -> typedefs.Middleware:
    """Returns middleware that requires an operator's bearer token."""

    @web.middleware
    async def authenticate(
        request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        if request.path in _PUBLIC_PATHS:
            return await handler(request)
        header = request.headers.get("Authorization", "")
        token = header[len(_BEARER) :].strip()
        operator = None
        if header.lower().startswith(_BEARER):
            operator = secrets.find_operator(operators, token)
        if operator is None:
            _UNAUTHENTICATED.inc()
            _log.warning(
                "request without a valid operator token",
                method=request.method,
                path=request.path,
                remote=request.remote,
            )
            response = replies.error(
                reason.Reason.UNAUTHENTICATED,
                "expected the header 'Authorization: Bearer <operator token>'"
                " with a valid token",
            )
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        request[OPERATOR] = operator
        return await handler(request)

    return authenticate


@web.middleware
async def answer_errors(
    request: web.Request, handler: typedefs.Handler
) -> web.StreamResponse:
    """Middleware that converts `ReplyError` and HTTP errors to JSON."""
    try:
        return await handler(request)
    except replies.ReplyError as exc:
        return exc.response
    except web.HTTPException as exc:
        code = {404: reason.Reason.NOT_FOUND}.get(
            exc.status, reason.Reason.INVALID_REQUEST
        )
        response = replies.error(
            code, f"{request.method} {request.path}: {exc.reason}"
        )
        response.set_status(exc.status)
        return response
