"""Connections of callers, with limits on what they make the process keep."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time
from typing import Any

from aiohttp import web
from aiohttp import web_protocol
import structlog

from hibiscuspass.core import log_limit
from hibiscuspass.core.admission import byte_budget
from hibiscuspass.core.admission import connection_limit
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.settings import gateway as settings_lib
from hibiscuspass.settings import machine_memory

_log = structlog.get_logger(__name__)

# The library keeps 128 lines of 64 KiB. Heads above the configured limit get a
# refusal up to this size, and the connection is closed beyond it.
_MAX_HEAD_BYTES = 128 * 1024
# Bytes of framing per byte of a body. Chunks of one byte take six bytes.
_MAX_FRAMING_PER_BYTE = 16
# The event loop reads up to 256 KiB at once by default, and the library keeps
# up to twice its buffer size of a body that is not read.
_READ_BYTES = 64 * 1024
_CHECK_INTERVAL_S = 1.0
_LOG_INTERVAL_S = 10.0
_HEAD_TIMEOUT = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(web_protocol.RequestHandler):
    """Connection of a caller that bounds its head.

    Attributes:
      head_bytes: Bytes of the head that is arriving.
      head_began_s: Monotonic time of the first of them.
      unread_bytes: Bytes that waited for the caller at the latest check.
      unread_since_s: Monotonic time since which it has read none of them.
    """

    __slots__ = (
        "_body_received",
        "_callers",
        "_last_payload",
        "_own_transport",
        "head_began_s",
        "head_bytes",
        "unread_bytes",
        "unread_since_s",
    )

    def __init__(
        self, server: web.Server, callers: "CallerConnections", **options: Any
    ) -> None:
        super().__init__(server, read_bufsize=_READ_BYTES, **options)
        self.head_bytes = 0
        self.head_began_s = 0.0
        self.unread_bytes = 0
        self.unread_since_s = 0.0
        self._callers = callers
        self._own_transport: asyncio.Transport | None = None
        self._last_payload: Any = None
        self._body_received = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self._request_in_progress and not self._messages

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait for the caller to read them."""
        transport = self._own_transport
        return transport.get_write_buffer_size() if transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        assert isinstance(transport, asyncio.Transport)
        self._own_transport = transport
        transport.max_size = _READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)
        self._callers.on_opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See base class."""
        self._own_transport = None
        self._callers.on_closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        requests = self._request_count
        is_head = self._last_payload is None or self._last_payload.is_eof()
        super().data_received(data)
        if not data:
            return
        self._callers.on_bytes(self)
        if self._request_count != requests:
            self.head_bytes = self._body_received = 0
            if self._messages:
                self._last_payload = self._messages[-1][1]
            self._callers.on_head_ended(self)
        elif is_head:
            self._on_head_bytes(len(data))
        elif not self._last_payload.is_eof():
            self._on_body_bytes(len(data))

    def pause_writing(self) -> None:
        """See base class."""
        super().pause_writing()
        self._callers.on_unread(self)

    def abort(self) -> None:
        """Closes the connection without writing what waits for the caller."""
        transport = self._own_transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def refuse_head(self) -> None:
        """Answers a head that does not end, and closes the connection."""
        if self._own_transport is not None and self.is_idle:
            self._own_transport.write(_HEAD_TIMEOUT)
        self.force_close()

    def _on_head_bytes(self, size: int) -> None:
        if not self.head_bytes:
            self.head_began_s = time.monotonic()
            self._callers.on_head_began(self)
        self.head_bytes += size
        if self.head_bytes > _MAX_HEAD_BYTES:
            self._callers.on_endless_head(self)

    def _on_body_bytes(self, size: int) -> None:
        self._body_received += size
        body_bytes = self._last_payload.total_bytes
        if self._body_received - body_bytes > (
            _MAX_HEAD_BYTES + _MAX_FRAMING_PER_BYTE * body_bytes
        ):
            self._callers.on_endless_head(self)


class CallerConnections:
    """Connections of callers, and the budget of bytes of their requests.

    Attributes:
      budget: Budget of bytes.
      accepts: Connections that are accepted at once.
    """

    def __init__(
        self,
        cfg: settings_lib.GatewaySettings,
        metrics: gateway_metrics.GatewayMetrics,
        table: Callable[[], route_table.RouteTable | None],
    ) -> None:
        """Creates the limits of a process.

        Args:
          cfg: Settings with the limits of the VM.
          metrics: Metrics of the gateway.
          table: Returns the configuration; None before it is read.
        """
        memory = machine_memory.limit_bytes(cfg.memory_mb)
        bytes_cfg = byte_budget.make_config(memory)
        self.budget = byte_budget.ByteBudget(bytes_cfg)
        conn_cfg = connection_limit.make_config(
            cfg.max_fds, byte_budget.uncounted_bytes(memory, bytes_cfg)
        )
        self.accepts = conn_cfg.accepts
        self._limit: connection_limit.ConnectionLimit[CallerConnection] = (
            connection_limit.ConnectionLimit(conn_cfg, lambda c: c.is_idle)
        )
        self._metrics = metrics
        self._table = table
        self._heads: set[CallerConnection] = set()
        self._unread: set[CallerConnection] = set()
        self._log_limits: dict[str, log_limit.LogLimit] = {}
        metrics.follow_callers(
            lambda: self.budget.held + self.budget.unread,
            lambda: len(self._limit),
        )

    @contextlib.contextmanager
    def holding(self) -> Iterator[byte_budget.Holding]:
        """Counts the bytes of a request until its response has ended."""
        holding = self.budget.open("")
        try:
            yield holding
        finally:
            holding.release()
            if holding.refused is not None:
                self.on_refused(holding.refused.value)

    def on_opened(self, conn: CallerConnection) -> None:
        """Records a connection; closes one if there are too many."""
        closed = self._limit.on_opened(conn)
        if closed is None:
            return
        self.on_refused("connection" if closed is conn else "idle_connection")
        closed.abort()

    def on_closed(self, conn: CallerConnection) -> None:
        """Records the end of a connection."""
        self._limit.on_closed(conn)
        self._heads.discard(conn)
        self._unread.discard(conn)

    def on_bytes(self, conn: CallerConnection) -> None:
        """Records that bytes of a connection have arrived."""
        self._limit.on_bytes(conn)

    def on_head_began(self, conn: CallerConnection) -> None:
        """Records the first bytes of a head."""
        self._heads.add(conn)

    def on_head_ended(self, conn: CallerConnection) -> None:
        """Records the end of a head."""
        self._heads.discard(conn)

    def on_endless_head(self, conn: CallerConnection) -> None:
        """Closes a connection whose head, trailers or framing don't end."""
        self.on_refused("long_head")
        conn.abort()

    def on_unread(self, conn: CallerConnection) -> None:
        """Records that a caller reads more slowly than it is written to."""
        conn.unread_bytes = conn.waiting_bytes
        conn.unread_since_s = time.monotonic()
        self._unread.add(conn)

    def on_refused(self, reason: str) -> None:
        """Counts and logs what a limit has refused or closed.

        Args:
          reason: Label of the metric.
        """
        self._metrics.on_caller_refused(reason)
        limit = self._log_limits.setdefault(
            reason, log_limit.LogLimit(_LOG_INTERVAL_S)
        )
        suppressed = limit.on_event(time.monotonic())
        if suppressed is not None:
            _log.warning(
                "client limit reached",
                reason=reason,
                more_before=suppressed,
                held_bytes=self.budget.held,
                unread_bytes=self.budget.unread,
                connections=len(self._limit),
            )

    async def run(self) -> None:
        """Ends heads and answers without progress, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._check(time.monotonic())

    def _check(self, now_s: float) -> None:
        table = self._table()
        limits = table.limits if table else route_lib.Limits()
        for conn in [*self._heads]:
            is_late = now_s - conn.head_began_s > limits.header_timeout_s
            if is_late and conn.is_idle:
                self._heads.discard(conn)
                self.on_refused("slow_head")
                conn.refuse_head()
        for conn in [*self._unread]:
            self._check_unread(conn, now_s, limits.idle_timeout_s)
        self.budget.unread = sum(conn.unread_bytes for conn in self._unread)

    def _check_unread(
        self, conn: CallerConnection, now_s: float, timeout_s: float
    ) -> None:
        waiting = conn.waiting_bytes
        if not waiting:
            self._unread.discard(conn)
        elif waiting < conn.unread_bytes:
            conn.unread_since_s = now_s
        elif now_s - conn.unread_since_s > timeout_s:
            self.on_refused("unread_answer")
            conn.abort()
        conn.unread_bytes = waiting


class CallerServer(web.Server):
    """Server of aiohttp whose connections are bounded."""

    def __init__(
        self, handler: Handler, callers: CallerConnections, **options: Any
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._callers = callers
        self._options = options

    def __call__(self) -> CallerConnection:
        """See base class."""
        return CallerConnection(
            self, self._callers, loop=self._loop, **self._options
        )
