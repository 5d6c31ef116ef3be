"""Builds the router's HTTP responses for refusals, and their statuses."""

from collections.abc import Mapping
import math
from typing import Any

from aiohttp import web
import msgspec

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

REQUEST_ID_HEADER = "X-Request-Id"
RUN_HEADER = "X-Run"

_R = reason.Reason

_STATUSES: Mapping[reason.Reason, int] = {
    _R.INVALID_REQUEST: 400,
    _R.BODY_TOO_LARGE: 413,
    _R.HEADERS_TOO_LARGE: 431,
    _R.BODY_TIMEOUT: 408,
    _R.UNAUTHENTICATED: 401,
    _R.FORBIDDEN: 403,
    _R.UNKNOWN_MODEL: 404,
    _R.MODEL_NOT_ALLOWED: 403,
    _R.UNKNOWN_SERVICE: 404,
    _R.UNKNOWN_WORKSPACE: 404,
    _R.IDEMPOTENCY_KEY_REQUIRED: 400,
    _R.IDEMPOTENCY_KEY_REUSED: 422,
    _R.BUDGET_EXHAUSTED: 402,
    _R.BUDGET_UNAVAILABLE: 503,
    _R.PRIMARY_UNREACHABLE: 503,
    _R.IN_PROGRESS: 409,
    _R.ALREADY_COMPLETED: 409,
    _R.CLAIM_UNCERTAIN: 503,
    _R.OVERLOADED: 503,
    _R.DEADLINE: 503,
    _R.CONCURRENCY_LIMIT: 429,
    _R.NO_BACKEND: 503,
    _R.SHUTTING_DOWN: 503,
    _R.NOT_READY: 503,
    _R.PROMPT_QUARANTINED: 503,
    _R.BACKEND_REFUSED: 502,
    _R.BACKEND_UNREACHABLE: 502,
    _R.BACKEND_LOST: 502,
    _R.BACKEND_TIMEOUT: 504,
    _R.CONFLICT: 409,
    _R.NOT_FOUND: 404,
    _R.UNAVAILABLE: 503,
    _R.TIMEOUT: 504,
    _R.RATE_LIMITED: 429,
    _R.STALE: 409,
}


def http_status(code: reason.Reason) -> int:
    """Returns the HTTP status for the reason of a refusal."""
    return _STATUSES[code]


def identity_headers(
    request_id: str, run: run_state.RunState
) -> dict[str, str]:
    """Returns the headers that every caller API response carries."""
    return {REQUEST_ID_HEADER: request_id, RUN_HEADER: run.value}


def error_body(refused: refusal.Refusal, request_id: str) -> bytes:
    """Returns the JSON error object of a response or error event."""
    error: dict[str, Any] = {
        "code": refused.reason.value,
        "message": refused.detail or refused.reason.value.replace("_", " "),
        "run": refused.run.value,
        "request_id": request_id,
    }
    if refused.retry_after_s is not None:
        error["retry_after_s"] = refused.retry_after_s
    return msgspec.json.encode({"error": error})


def error_response(refused: refusal.Refusal, request_id: str) -> web.Response:
    """Returns the HTTP response for a refusal."""
    headers = identity_headers(request_id, refused.run)
    if refused.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(refused.retry_after_s))
    return web.Response(
        status=http_status(refused.reason),
        body=error_body(refused, request_id),
        content_type="application/json",
        headers=headers,
    )
