"""Client of the platform's metadata store.

Source: the platform's protocol page, "The platform's metadata store".
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import functools
import http
import json
from typing import Any
from typing import TypeVar

import aiohttp

from hibiscuspass.backends import connection_pools
from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import store_era
from hibiscuspass.platform import store_replies

_NOT_EXECUTED_STATUSES = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
# Lease of keys that stay until they are removed.
_NO_LEASE = 0

# Longest pause within a reply, and longest time of a whole one. A page has
# about 1 MB, which the slowest links transfer in seconds.
_MAX_PAUSE_S = 1.5
_MAX_TRANSFER_S = 15.0
# No reply of the store has as many bytes.
_MAX_REPLY_BYTES = 64 << 20

_ReadBody = Callable[
    [aiohttp.ClientResponse, asyncio.Timeout], Awaitable[bytes]
]
_T = TypeVar("_T")
# Decodes the status and the body of a reply.
_Decode = Callable[[int, Any], _T | refusal.Refusal]


class _ReplyTooLongError(Exception):
    """A reply is longer than its caller accepts."""


class _OtherEraError(Exception):
    """The answer does not come from the era in which the call began."""


class StoreClient(txn_store.TxnStore):
    """Client of the store over HTTP/1.1 with JSON bodies."""

    def __init__(self, address: str) -> None:
        self.era = store_era.StoreEra()
        self._base = f"http://{address}"
        self._pools = connection_pools.ConnectionPools()

    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class."""
        return await self._call(
            "GET",
            "/v1/kv-key",
            timeout_s,
            store_replies.decode_found,
            {"key": key},
        )

    async def get_prefix(
        self,
        prefix: str,
        *,
        timeout_s: float,
        stale_ok: bool = False,
        on_reply: txn_store.OnReply | None = None,
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class; the revision is that of the first page."""
        query = {"path_prefix": prefix}
        if stale_ok:
            query["serializable"] = "1"
        entries: list[kv_store.KeyValue] = []
        revision: int | None = None
        while True:
            page = await self._call(
                "GET",
                "/v1/kv-range",
                timeout_s,
                store_replies.decode_page,
                query,
                read_body=functools.partial(_read_large, on_reply=on_reply),
            )
            if isinstance(page, refusal.Refusal):
                return page
            entries += page.entries
            # The pages are no snapshot. A poll from the revision of the first
            # page reads all changes that were made between the pages.
            revision = page.revision if revision is None else revision
            if not page.has_more or not page.entries:
                return kv_store.ReadResult(tuple(entries), revision)
            query["after"] = entries[-1].key

    async def poll(
        self,
        prefix: str,
        after: int,
        *,
        wait_s: float,
        timeout_s: float,
        max_bytes: int | None = None,
        on_reply: txn_store.OnReply | None = None,
    ) -> txn_store.PollResult | refusal.Refusal:
        """See base class."""
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_s * 1000)),
        }
        return await self._call(
            "GET",
            "/v1/kv-watch",
            timeout_s,
            functools.partial(store_replies.decode_changes, after),
            query,
            read_body=functools.partial(
                _read_large, on_reply=on_reply, max_bytes=max_bytes
            ),
        )

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        *,
        timeout_s: float,
        lease: txn_store.Lease | None = None,
    ) -> txn_store.Committed | txn_store.Conflict | refusal.Refusal:
        """See base class."""
        lease_id = lease.lease_id if lease else _NO_LEASE
        body = {
            "expected_rev": [
                {"key": key, "revision": rev} for key, rev in expected.items()
            ],
            "writes": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease": lease_id,
                }
                for key, value in writes.items()
            ],
            "remove": list(deletes),
        }
        return await self._call(
            "POST",
            "/v1/kv-txn",
            timeout_s,
            functools.partial(store_replies.decode_outcome, lease),
            body=body,
            other_era=reason_lib.Reason.TIMEOUT,
        )

    async def create_lease(
        self, ttl_s: float, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class."""
        body = {"ttl_ms": round(ttl_s * 1000)}
        return await self._call(
            "POST",
            "/v1/kv-lease",
            timeout_s,
            store_replies.decode_lease,
            body=body,
        )

    async def renew_lease(
        self, lease: txn_store.Lease, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class."""
        return await self._call(
            "POST",
            f"/v1/kv-keep/{lease.lease_id}",
            timeout_s,
            functools.partial(store_replies.decode_renewal, lease),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pools.close()

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        decode: _Decode[_T],
        query: Mapping[str, str] | None = None,
        *,
        body: object = None,
        read_body: _ReadBody | None = None,
        other_era: reason_lib.Reason = reason_lib.Reason.STALE,
    ) -> _T | refusal.Refusal:
        check_era = functools.partial(self._check_era, self.era.current)
        async with self._pools.use() as pool:
            try:
                reply = await _exchange(
                    pool.session,
                    method,
                    self._base + path,
                    timeout_s,
                    query,
                    body,
                    read_body,
                    check_era,
                )
                if isinstance(reply, refusal.Refusal):
                    return reply
                return decode(*reply)
            except _ReplyTooLongError as exc:
                return refusal.Refusal(
                    reason_lib.Reason.STALE, f"{path}: {exc}"
                )
            except _OtherEraError as exc:
                return refusal.Refusal(other_era, f"{path}: {exc}")
            except aiohttp.ClientConnectorError as exc:
                return refusal.Refusal(
                    reason_lib.Reason.UNAVAILABLE, f"{path}: {exc}"
                )
            except (
                TimeoutError,
                aiohttp.ClientError,
                OSError,
            ) as exc:
                if isinstance(exc, TimeoutError):
                    self._pools.retire(pool)
                return refusal.Refusal(
                    reason_lib.Reason.TIMEOUT, f"{path}: {exc or 'no reply'}"
                )
            except store_replies.DECODE_ERRORS as exc:
                return refusal.Refusal(
                    reason_lib.Reason.TIMEOUT,
                    f"{path}: malformed reply: {type(exc).__name__}: {exc}",
                )

    def _check_era(
        self, started_in: int | None, resp: aiohttp.ClientResponse
    ) -> None:
        """Records the era of an answer.

        Raises:
          _OtherEraError: The answer is not from the era in which its call
            began, or late.
        """
        era = store_replies.decode_era(resp.headers)
        if era is None:
            return
        is_newest = self.era.on_answer(era)
        if not is_newest or started_in not in (None, era):
            raise _OtherEraError(f"era {era} instead of {self.era.current}")


async def _exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    query: Mapping[str, str] | None,
    body: object,
    read_body: _ReadBody | None,
    check_era: Callable[[aiohttp.ClientResponse], None],
) -> tuple[int, Any] | refusal.Refusal:
    """Sends one call; returns the status and the decoded body.

    Raises:
      _OtherEraError: The reply comes from another era.
      _ReplyTooLongError: The reply is longer than `read_body` accepts.
      TimeoutError: The reply did not arrive in time.
      aiohttp.ClientError: The connection failed.
      OSError: The connection failed.
      RecursionError: The body is nested too deeply.
      ValueError: The body is no JSON.
    """
    data = None if body is None else json.dumps(body).encode()
    async with (
        asyncio.timeout(timeout_s) as limit,
        session.request(
            method,
            url,
            params=query,
            data=data,
            headers={"Content-Type": "application/json"},
        ) as resp,
    ):
        check_era(resp)
        if read_body:
            text = await read_body(resp, limit)
        else:
            text = await resp.read()
        if resp.status in _NOT_EXECUTED_STATUSES:
            return refusal.Refusal(
                reason_lib.Reason.UNAVAILABLE,
                f"{resp.url.path}: status {resp.status}",
            )
        return resp.status, json.loads(text) if text else {}


async def _read_large(
    resp: aiohttp.ClientResponse,
    limit: asyncio.Timeout,
    *,
    on_reply: txn_store.OnReply | None = None,
    max_bytes: int | None = None,
) -> bytes:
    """Reads a reply that may be large for the link.

    The time limit moves with each piece of data, since a transfer that starts
    again after a fixed time would never end on a link that needs longer.

    Raises:
      _ReplyTooLongError: The reply has more than `max_bytes`.
      TimeoutError: No data arrived for too long.
    """
    max_bytes = _MAX_REPLY_BYTES if max_bytes is None else max_bytes
    loop = asyncio.get_running_loop()
    data = bytearray()
    size = resp.content_length or 0
    if size > max_bytes:
        raise _ReplyTooLongError(f"more than {max_bytes} bytes")
    if on_reply:
        limit.reschedule(loop.time() + _MAX_TRANSFER_S)
        with _paused(resp):
            await on_reply(size)
    end_s = loop.time() + _MAX_TRANSFER_S
    while True:
        if len(data) > max_bytes:
            raise _ReplyTooLongError(f"more than {max_bytes} bytes")
        limit.reschedule(min(end_s, loop.time() + _MAX_PAUSE_S))
        piece = await resp.content.readany()
        if not piece:
            return bytes(data)
        data += piece


@contextlib.contextmanager
def _paused(resp: aiohttp.ClientResponse) -> Iterator[None]:
    """Stops reading a reply, so that the rest of it stays at its sender."""
    conn = resp.connection
    transport = conn.transport if conn else None
    if not isinstance(transport, asyncio.ReadTransport):
        # All of the reply has arrived.
        yield
        return
    transport.pause_reading()
    try:
        yield
    finally:
        if not transport.is_closing():
            transport.resume_reading()


def make_store(address: str) -> StoreClient:
    """Returns a client of the store.

    Args:
      address: `host:port` of the store.
    """
    return StoreClient(address)
