"""HTTP test server for the platform's metadata store, with faults."""

import asyncio
import base64
from collections.abc import Mapping
from collections.abc import Sequence
import json
import random
from typing import Any

from aiohttp import web
import attrs

_POLL_S = 0.02
_HISTORY = 10_000


@attrs.define
class Faults:
    """Active faults.

    Attributes:
      is_down: Whether calls are refused with status 503 and have no effect.
      is_silent: Whether calls get no reply and have no effect.
      lost_share: Fraction of the writes that are applied without a reply.
      late_share: Fraction of the writes that are applied later, without a
        reply.
    """

    is_down: bool = False
    is_silent: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0


@attrs.define
class _Lease:
    """A lease with its keys.

    Attributes:
      ttl_ms: Time in milliseconds after which it ends unless renewed.
      end: Pending call that ends it.
      keys: Keys that are removed when it ends.
    """

    ttl_ms: int
    end: asyncio.TimerHandle | None = None
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen
class Copy:
    """Copy of the store from which it can be restored.

    Attributes:
      items: Values and revisions by key.
      revision: Revision of the last change.
      events: History of changes.
      leases: Leases with their times to live in ms and their keys.
    """

    items: Mapping[str, tuple[bytes, int]]
    revision: int
    events: Sequence[dict[str, Any]]
    leases: Mapping[int, tuple[int, frozenset[str]]]


class MetadataStore:
    """Keys with revisions, conditional writes and long polls.

    Attributes:
      faults: Active faults.
      items: Current values and revisions by key.
      revision: Revision of the last change.
      era: Number in the header `Store-Era`, which a restore raises; None
        without the header.
    """

    def __init__(self, rng: random.Random, era: int | None = None) -> None:
        self.faults = Faults()
        self.items: dict[str, tuple[bytes, int]] = {}
        self.revision = 1
        self.era = era
        self._rng = rng
        self._events: list[dict[str, Any]] = []
        self._late_writes: set[asyncio.Task[None]] = set()
        self._leases: dict[int, _Lease] = {}
        self._put: dict[str, bytes] = {}

    def put(self, key: str, value: bytes) -> None:
        """Writes a key unconditionally, as operators and backend servers do."""
        self._put[key] = value
        self._apply({}, {key: value}, ())

    def put_lost(self) -> None:
        """Writes what `put` wrote and a restore has lost again."""
        for key, value in self._put.items():
            if self.items.get(key, (b"", 0))[0] != value:
                self.put(key, value)

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/v1/kv-key", self._get)
        app.router.add_get("/v1/kv-range", self._range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._txn)
        app.router.add_post("/v1/kv-lease", self._create_lease)
        app.router.add_post("/v1/kv-keep/{lease}", self._renew_lease)
        return app

    def copy(self) -> Copy:
        """Returns a copy for `restore`."""
        leases = {
            number: (lease.ttl_ms, frozenset(lease.keys))
            for number, lease in self._leases.items()
        }
        return Copy(
            dict(self.items), self.revision, tuple(self._events), leases
        )

    def restore(self, copy: Copy) -> None:
        """Returns to a copy, which loses later writes, and begins an era.

        Revisions and numbers of leases are assigned again. Writes that arrive
        late still take effect if their conditions hold.
        """
        for lease in self._leases.values():
            if lease.end:
                lease.end.cancel()
        self.items = dict(copy.items)
        self.revision = copy.revision
        self._events = list(copy.events)
        self._leases = {
            number: _Lease(ttl_ms, keys=set(keys))
            for number, (ttl_ms, keys) in copy.leases.items()
        }
        for number in self._leases:
            self._extend(number)
        self.era = (self.era or 0) + 1

    async def _add_era(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

    async def _get(self, req: web.Request) -> web.Response:
        await self._check()
        key = req.query["key"]
        if key not in self.items:
            return web.json_response({"current_rev": self.revision}, status=404)
        return web.json_response(
            {**self._item(key), "current_rev": self.revision}
        )

    async def _range(self, req: web.Request) -> web.Response:
        await self._check()
        prefix = req.query["path_prefix"]
        keys = sorted(k for k in self.items if k.startswith(prefix))
        return web.json_response(
            {
                "items": [self._item(k) for k in keys],
                "more_pages": False,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, req: web.Request) -> web.Response:
        await self._check()
        prefix, after = req.query["path_prefix"], int(req.query["after"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(req.query["wait_ms"]) / 1000
        while True:
            if after > self.revision:
                # The store was restored from an older copy.
                return web.json_response({}, status=410)
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= until_s:
                break
            await asyncio.sleep(_POLL_S)
        await self._check()
        return web.json_response(
            {"events": events, "current_rev": self.revision}
        )

    async def _txn(self, req: web.Request) -> web.Response:
        body = json.loads(await req.read())
        await self._check()
        expected = {e["key"]: e["revision"] for e in body["expected_rev"]}
        writes = {
            w["key"]: base64.b64decode(w["value"]) for w in body["writes"]
        }
        leased = {w["key"]: w["lease"] for w in body["writes"] if w["lease"]}
        if not self._leases.keys() >= set(leased.values()):
            return web.json_response({}, status=404)
        fraction = self._rng.random()
        if fraction < self.faults.late_share:
            late_write = asyncio.create_task(
                self._apply_later(expected, writes, body["remove"])
            )
            self._late_writes.add(late_write)
            late_write.add_done_callback(self._late_writes.discard)
            await self._hang()
        conflict = self._conflict(expected)
        if conflict is not None:
            return web.json_response({"items": conflict}, status=412)
        self._apply(expected, writes, body["remove"])
        for key in writes:
            for lease_id, lease in self._leases.items():
                if leased.get(key) == lease_id:
                    lease.keys.add(key)
                else:
                    lease.keys.discard(key)
        revision = self.revision
        if fraction < self.faults.late_share + self.faults.lost_share:
            await self._hang()
        return web.json_response({"revision": revision})

    async def _create_lease(self, req: web.Request) -> web.Response:
        await self._check()
        ttl_ms = int(json.loads(await req.read())["ttl_ms"])
        self.revision += 1
        lease_id = self.revision
        self._leases[lease_id] = _Lease(ttl_ms)
        self._extend(lease_id)
        return web.json_response({"lease": lease_id, "ttl_ms": ttl_ms})

    async def _renew_lease(self, req: web.Request) -> web.Response:
        await self._check()
        lease_id = int(req.match_info["lease"])
        if lease_id not in self._leases:
            return web.json_response({}, status=404)
        self._extend(lease_id)
        return web.json_response({"ttl_ms": self._leases[lease_id].ttl_ms})

    def _extend(self, lease_id: int) -> None:
        lease = self._leases[lease_id]
        if lease.end:
            lease.end.cancel()
        lease.end = asyncio.get_running_loop().call_later(
            lease.ttl_ms / 1000, self._end_lease, lease_id
        )

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id)
        self._apply({}, {}, [k for k in lease.keys if k in self.items])

    async def _check(self) -> None:
        if self.faults.is_down:
            raise web.HTTPServiceUnavailable
        if self.faults.is_silent:
            await self._hang()

    async def _hang(self) -> None:
        """Blocks for longer than any caller waits, so that no reply is sent."""
        await asyncio.sleep(3600)

    async def _apply_later(
        self, expected: Mapping[str, int], writes: Any, remove: Any
    ) -> None:
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        if self._conflict(expected) is None:
            self._apply(expected, writes, remove)

    def _conflict(
        self, expected: Mapping[str, int]
    ) -> list[dict[str, Any]] | None:
        present = {k: self.items[k][1] for k in expected if k in self.items}
        if all(present.get(k, 0) == rev for k, rev in expected.items()):
            return None
        return [self._item(k) for k in present]

    def _apply(
        self, _: Mapping[str, int], writes: Mapping[str, bytes], remove: Any
    ) -> None:
        self.revision += 1
        for key in remove:
            self.items.pop(key, None)
        for key, value in writes.items():
            self.items[key] = (value, self.revision)
        self._events += [
            {"key": key, "revision": self.revision, "tombstone": True}
            for key in remove
        ]
        # A poll returns each version of a key, not only the newest one.
        self._events += map(self._item, writes)
        del self._events[:-_HISTORY]

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created_rev": revision,
            "lease": 0,
        }
