"""Runners: back ends that register in the store and serve HTTP/1.1."""

import abc
import asyncio
import collections
from collections.abc import Mapping
import contextlib
import json
import os
import time

import attrs
import case_record
import metadata

HEARTBEAT_S = 1.2
# An entry is removed after three intervals of silence.
_LAPSE_S = 3 * HEARTBEAT_S


@attrs.frozen
class Request:
    """A request as a runner received it."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("x-attempt-id", "")


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in rest if line)
    }
    method, path, _ = first.split(" ", 2)
    size = int(headers.get("content-length", "0"))
    return Request(method, path, headers, await reader.readexactly(size))


class Runner(abc.ABC):
    """A runner of one service; each start is a new boot with a new id.

    Attributes:
      name: Name for the record.
      boot_id: Id of the running boot; empty while it is down.
      running: Number of requests in progress.
      arrivals: Times in the record and ids of the requests that arrived.
      runs: Number of runs by attempt.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        store: metadata.Store,
        record: case_record.Record,
    ) -> None:
        self.name = name
        self.boot_id = ""
        self._service = service
        self._zone = zone
        self._slots = slots
        self._store = store
        self.record = record
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None
        self._lapses: set[asyncio.Task[None]] = set()
        self.running = 0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Starts a boot and registers it."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.boot_id = f"i-{os.urandom(4).hex()}"
        self.running = 0
        self._beats = asyncio.create_task(
            self._beat(self.boot_id, f"{host}:{port}", int(time.time() * 1000))
        )

    def begin_run(self, req: Request) -> None:
        """Records that the runner begins to work on a request."""
        self.runs[req.attempt_id] += 1
        self.record.add(
            "ran", id=req.attempt_id, runner=self.name, boot=self.boot_id
        )

    def crash(self) -> None:
        """Ends the boot without a word, as when its process is killed."""
        if self._server is None:
            return
        self.record.add("crashed", runner=self.name, boot=self.boot_id)
        self._server.close()
        self._server = None
        key = f"servers/{self.boot_id}"
        self.boot_id = ""
        if self._beats:
            self._beats.cancel()
        lapse = asyncio.create_task(self._lapse(key))
        self._lapses.add(lapse)
        lapse.add_done_callback(self._lapses.discard)
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    async def close(self) -> None:
        """Ends the runner at the end of the case."""
        for task in (*self._tasks, *self._lapses):
            task.cancel()
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()

    @abc.abstractmethod
    async def serve(
        self,
        req: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers a request that this boot has accepted."""

    async def _lapse(self, key: str) -> None:
        await asyncio.sleep(_LAPSE_S)
        self._store.remove(key)

    async def _beat(self, boot_id: str, address: str, born_ms: int) -> None:
        sequence = 0
        while True:
            entry = {
                "service": self._service,
                "address": address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": sequence,
                "born": born_ms,
            }
            self._store.state.put(
                f"servers/{boot_id}", json.dumps(entry).encode()
            )
            sequence += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, OSError, asyncio.CancelledError
            ):
                while True:
                    await self._serve_next(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        req = await _read_request(reader)
        if req.headers.get("x-expect-instance", self.boot_id) != self.boot_id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return
        self.arrivals.append((self.record.now_s(), req.attempt_id))
        self.record.add(
            "arrived",
            id=req.attempt_id,
            runner=self.name,
            boot=self.boot_id,
            path=req.path,
        )
        if self.running >= self._slots:
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return
        self.running += 1
        try:
            await self.serve(req, reader, writer)
        finally:
            self.running -= 1
