"""Answers of the gateway's own."""

from http import HTTPStatus

from aiohttp import web

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal

_Reason = reason_lib.Reason

# 429 and 503 promise that the request has not run and never will; 502 and 504
# promise nothing.
_STATUS = {
    _Reason.INVALID_REQUEST: HTTPStatus.BAD_REQUEST,
    _Reason.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    _Reason.BUDGET_EXHAUSTED: HTTPStatus.PAYMENT_REQUIRED,
    _Reason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    _Reason.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    _Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    _Reason.BACKEND_LOST: HTTPStatus.BAD_GATEWAY,
    _Reason.BACKEND_TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    _Reason.BUDGET_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    _Reason.NO_BACKEND: HTTPStatus.SERVICE_UNAVAILABLE,
    _Reason.BACKEND_REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
    _Reason.BACKEND_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    _Reason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    _Reason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    _Reason.SHUTTING_DOWN: HTTPStatus.SERVICE_UNAVAILABLE,
}


def status_of(why: refusal.Refusal) -> HTTPStatus:
    """Returns the status that tells a caller about a refusal.

    Raises:
      KeyError: Callers never see refusals for this reason.
    """
    return _STATUS[why.reason]


def make_answer(why: refusal.Refusal) -> web.Response:
    """Makes the answer for a refusal."""
    headers = {}
    if why.retry_after_s is not None:
        headers["Retry-After"] = f"{why.retry_after_s:.2f}"
    return web.Response(
        status=status_of(why),
        text=f"{why.reason.value}: {why.detail}\n",
        headers=headers,
    )
