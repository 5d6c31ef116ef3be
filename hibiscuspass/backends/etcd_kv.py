"""Adapter to the key-value service, over the etcd v3 JSON gateway.

The format is that of the etcd v3.5 API reference, gRPC gateway. Keys and
values are encoded in base64, 64-bit integers as strings, and fields with zero
values are omitted.
"""

import base64
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from hibiscuspass.backends import byte_stream
from hibiscuspass.backends import http_client
from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

# Largest value that the service stores.
MAX_VALUE_BYTES = 1_000_000
_CONNECTION_LIMIT = 64
# On a healthy watch the service sends progress notifications at shorter
# intervals.
_WATCH_IDLE_S = 20.0
_MAX_WATCH_LINE_BYTES = 8 * 1024 * 1024
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024

# gRPC status codes in error bodies.
_GRPC_NOT_FOUND = 5
_GRPC_RESOURCE_EXHAUSTED = 8


class _Header(msgspec.Struct):
    revision: str = "0"


class _Kv(msgspec.Struct):
    key: str = ""
    value: str = ""
    mod_revision: str = "0"


class _Range(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    kvs: list[_Kv] = []


class _TxnOp(msgspec.Struct):
    response_range: _Range | None = None


class _Txn(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    succeeded: bool = False
    responses: list[_TxnOp] = []


class _Lease(msgspec.Struct):
    id: str = msgspec.field(name="ID", default="0")
    ttl: str = msgspec.field(name="TTL", default="0")


class _KeepAlive(msgspec.Struct):
    result: _Lease = msgspec.field(default_factory=_Lease)


class _WatchChange(msgspec.Struct):
    kv: _Kv = msgspec.field(default_factory=_Kv)
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    events: list[_WatchChange] = []
    canceled: bool = False


class _WatchLine(msgspec.Struct):
    result: _WatchResult | None = None


class _Error(msgspec.Struct):
    code: int = 0
    message: str = ""


def _encode_key(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode_key(text: str) -> str:
    return base64.b64decode(text).decode()


def _range_end(prefix: str) -> str:
    """Returns the encoded, exclusive end of the key range of a prefix."""
    raw = prefix.encode().rstrip(b"\xff")
    # A range end of one zero byte means all keys from the start of the range.
    end = raw[:-1] + bytes([raw[-1] + 1]) if raw else b"\0"
    return base64.b64encode(end).decode()


def _prefix_range(prefix: str) -> dict[str, Any]:
    # The service rejects an empty key; one zero byte is the smallest key.
    return {"key": _encode_key(prefix or "\0"), "range_end": _range_end(prefix)}


def _key_value(kv: _Kv) -> kv_store.KeyValue:
    return kv_store.KeyValue(
        _decode_key(kv.key), base64.b64decode(kv.value), int(kv.mod_revision)
    )


def _error_refusal(path: str, reply: http_client.Reply) -> refusal.Refusal:
    try:
        error = msgspec.json.decode(reply.body, type=_Error)
    except msgspec.MsgspecError:
        error = _Error()
    detail = f"key-value service {path}: status {reply.status} {error.message}"
    if error.code == _GRPC_NOT_FOUND:
        return refusal.Refusal(reason_lib.Reason.NOT_FOUND, detail)
    if error.code == _GRPC_RESOURCE_EXHAUSTED:
        return refusal.Refusal(reason_lib.Reason.UNAVAILABLE, detail)
    if reply.status < 500:
        return refusal.Refusal(reason_lib.Reason.INVALID_REQUEST, detail)
    # The write may have taken effect before a server error.
    return refusal.Refusal(
        reason_lib.Reason.TIMEOUT, detail, run=run_state.RunState.UNKNOWN
    )


class EtcdKv(kv_store.KvStore):
    """Adapter to one endpoint of the service."""

    def __init__(
        self, base_url: str, *, watch_idle_s: float = _WATCH_IDLE_S
    ) -> None:
        self._client = http_client.HttpClient(
            base_url,
            connection_limit=_CONNECTION_LIMIT,
            max_response_bytes=_MAX_RESPONSE_BYTES,
        )
        # Each watch keeps a connection open, so watches have a client of their
        # own and do not use up the connection limit of other calls.
        self._watch_client = http_client.HttpClient(base_url)
        self._watch_idle_s = watch_idle_s

    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads one key; linearizable."""
        return await self._read({"key": _encode_key(key)}, timeout_s)

    async def get_prefix(
        self, prefix: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads all keys with a prefix; linearizable."""
        return await self._read(_prefix_range(prefix), timeout_s)

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        *,
        lease_id: int = 0,
        timeout_s: float,
    ) -> kv_store.CasResult | refusal.Refusal:
        """Writes or deletes a key if its revision is the expected one."""
        if value is not None and len(value) > MAX_VALUE_BYTES:
            return refusal.Refusal(
                reason_lib.Reason.BODY_TOO_LARGE,
                f"value of {len(value)} bytes for key {key!r}: at most"
                f" {MAX_VALUE_BYTES} are allowed",
            )
        encoded_key = _encode_key(key)
        txn = await self._post(
            "/v3/kv/txn",
            {
                "compare": [
                    {
                        "key": encoded_key,
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": str(expected_revision),
                    }
                ],
                "success": [_write_op(encoded_key, value, lease_id)],
                "failure": [{"request_range": {"key": encoded_key}}],
            },
            _Txn,
            timeout_s,
        )
        if isinstance(txn, refusal.Refusal):
            return txn
        if txn.succeeded:
            return kv_store.CasResult(True, int(txn.header.revision))
        current = [
            _key_value(kv)
            for op in txn.responses
            if op.response_range
            for kv in op.response_range.kvs
        ]
        return kv_store.CasResult(False, 0, current[0] if current else None)

    async def grant_lease(
        self, ttl_s: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Creates a lease and returns its id."""
        lease = await self._post(
            "/v3/lease/grant", {"TTL": str(ttl_s)}, _Lease, timeout_s
        )
        return lease if isinstance(lease, refusal.Refusal) else int(lease.id)

    async def keep_alive(
        self, lease_id: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Renews a lease and returns its TTL in seconds."""
        path = "/v3/lease/keepalive"
        reply = await self._post(
            path, {"ID": str(lease_id)}, _KeepAlive, timeout_s
        )
        if isinstance(reply, refusal.Refusal):
            return reply
        ttl_s = int(reply.result.ttl)
        if ttl_s <= 0:
            return refusal.Refusal(
                reason_lib.Reason.NOT_FOUND,
                f"key-value service {path}: lease {lease_id} has expired",
            )
        return ttl_s

    async def revoke_lease(
        self, lease_id: int, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Revokes a lease; it is no error if the lease no longer exists."""
        reply = await self._post(
            "/v3/lease/revoke", {"ID": str(lease_id)}, dict, timeout_s
        )
        if not isinstance(reply, refusal.Refusal):
            return None
        if reply.reason is reason_lib.Reason.NOT_FOUND:
            return None
        return reply

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[kv_store.WatchEvent]:
        """Yields changes of keys with a prefix until the watch is lost.

        Args:
          prefix: Prefix of the watched keys.
          from_revision: First revision to report; 0 for future changes only.
        """
        exchange = await self._watch_client.open(
            "POST",
            "/v3/watch",
            body=_watch_request(prefix, from_revision),
            timeout_s=self._watch_idle_s,
        )
        if isinstance(exchange, http_client.Failure):
            return
        stream = byte_stream.ByteStream(exchange, self._watch_idle_s)
        try:
            if exchange.response.status != 200:
                return
            async for line in _watch_lines(stream):
                result = line.result
                if result is None or result.canceled:
                    return
                for change in result.events:
                    yield _watch_event(change)
        except msgspec.MsgspecError:
            return
        finally:
            await stream.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()
        await self._watch_client.close()

    async def _read(
        self, body: dict[str, Any], timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        reply = await self._post("/v3/kv/range", body, _Range, timeout_s)
        if isinstance(reply, refusal.Refusal):
            return reply
        return kv_store.ReadResult(
            tuple(_key_value(kv) for kv in reply.kvs),
            int(reply.header.revision),
        )

    async def _post(
        self, path: str, body: dict[str, Any], reply_type: Any, timeout_s: float
    ) -> Any | refusal.Refusal:
        reply = await self._client.call(
            "POST", path, body=msgspec.json.encode(body), timeout_s=timeout_s
        )
        if isinstance(reply, http_client.Failure):
            return http_client.call_refusal(f"key-value service {path}", reply)
        if reply.status != 200:
            return _error_refusal(path, reply)
        try:
            return msgspec.json.decode(reply.body, type=reply_type)
        except msgspec.MsgspecError as exc:
            failure = http_client.Failure(True, False, str(exc))
            return http_client.call_refusal(
                f"key-value service {path}", failure
            )


def _write_op(
    encoded_key: str, value: bytes | None, lease_id: int
) -> dict[str, Any]:
    if value is None:
        return {"request_delete_range": {"key": encoded_key}}
    put = {"key": encoded_key, "value": base64.b64encode(value).decode()}
    if lease_id:
        put["lease"] = str(lease_id)
    return {"request_put": put}


def _watch_request(prefix: str, from_revision: int) -> bytes:
    create = {**_prefix_range(prefix), "progress_notify": True}
    if from_revision:
        create["start_revision"] = str(from_revision)
    return msgspec.json.encode({"create_request": create})


def _watch_event(change: _WatchChange) -> kv_store.WatchEvent:
    deleted = change.type == "DELETE"
    return kv_store.WatchEvent(
        _decode_key(change.kv.key),
        None if deleted else base64.b64decode(change.kv.value),
        int(change.kv.mod_revision),
    )


async def _watch_lines(
    stream: byte_stream.ByteStream,
) -> AsyncIterator[_WatchLine]:
    decoder = msgspec.json.Decoder(_WatchLine)
    tail = b""
    while True:
        chunk = await stream.read()
        if isinstance(chunk, http_client.Failure) or not chunk:
            return
        *lines, tail = (tail + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield decoder.decode(line)
        if len(tail) > _MAX_WATCH_LINE_BYTES:
            return


def make_etcd_kv(address: str) -> EtcdKv:
    """Creates the adapter for a service at `host:port` or a full URL."""
    return EtcdKv(http_client.base_url(address))
