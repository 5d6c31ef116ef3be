"""Test server for the key-value service: an in-memory etcd v3 JSON gateway.

Run it with `python -m standins.kv --port 2379`.
"""

import asyncio
import base64
import collections
from collections.abc import Callable
import contextlib
import time
from typing import Any

from aiohttp import web
import attrs
import defopt
import msgspec

from standins import base
from standins import kv_state

MAX_VALUE_BYTES = 1_000_000
_EXPIRY_CHECK_S = 0.1
_DEFAULT_PROGRESS_S = 5.0

_NOT_FOUND = 5
_INVALID = 3


@attrs.define
class KvFaults(base.Faults):
    """Faults of the key-value service.

    Attributes:
      stall_watches: Watches stay open but send nothing.
    """

    stall_watches: bool = False


class _RequestError(Exception):
    def __init__(self, code: int, message: str, status: int) -> None:
        super().__init__(message)
        self.response = base.json_response(
            {"error": message, "code": code, "message": message},
            status=status,
        )


def _bytes(text: str | None) -> bytes:
    return base64.b64decode(text or "")


def _text(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _entry_json(entry: kv_state.Entry) -> dict[str, str]:
    fields = {
        "create_revision": entry.create_revision,
        "mod_revision": entry.mod_revision,
        "version": entry.version,
        "lease": entry.lease,
    }
    # The etcd JSON gateway omits zero values.
    numbers = {name: str(value) for name, value in fields.items() if value}
    value = {"value": _text(entry.value)} if entry.value else {}
    return {"key": _text(entry.key), **numbers, **value}


class KvStandIn(base.StandIn):
    """Simulates etcd: ranges, transactions, leases and watches.

    Transactions support only comparisons of the modification revision.
    """

    faults_type = KvFaults
    actions = (
        *base.StandIn.actions,
        "drop_watches",
        "expire_leases",
    )

    def __init__(
        self,
        *,
        progress_s: float = _DEFAULT_PROGRESS_S,
        monotonic_s: Callable[[], float] = time.monotonic,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.state = kv_state.KvState(monotonic_s)
        self.calls: collections.Counter[str] = collections.Counter()
        self._progress_s = progress_s
        self._watches: dict[int, web.Request] = {}
        self._expiry_task: asyncio.Task[None] | None = None

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the etcd gateway."""
        unary = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }
        routes = [
            web.post(path, self._unary(make_reply))
            for path, make_reply in unary.items()
        ]
        return [*routes, web.post("/v3/watch", self._watch)]

    def record(self) -> Any:
        """Returns the calls by path, the revision and the open watches."""
        return {
            "calls": dict(self.calls),
            "revision": self.state.revision,
            "watches": len(self._watches),
        }

    async def start(self) -> None:
        """Starts the server and the expiry of leases."""
        await super().start()
        self._expiry_task = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        """Stops the server."""
        if self._expiry_task:
            self._expiry_task.cancel()
        await super().stop()

    def drop_watches(self) -> None:
        """Closes the connections of all watches."""
        for request in self._watches.values():
            self.abort_connection(request)

    def expire_leases(self) -> None:
        """Revokes all leases."""
        self.state.expire(expire_all=True)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            self.state.expire()

    def _unary(
        self, make_reply: Callable[[dict[str, Any]], dict[str, Any]]
    ) -> Callable[[web.Request], Any]:
        async def handle(request: web.Request) -> web.Response:
            self.calls[request.path] += 1
            body = msgspec.json.decode(await request.read())
            try:
                return base.json_response(make_reply(body))
            except _RequestError as exc:
                return exc.response

        return handle

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.state.revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        entries = self.state.range(
            _bytes(body["key"]), _bytes(body.get("range_end"))
        )
        reply: dict[str, Any] = {"header": self._header()}
        if entries:
            reply["kvs"] = [_entry_json(e) for e in entries]
            reply["count"] = str(len(entries))
        return reply

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        value = _bytes(body.get("value"))
        if len(value) > MAX_VALUE_BYTES:
            raise _RequestError(
                _INVALID, "etcdserver: request is too large", 400
            )
        try:
            self.state.put(
                _bytes(body["key"]), value, int(body.get("lease", "0"))
            )
        except KeyError:
            message = "etcdserver: requested lease not found"
            raise _RequestError(_NOT_FOUND, message, 404) from None
        return {"header": self._header()}

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        entries = self.state.range(
            _bytes(body["key"]), _bytes(body.get("range_end"))
        )
        deleted = self.state.delete(*(e.key for e in entries))
        return {"header": self._header(), "deleted": str(deleted)}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._compare_holds(c) for c in body.get("compare", ()))
        ops = body.get("success" if succeeded else "failure", ())
        responses = [self._run_operation(op) for op in ops]
        reply = {"header": self._header(), "responses": responses}
        return {**reply, "succeeded": True} if succeeded else reply

    def _compare_holds(self, compare: dict[str, Any]) -> bool:
        if (compare["target"], compare["result"]) != ("MOD", "EQUAL"):
            raise _RequestError(_INVALID, "unsupported compare", 400)
        entry = self.state.get(_bytes(compare["key"]))
        actual = entry.mod_revision if entry else 0
        return actual == int(compare.get("mod_revision", "0"))

    def _run_operation(self, op: dict[str, Any]) -> dict[str, Any]:
        answers = {
            "request_put": ("response_put", self._put),
            "request_range": ("response_range", self._range),
            "request_delete_range": ("response_delete_range", self._delete),
        }
        (kind, body), *_ = op.items()
        name, make_reply = answers[kind]
        return {name: make_reply(body)}

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = self.state.grant(int(body["TTL"]))
        return {
            "header": self._header(),
            "ID": str(lease_id),
            "TTL": body["TTL"],
        }

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = self.state.keep_alive(int(body["ID"]))
        result = {"header": self._header(), "ID": body["ID"]}
        if ttl_s:
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        if not self.state.revoke(int(body["ID"])):
            message = "etcdserver: requested lease not found"
            raise _RequestError(_NOT_FOUND, message, 404)
        return {"header": self._header()}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls[request.path] += 1
        body = msgspec.json.decode(await request.read())["create_request"]
        key, end = _bytes(body["key"]), _bytes(body.get("range_end"))
        start_revision = int(body.get("start_revision", "0"))
        queue: asyncio.Queue[list[kv_state.Change]] = asyncio.Queue()
        stop_listening = self.state.listen(queue.put_nowait)
        if start_revision:
            queue.put_nowait(self.state.changes_from(start_revision))
        self._watches[id(request)] = request
        try:
            response = web.StreamResponse()
            response.content_type = "application/json"
            await response.prepare(request)
            if start_revision and start_revision <= self.state.compacted:
                await self._write(request, response, {"canceled": True})
                return response
            await self._write(request, response, {"created": True})
            with contextlib.suppress(ConnectionError):
                await self._send_changes(request, response, queue, key, end)
            return response
        finally:
            stop_listening()
            del self._watches[id(request)]

    async def _send_changes(
        self,
        request: web.Request,
        response: web.StreamResponse,
        queue: asyncio.Queue[list[kv_state.Change]],
        key: bytes,
        end: bytes,
    ) -> None:
        while True:
            try:
                async with asyncio.timeout(self._progress_s):
                    changes = await queue.get()
            except TimeoutError:
                await self._write(request, response, {})
                continue
            events = [
                _event_json(c)
                for c in changes
                if _in_range(c.entry.key, key, end)
            ]
            if events:
                await self._write(request, response, {"events": events})

    async def _write(
        self,
        request: web.Request,
        response: web.StreamResponse,
        result: dict[str, Any],
    ) -> None:
        await self.wait_while_blocked(request)
        if self.faults.stall_watches:
            await asyncio.Event().wait()
        line = {"result": {"header": self._header(), **result}}
        await response.write(msgspec.json.encode(line) + b"\n")


def _in_range(candidate: bytes, key: bytes, end: bytes) -> bool:
    if not end:
        return candidate == key
    return key <= candidate and (end == b"\0" or candidate < end)


def _event_json(change: kv_state.Change) -> dict[str, Any]:
    kind = {"type": "DELETE"} if change.deleted else {}
    return {**kind, "kv": _entry_json(change.entry)}


def main(
    *,
    port: int,
    host: str = "127.0.0.1",
    control_port: int | None = None,
    progress_s: float = _DEFAULT_PROGRESS_S,
) -> None:
    """Runs the key-value test server.

    Args:
      port: Port to listen on.
      host: Address to listen on.
      control_port: Extra port for faults and records, unaffected by faults.
      progress_s: Seconds between progress notifications of an idle watch.
    """
    base.run(
        lambda: KvStandIn(
            host=host,
            port=port,
            control_port=control_port,
            progress_s=progress_s,
        )
    )


if __name__ == "__main__":
    defopt.run(main)
