"""JSON answers and errors of the administration API."""

from collections.abc import Iterable
import json
from typing import Any
from typing import TypeVar

from aiohttp import web

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.settings import structure

T = TypeVar("T")

_STATUS = {
    reason.Reason.INVALID_REQUEST: 400,
    reason.Reason.UNAUTHENTICATED: 401,
    reason.Reason.FORBIDDEN: 403,
    reason.Reason.NOT_FOUND: 404,
    reason.Reason.UNKNOWN_WORKSPACE: 404,
    reason.Reason.CONFLICT: 409,
    reason.Reason.RATE_LIMITED: 429,
    reason.Reason.UNAVAILABLE: 503,
    reason.Reason.TIMEOUT: 504,
}


class ReplyError(Exception):
    """Ends the handling of a request with an answer."""

    def __init__(self, response: web.Response) -> None:
        super().__init__(response.status)
        self.response = response


def reply(data: Any, status: int = 200) -> web.Response:
    """Returns a JSON answer."""
    return web.json_response(data, status=status)


def error(why: reason.Reason, message: str, **extra: Any) -> web.Response:
    """Returns an error answer; the message names what is allowed."""
    body = {"code": why.value, "message": message, **extra}
    return reply({"error": body}, _STATUS.get(why, 500))


def of_refusal(refused: refusal.Refusal) -> web.Response:
    """Returns the answer to a refused operation."""
    extra: dict[str, Any] = {"changed": refused.run.value}
    if refused.retry_after_s is not None:
        extra["retry_after_s"] = refused.retry_after_s
    return error(refused.reason, refused.detail, **extra)


def of_problems(problems: Iterable[structure.Problem]) -> web.Response:
    """Returns the answer to a request with bad values."""
    listed = [
        {
            "field": p.field,
            "value": _plain(p.value),
            "allowed": p.allowed,
        }
        for p in problems
    ]
    return error(
        reason.Reason.INVALID_REQUEST,
        "; ".join(
            f"{p['field'] or 'body'}: {p['value']!r} is not allowed;"
            f" allowed: {p['allowed']}"
            for p in listed
        ),
        problems=listed,
    )


def _plain(value: Any) -> Any:
    try:
        json.dumps(value, allow_nan=False)
    except (TypeError, ValueError):
        return str(value)
    return value


async def body_of(request: web.Request, cls: type[T]) -> T:
    """Parses a request's JSON body.

    Raises:
      ReplyError: The body is no JSON or has bad values.
    """
    try:
        data = json.loads(await request.text() or "{}")
    except ValueError as exc:
        raise ReplyError(
            error(reason.Reason.INVALID_REQUEST, f"body: {exc}; expected JSON")
        ) from None
    parsed = structure.structure(data, cls)
    if isinstance(parsed, tuple):
        raise ReplyError(of_problems(parsed))
    return parsed


def integer_query(
    request: web.Request, name: str, default: int | None = None
) -> int | None:
    """Returns a whole number from the query.

    Raises:
      ReplyError: The value is no whole number.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isdecimal():
        problem = structure.Problem(name, text, "a whole number")
        raise ReplyError(of_problems([problem]))
    return int(text)
