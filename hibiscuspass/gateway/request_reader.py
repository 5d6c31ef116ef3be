"""Reads and checks a caller's request before it is forwarded."""

import asyncio
import functools
import time

from aiohttp import web
import multidict

from hibiscuspass.backends import uploads
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.admission import byte_budget
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.platform import headers as names

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
_BEARER = "bearer "
# Longest time for the arrival of a body; the request's deadline may be earlier.
_MAX_BODY_TIMEOUT_S = 10.0


def hop_by_hop_names(
    headers: multidict.CIMultiDictProxy[str],
) -> frozenset[str]:
    """Returns the lower-case names of headers that must not be forwarded."""
    named = (
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    )
    return _HOP_BY_HOP | frozenset(named)


async def read_call(
    http: web.BaseRequest,
    table: route_table.RouteTable,
    now_s: float,
    holding: byte_budget.Holding,
) -> call_lib.Call | refusal.Refusal:
    """Checks headers, route, API key and size, then reads the body.

    Args:
      http: Request of the caller.
      table: Configuration to check against.
      now_s: Arrival of the request on the monotonic clock.
      holding: Counts the bytes of the body.
    """
    refused = _check_headers(http, table.limits)
    if refused:
        return refused
    target = http.raw_path
    route = table.match(http.headers.get("Host", ""), target.partition("?")[0])
    if route is None:
        return _refuse(reason_lib.Reason.NOT_FOUND, "no route matches")
    workspace = _find_workspace(http, table)
    if workspace is None and not route.auth_exempt and table.workspaces:
        return _refuse(reason_lib.Reason.UNAUTHENTICATED, "unknown key")
    req = _parse_request(http.headers, route, now_s)
    if isinstance(req, refusal.Refusal):
        return req
    if workspace is not None:
        holding.key = http.headers["Authorization"]
    body = await _read_body(http, table.limits, req.deadline_s, holding)
    if isinstance(body, refusal.Refusal):
        return body
    return call_lib.Call(
        req=req,
        method=http.method,
        target=target,
        headers=_forwarded_headers(http.headers, workspace),
        body=body,
        route=route,
        workspace=workspace,
        version=table.version,
        holding=holding,
    )


def _check_headers(
    http: web.BaseRequest, limits: route_lib.Limits
) -> refusal.Refusal | None:
    size = sum(len(k) + len(v) + 4 for k, v in http.raw_headers)
    if size > limits.max_header_bytes:
        return _refuse(
            reason_lib.Reason.HEADERS_TOO_LARGE,
            f"headers of {size} bytes; at most {limits.max_header_bytes}",
        )
    if len(http.headers.getall("Host", ())) != 1:
        return _refuse(
            reason_lib.Reason.INVALID_REQUEST, "exactly one Host is allowed"
        )
    if not http.headers.get(names.ATTEMPT_ID):
        return _refuse(
            reason_lib.Reason.INVALID_REQUEST, f"{names.ATTEMPT_ID} is missing"
        )
    length = http.content_length
    if length is not None and length > limits.max_body_bytes:
        return _too_large(limits)
    return None


def _find_workspace(
    http: web.BaseRequest, table: route_table.RouteTable
) -> route_lib.Workspace | None:
    value = http.headers.get("Authorization", "")
    if not value.lower().startswith(_BEARER):
        return None
    return table.workspace_by_api_key(value[len(_BEARER) :].strip())


def _parse_request(
    headers: multidict.CIMultiDictProxy[str],
    route: route_lib.Route,
    now_s: float,
) -> request_lib.ForwardRequest | refusal.Refusal:
    try:
        wait_s = min(
            route.timeout_s,
            float(headers.get(names.DEADLINE_MS, "inf")) / 1000,
        )
        counts = headers.get(names.TOKEN_COUNTS, "0,0").split(",")
        input_tokens, output_tokens = map(int, counts)
        parts = tuple(
            request_lib.PromptPart(part_id.strip(), int(tokens))
            for part_id, _, tokens in (
                text.partition(":")
                for text in headers.get(names.PROMPT_PREFIX, "").split(",")
                if text.strip()
            )
        )
    except ValueError as exc:
        return _refuse(reason_lib.Reason.INVALID_REQUEST, f"headers: {exc}")
    if min(input_tokens, output_tokens) < 0 or not wait_s > 0:
        return _refuse(
            reason_lib.Reason.INVALID_REQUEST,
            f"{counts} tokens, {wait_s} s to wait; both must be positive",
        )
    return request_lib.ForwardRequest(
        attempt_id=headers[names.ATTEMPT_ID],
        received_s=now_s,
        deadline_s=now_s + wait_s,
        input_tokens=input_tokens,
        max_output_tokens=output_tokens,
        prompt_parts=parts,
    )


async def _read_body(
    http: web.BaseRequest,
    limits: route_lib.Limits,
    deadline_s: float,
    holding: byte_budget.Holding,
) -> bytes | bytearray | refusal.Refusal:
    if not http.body_exists:
        return b""
    body = bytearray()
    remaining_s = max(0.0, deadline_s - time.monotonic())
    try:
        async with asyncio.timeout(
            min(remaining_s, _MAX_BODY_TIMEOUT_S)
        ) as timeout:
            holding.on_drop = functools.partial(uploads.expire, timeout)
            async for chunk in http.content.iter_any():
                outcome = holding.add_upload(len(chunk), time.monotonic())
                if outcome is not byte_budget.Outcome.GRANTED:
                    return uploads.make_refusal(outcome)
                body += chunk
                if len(body) > limits.max_body_bytes:
                    return _too_large(limits)
    except TimeoutError:
        if holding.is_dropped:
            return uploads.make_refusal(byte_budget.Outcome.DROPPED)
        return _refuse(
            reason_lib.Reason.BODY_TIMEOUT, "the body did not arrive in time"
        )
    finally:
        holding.end_upload()
    return body


def _forwarded_headers(
    headers: multidict.CIMultiDictProxy[str],
    workspace: route_lib.Workspace | None,
) -> multidict.CIMultiDict[str]:
    dropped = hop_by_hop_names(headers) | names.RESERVED
    forwarded = multidict.CIMultiDict(
        (k, v) for k, v in headers.items() if k.lower() not in dropped
    )
    if workspace is not None:
        forwarded[names.WORKSPACE] = workspace.name
    return forwarded


def _too_large(limits: route_lib.Limits) -> refusal.Refusal:
    return _refuse(
        reason_lib.Reason.BODY_TOO_LARGE,
        f"the body has more than {limits.max_body_bytes} bytes",
    )


def _refuse(reason: reason_lib.Reason, detail: str) -> refusal.Refusal:
    return refusal.Refusal(reason, detail)
