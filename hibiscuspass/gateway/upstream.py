"""Sends requests to backend servers and checks the heads of their answers."""

import asyncio
from collections.abc import Callable
import http
import time
import types

import aiohttp
import attrs
import yarl

from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import admission_policy
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import request_body
from hibiscuspass.gateway import upstream_connector
from hibiscuspass.gateway import upstream_protocol
from hibiscuspass.platform import headers as names

# A connection may take at most this long, and at most this share of the
# remaining time, so that another server can still be tried.
_CONNECT_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_SHARE = 1 / 3
# Shorter than the idle timeout of backend servers. A request on a connection
# that the server closes at the same time would be lost.
_IDLE_TIMEOUT_S = 4.0
# Statuses that tell a caller that the request did not run. They are not
# relayed, since without a proof from the backend server they may be untrue.
_NOT_RUN_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
_STATUSES = range(100, 600)
_MAX_DETAIL_CHARS = 200
# A refusal's body is read to its end, so that its connection can be used again,
# only if it is short. A refusal must be known soon, since a silent stream is
# given up for a server that doesn't refuse it.
_MAX_DISCARDED_BYTES = 64 * 1024
_DISCARD_TIMEOUT_S = 0.05
_ERRORS_WITH_OWN_TEXT = (
    OSError,
    aiohttp.ClientConnectionError,
    upstream_protocol.MalformedAnswerError,
)
_NO_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@attrs.frozen
class Failure:
    """A send without an answer that the caller may get.

    Attributes:
      run: Whether the backend server may have run the request.
      detail: Description of the failure.
      is_misdirected: Whether the server replied that it is not, or no longer,
        the server named in the request.
      is_unreachable: Whether no connection could be opened.
      is_busy: Whether the server refused the request because it was full.
      is_connection_lost: Whether the connection ended before an answer.
      is_leaving: Whether the server says that it is about to end.
      hold_off_s: Time for which the server wants no requests, in seconds; None
        if it names none.
      unusable_hold_offs: Values that name no time.
      limit: What the server says of its limit; None if no answer of this server
        came.
    """

    run: run_state.RunState
    detail: str
    is_misdirected: bool = False
    is_unreachable: bool = False
    is_busy: bool = False
    is_connection_lost: bool = False
    is_leaving: bool = False
    hold_off_s: float | None = None
    unusable_hold_offs: tuple[str, ...] = ()
    limit: names.NamedLimit | None = None


class Upstream:
    """HTTP client for backend servers."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=upstream_connector.make_connector(_IDLE_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_NO_AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None),
            read_bufsize=upstream_protocol.READ_BYTES,
            trace_configs=[_make_trace()],
        )
        # By default, aiohttp sends idempotent requests again after a lost
        # connection. The route decides which requests may be repeated.
        self._session._retry_connection = False

    async def send(
        self,
        call: call_lib.Call,
        backend: backend_lib.Backend,
        *,
        last_event_id: str | None = None,
        on_written: Callable[[], None] | None = None,
    ) -> aiohttp.ClientResponse | Failure:
        """Sends a request and waits for the head of the answer.

        Args:
          call: Request of the caller.
          backend: Backend server.
          last_event_id: Id of the event after which a stream is resumed.
          on_written: Called when there is a connection and the request is
            written to it.
        """
        remaining_s = call.req.deadline_s - time.monotonic()
        if remaining_s <= 0:
            return Failure(run_state.RunState.NO, "no time left")
        headers = call.headers.copy()
        headers[names.DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
        headers[names.EXPECTED_BACKEND] = backend.backend_id
        if call.req.input_tokens:
            headers[names.URGENCY] = str(
                admission_policy.urgency(
                    call.priority, call.route, call.req, time.monotonic()
                )
            )
        if last_event_id is not None:
            headers[names.LAST_EVENT_ID] = last_event_id
        try:
            resp = await self._session.request(
                call.method,
                yarl.URL(
                    f"http://{backend.address}{call.target}", encoded=True
                ),
                headers=headers,
                data=request_body.RequestBody(call.body) if call.body else None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=min(
                        _CONNECT_TIMEOUT_S, remaining_s * _CONNECT_TIMEOUT_SHARE
                    ),
                ),
                trace_request_ctx=on_written,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return Failure(
                run_state.RunState.NO, f"connect: {exc}", is_unreachable=True
            )
        except (
            aiohttp.ClientError,
            # Raised if the connection ends after an informational answer.
            aiohttp.EofStream,
            OSError,
            asyncio.IncompleteReadError,
        ) as exc:
            return Failure(
                run_state.RunState.UNKNOWN,
                describe(exc),
                is_connection_lost=True,
            )
        failure = _find_failure(call, resp)
        if failure is None:
            return resp
        # Other failures may leave unread bytes on the connection, so it is
        # reused only after a refusal that was read to its end.
        await _discard(resp, reusable=failure.run is run_state.RunState.NO)
        return _with_availability(failure, call, resp)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()


def _make_trace() -> aiohttp.TraceConfig:
    """Returns a trace that calls `on_written` of a request."""

    async def on_headers_sent(
        _: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        __: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        if context.trace_request_ctx:
            context.trace_request_ctx()

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(on_headers_sent)
    return trace


def _find_failure(
    call: call_lib.Call, resp: aiohttp.ClientResponse
) -> Failure | None:
    """Returns why an answer must not be relayed; None if it may be."""
    unknown = run_state.RunState.UNKNOWN
    if resp.status not in _STATUSES:
        return Failure(unknown, f"status {resp.status:03}")
    if resp.headers.get(names.ATTEMPT_ID) != call.req.attempt_id:
        not_executed = names.NOT_EXECUTED in resp.headers
        echoed = resp.headers.get(names.ATTEMPT_ID)
        if not not_executed or echoed is not None:
            return Failure(unknown, f"answer to another request: {echoed!r}")
    if (
        names.NOT_EXECUTED in resp.headers
        or resp.status == http.HTTPStatus.MISDIRECTED_REQUEST
    ):
        return Failure(
            run_state.RunState.NO,
            f"not executed: status {resp.status}",
            is_misdirected=resp.status == http.HTTPStatus.MISDIRECTED_REQUEST,
            is_busy=resp.status != http.HTTPStatus.MISDIRECTED_REQUEST,
        )
    if resp.status in _NOT_RUN_STATUSES:
        return Failure(unknown, f"status {resp.status} without a proof")
    succeeded = (
        http.HTTPStatus.OK <= resp.status < http.HTTPStatus.MULTIPLE_CHOICES
    )
    if succeeded and names.STAMP not in resp.headers:
        return Failure(unknown, "success without a signature")
    if "Content-Encoding" in resp.headers:
        return Failure(unknown, "encoded body")
    if upstream_protocol.has_control_characters(resp):
        return Failure(unknown, "control characters in the head")
    return None


def _with_availability(
    failure: Failure, call: call_lib.Call, resp: aiohttp.ClientResponse
) -> Failure:
    """Adds what the server of an answer says of itself."""
    if resp.headers.get(names.ATTEMPT_ID, call.req.attempt_id) != (
        call.req.attempt_id
    ):
        return failure
    failure = attrs.evolve(
        failure,
        is_leaving=names.is_leaving(resp.headers),
        limit=None
        if failure.is_misdirected
        else names.named_limit(resp.headers),
    )
    if resp.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return failure
    return attrs.evolve(
        failure,
        hold_off_s=names.hold_off_s(resp.headers),
        unusable_hold_offs=names.unusable_hold_offs(resp.headers),
    )


def describe(exc: BaseException) -> str:
    """Returns a short description without bytes that a server sent.

    The texts of parser errors contain such bytes, which may belong to the
    answer of another caller.
    """
    name = type(exc).__name__
    if isinstance(exc, _ERRORS_WITH_OWN_TEXT):
        return f"{name}: {exc}"[:_MAX_DETAIL_CHARS]
    cause = exc.__cause__
    return f"{name}: {type(cause).__name__}" if cause else name


async def _discard(resp: aiohttp.ClientResponse, *, reusable: bool) -> None:
    """Drops an answer; closes its connection unless it can be used again."""
    if not (reusable and await _read_short_body(resp)):
        resp.close()


async def _read_short_body(resp: aiohttp.ClientResponse) -> bool:
    """Reads a body to its end; returns False if it is too long or too slow."""
    size = 0
    try:
        async with asyncio.timeout(_DISCARD_TIMEOUT_S):
            while chunk := await resp.content.readany():
                size += len(chunk)
                if size > _MAX_DISCARDED_BYTES:
                    return False
    except (TimeoutError, aiohttp.ClientError, OSError):
        return False
    return True
