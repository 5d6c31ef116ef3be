"""Parses requests and builds JSON responses of the administration API."""

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
    """Ends the handling of a request with the given response."""

    def __init__(self, response: web.Response) -> None:
        super().__init__(response.status)
        self.response = response


def reply(data: Any, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.json_response(data, status=status)


def error(code: reason.Reason, message: str, **extra: Any) -> web.Response:
    """Returns an error response.

    Args:
      code: Reason that determines the error code and the HTTP status.
      message: Description of the error, including the allowed values.
      extra: Additional fields of the error object.
    """
    body = {"code": code.value, "message": message, **extra}
    return reply({"error": body}, _STATUS.get(code, 500))


def from_refusal(refused: refusal.Refusal) -> web.Response:
    """Returns the error response for a refused operation."""
    extra: dict[str, Any] = {"changed": refused.run.value}
    if refused.retry_after_s is not None:
        extra["retry_after_s"] = refused.retry_after_s
    return error(refused.reason, refused.detail, **extra)


def from_problems(problems: Iterable[structure.Problem]) -> web.Response:
    """Returns the error response for a request with invalid values."""
    problem_data = [
        {
            "field": p.field,
            "value": _json_value(p.value),
            "allowed": p.allowed,
        }
        for p in problems
    ]
    return error(
        reason.Reason.INVALID_REQUEST,
        "; ".join(
            f"{p['field'] or 'body'}: {p['value']!r} is not allowed;"
            f" allowed: {p['allowed']}"
            for p in problem_data
        ),
        problems=problem_data,
    )


def _json_value(value: Any) -> Any:
    try:
        json.dumps(value, allow_nan=False)
    except (TypeError, ValueError):
        return str(value)
    return value


async def parse_body(request: web.Request, cls: type[T]) -> T:
    """Parses the JSON body of a request.

    Raises:
      ReplyError: The body is not JSON or has invalid values.
    """
    try:
        data = json.loads(await request.text() or "{}")
    except ValueError as exc:
        raise ReplyError(
            error(reason.Reason.INVALID_REQUEST, f"body: {exc}; expected JSON")
        ) from None
    parsed = structure.structure(data, cls)
    if isinstance(parsed, tuple):
        raise ReplyError(from_problems(parsed))
    return parsed


def integer_query(
    request: web.Request, name: str, default: int | None = None
) -> int | None:
    """Returns a non-negative integer from the query string.

    Raises:
      ReplyError: The value is not a non-negative integer.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isdecimal():
        problem = structure.Problem(name, text, "a whole number")
        raise ReplyError(from_problems([problem]))
    return int(text)
