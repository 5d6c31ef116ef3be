"""HTTP client of the adapters; reports whether a failed request was sent.

A connection carries one request at a time. After a timeout its connection is
closed, and idle connections opened before are not used again, because they
may have stopped responding as well.
"""

import asyncio
from collections.abc import Mapping
import contextlib
import types
import weakref

import aiohttp
import attrs

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

Headers = Mapping[str, str]

_READ_CHUNK_BYTES = 65536
_EXCERPT_BYTES = 200
DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Failure:
    """A call without a complete response.

    Attributes:
      sent: Whether a byte of the request may have reached the server.
      timed_out: Whether the call exceeded its time limit.
      detail: Description of the error.
    """

    sent: bool
    timed_out: bool
    detail: str


@attrs.frozen
class Reply:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class _RepeatRefusedError(aiohttp.ClientError):
    """Prevents aiohttp from sending a request a second time."""


@attrs.define
class _Attempt:
    sent: bool = False


async def _refuse_resend(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    """Raises an error if aiohttp is about to send a request again.

    aiohttp calls this just before it writes the first byte of a request. It
    resends PUT, DELETE and GET requests if the connection is lost, but a
    service call must run at most once.
    """
    del session, params
    attempt: _Attempt = context.trace_request_ctx
    if attempt.sent:
        raise _RepeatRefusedError("connection lost after the request was sent")
    attempt.sent = True


class _Pool:
    """The connections of one client session.

    After a timeout the client retires the pool: new requests use another
    pool, and the session is closed when its last exchange has ended.
    """

    def __init__(self, connection_limit: int) -> None:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_refuse_resend)
        self.in_use = 0
        self.retired = False
        self.exchanges: set[Exchange] = set()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=connection_limit),
            # Cookies set for one caller must not be sent for another one.
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(),
            trace_configs=[trace],
            auto_decompress=False,
        )

    async def release(self) -> None:
        self.in_use -= 1
        await self.close_if_unused()

    async def close_if_unused(self) -> None:
        if self.retired and not self.in_use:
            await self.session.close()

    async def close(self) -> None:
        # If only the session were closed, readers of open responses would wait
        # forever.
        for exchange in tuple(self.exchanges):
            exchange.abort()
        await self.session.close()


class Exchange:
    """A response whose body has not been read completely.

    Attributes:
      response: Response of aiohttp, with status, headers and body stream.
    """

    def __init__(
        self,
        pool: _Pool,
        response: aiohttp.ClientResponse,
    ) -> None:
        self.response = response
        self._pool = pool
        self._released = False
        pool.exchanges.add(self)

    def abort(self) -> None:
        """Closes the connection at once and drops unread and unsent bytes."""
        connection = self.response.connection
        if connection and connection.transport:
            connection.transport.abort()
        self.response.close()

    async def release(self) -> None:
        """Ends the exchange.

        The connection is closed if the body was not read to its end.
        """
        if self._released:
            return
        self._released = True
        self._pool.exchanges.discard(self)
        if not self.response.content.at_eof():
            self.abort()
        self.response.release()
        await self._pool.release()

    async def read(self, max_bytes: int) -> bytes | Failure:
        """Reads the whole body."""
        body = bytearray()
        try:
            while chunk := await self.response.content.read(_READ_CHUNK_BYTES):
                body += chunk
                if len(body) > max_bytes:
                    return Failure(
                        sent=True,
                        timed_out=False,
                        detail=f"response larger than {max_bytes} bytes",
                    )
        except (aiohttp.ClientError, OSError) as exc:
            return Failure(sent=True, timed_out=False, detail=_error_text(exc))
        return bytes(body)


class HttpClient:
    """HTTP client of one server."""

    def __init__(
        self,
        base_url: str,
        *,
        connection_limit: int = 0,
        max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self._connection_limit = connection_limit
        self._max_response_bytes = max_response_bytes
        self._pool: _Pool | None = None
        # Retired pools that open exchanges still use.
        self._retired: weakref.WeakSet[_Pool] = weakref.WeakSet()

    async def open(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        headers: Headers | None = None,
        body: bytes | None = None,
    ) -> Exchange | Failure:
        """Sends a request and waits for the response headers."""
        pool = self._pool
        if pool is None:
            pool = self._pool = _Pool(self._connection_limit)
        pool.in_use += 1
        attempt = _Attempt()
        exchange: Exchange | None = None
        try:
            async with asyncio.timeout(timeout_s):
                response = await pool.session.request(
                    method,
                    self.base_url + path,
                    headers={"Accept-Encoding": "identity", **(headers or {})},
                    data=body,
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                )
            exchange = Exchange(pool, response)
            return exchange
        except TimeoutError:
            if attempt.sent:
                await self.retire_connections()
            return Failure(attempt.sent, True, "no answer in time")
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            return Failure(attempt.sent, False, _error_text(exc))
        finally:
            if exchange is None:
                await pool.release()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        headers: Headers | None = None,
        body: bytes | None = None,
    ) -> Reply | Failure:
        """Sends a request and reads the whole response."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        exchange = await self.open(
            method, path, timeout_s=timeout_s, headers=headers, body=body
        )
        if isinstance(exchange, Failure):
            return exchange
        try:
            async with asyncio.timeout_at(deadline_s):
                content = await exchange.read(self._max_response_bytes)
        except TimeoutError:
            await self.retire_connections()
            return Failure(True, True, "incomplete answer in time")
        finally:
            await exchange.release()
        if isinstance(content, Failure):
            return content
        response = exchange.response
        return Reply(response.status, response.headers, content)

    async def retire_connections(self) -> None:
        """Stops using the open connections for new requests."""
        pool, self._pool = self._pool, None
        if pool:
            pool.retired = True
            self._retired.add(pool)
            await pool.close_if_unused()

    async def close(self) -> None:
        """Closes the connections; later calls open new ones."""
        await self.retire_connections()
        for pool in tuple(self._retired):
            await pool.close()


def _error_text(exc: BaseException) -> str:
    return str(exc) or type(exc).__name__


def base_url(address: str) -> str:
    """Returns the URL for `host:port`; a full URL stays as it is."""
    return address if "://" in address else f"http://{address}"


def retry_after_s(headers: Headers) -> float | None:
    """Returns the delay of the `Retry-After` header, or None without one."""
    with contextlib.suppress(KeyError, ValueError):
        return max(0.0, float(headers["Retry-After"]))
    return None


def failure_reason(failure: Failure) -> reason_lib.Reason:
    """Returns the reason of a failed call to a backend server."""
    if not failure.sent:
        return reason_lib.Reason.BACKEND_UNREACHABLE
    if failure.timed_out:
        return reason_lib.Reason.BACKEND_TIMEOUT
    return reason_lib.Reason.BACKEND_LOST


def call_refusal(system: str, failure: Failure) -> refusal.Refusal:
    """Returns the refusal for a failed call to another external system."""
    detail = f"{system}: {failure.detail}"
    if failure.sent:
        return refusal.Refusal(
            reason_lib.Reason.TIMEOUT, detail, run_state.RunState.UNKNOWN
        )
    return refusal.Refusal(reason_lib.Reason.UNAVAILABLE, detail)


def status_refusal(system: str, reply: Reply) -> refusal.Refusal:
    """Returns the refusal for an unexpected status."""
    excerpt = reply.body[:_EXCERPT_BYTES].decode(errors="replace")
    return refusal.Refusal(
        reason_lib.Reason.UNAVAILABLE,
        f"{system}: status {reply.status} {excerpt}",
        run_state.RunState.UNKNOWN,
    )
