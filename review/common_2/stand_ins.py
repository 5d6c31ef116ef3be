"""Stand-ins of the platform, of backend servers and of clients on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from typing import Any

from aiohttp import web
import attrs
import yaml

from standins import metadata_store

HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
ROOT = pathlib.Path(__file__).resolve().parents[2]
_HEAD_END = b"\r\n\r\n"
_READY_TIMEOUT_S = 20.0


def has_trouble() -> bool:
    """Returns whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of `record.txt` with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Writes one line."""
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Returns a port that is free now, and so is the next one."""
    while True:
        port = random.randrange(11_000, 19_000, 2)
        with (
            contextlib.suppress(OSError),
            socket.socket() as first,
            socket.socket() as second,
        ):
            first.bind(("127.0.0.1", port))
            second.bind(("127.0.0.1", port + 1))
            return port


@attrs.define
class Request:
    """A request that a backend server has read.

    Attributes:
      method: HTTP method.
      target: Path and query.
      headers: Headers with lower-case names.
      body: Whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("x-attempt-id", "")


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """A backend server that answers by a handler.

    The handler writes the answer and returns whether the connection stays
    open. The server rejects requests for another instance, as the platform's
    page says.

    Attributes:
      name: Id of the server.
      port: Port on loopback.
    """

    def __init__(self, name: str, handler: Handler) -> None:
        self.name = name
        self.port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening."""
        if self._server:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                req = await _read_request(reader)
                if req.headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(
                        answer(req.attempt, 421, extra="X-Not-Executed: 1\r\n")
                    )
                elif not await self._handler(req, writer):
                    break
                await writer.drain()
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = await reader.readuntil(_HEAD_END)
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def answer(
    attempt: str, status: int, body: bytes = b"", extra: str = ""
) -> bytes:
    """Returns a whole answer of a backend server."""
    head = (
        f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Server-Stamp: stamp.{attempt}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def stream_head(attempt: str) -> bytes:
    """Returns the head of a stream in chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Server-Stamp: stamp.{attempt}\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body; the last one for no data."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


@attrs.define
class Reply:
    """What a client has received.

    Attributes:
      status: Status; 0 without a head.
      headers: Headers with lower-case names.
      body: Bytes of the body.
      is_complete: Whether length or chunks show that the body is whole.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def send(
    port: int,
    target: str,
    attempt: str,
    *,
    method: str = "POST",
    key: str = KEY,
    headers: str = "",
    body: bytes = b"",
    deadline_ms: int = 5000,
) -> Reply:
    """Sends one request on a new connection and reads the answer."""
    reply = Reply()
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, TimeoutError
    ):
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                head = (
                    f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Attempt-Id: {attempt}\r\n"
                    f"X-Deadline-Ms: {deadline_ms}\r\n"
                    f"Authorization: Bearer {key}\r\n{headers}"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await _read_reply(reader, reply)
            finally:
                writer.close()
    return reply


async def _read_reply(reader: asyncio.StreamReader, reply: Reply) -> None:
    head = await reader.readuntil(_HEAD_END)
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    reply.status = int(first.split(" ")[1])
    reply.headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    if "chunked" in reply.headers.get("transfer-encoding", ""):
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            reply.body += data[:-2]
            if not size:
                reply.is_complete = True
                return
    length = int(reply.headers.get("content-length", "0"))
    while len(reply.body) < length:
        data = await reader.read(length - len(reply.body))
        if not data:
            return
        reply.body += data
    reply.is_complete = True


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route `/NAME/` of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 5000,
        "target_latency_ms": 400,
        "priority": 0,
        "max_attempts": 1,
        **more,
    }


class Deployment:
    """A small deployment: store, backend servers and gateway processes.

    Attributes:
      store: Stand-in of the platform's store.
      record: Lines of `record.txt`.
      ports: Ports for clients, by gateway.
    """

    def __init__(self, record: Record) -> None:
        self.store = metadata_store.MetadataStore(random.Random(1))
        self.record = record
        self.ports: list[int] = []
        self._ready_ports: list[int] = []
        self._paths: list[pathlib.Path] = []
        self._processes: list[asyncio.subprocess.Process | None] = []
        self._folder = tempfile.TemporaryDirectory()
        self._runner: web.AppRunner | None = None
        self._store_port = 0
        self._version = 0
        self._servers: list[Server] = []

    async def start_store(self) -> None:
        """Starts the store."""
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self._store_port = self._runner.addresses[0][1]

    def write_config(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        prepaid: int | None = None,
    ) -> None:
        """Writes a version of the operator's configuration."""
        self._version += 3
        tenant: dict[str, Any] = {"name": TENANT, "api_keys": [KEY]}
        if prepaid is not None:
            tenant["prepaid"] = prepaid
        cfg = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [tenant],
        }
        self.store.put("op/config", json.dumps(cfg).encode())

    async def start_server(
        self, name: str, service: str, handler: Handler, slots: int = 64
    ) -> Server:
        """Starts a backend server and lists it."""
        server = Server(name, handler)
        await server.start()
        self._servers.append(server)
        self.list_server(server, service, slots=slots)
        return server

    def list_server(
        self,
        server: Server,
        service: str,
        *,
        state: str = "ready",
        slots: int = 64,
    ) -> None:
        """Writes the entry of a backend server, as the server itself does."""
        entry = {
            "service": service,
            "address": f"127.0.0.1:{server.port}",
            "zone": "casa-a",
            "version": 1,
            "slots": slots,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 0,
            "born": 1_790_000_000_000,
        }
        self.store.put(f"servers/{server.name}", json.dumps(entry).encode())

    async def start_gateways(self, count: int) -> None:
        """Starts gateway processes and waits until they are ready."""
        for number in range(count):
            ports = {
                name: free_port()
                for name in ("callers", "ready", "metrics", "peers")
            }
            path = pathlib.Path(self._folder.name) / f"edge-{number}.yaml"
            path.write_text(
                yaml.safe_dump(
                    {
                        "process": {
                            "name": f"edge-{number}",
                            "failure_domain": "casa-a",
                        },
                        "listen": {
                            name: f"127.0.0.1:{port}"
                            for name, port in ports.items()
                        },
                        "store": f"127.0.0.1:{self._store_port}",
                        "repeats": {"ratio": 0.2, "slack": 58, "window_s": 10},
                        "contact_ms": 3000,
                        "grace_s": 8,
                        "max_fds": 4100,
                        "memory_mb": 300,
                    }
                )
            )
            self._paths.append(path)
            self._processes.append(None)
            self.ports.append(ports["callers"])
            self._ready_ports.append(ports["ready"])
        for number in range(count):
            await self.start_gateway(number)
        await asyncio.gather(*(self.wait_ready(n) for n in range(count)))

    async def start_gateway(self, number: int) -> None:
        """Starts one gateway with the command of the deploy file."""
        path = self._paths[number]
        with path.with_suffix(".log").open("ab") as log:
            self._processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hibiscuspass.gateway.main",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "HIBISCUSPASS_CONFIG": str(path)},
            )

    async def wait_ready(self, number: int) -> None:
        """Waits until a gateway says that it is ready."""
        end_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if await self.is_ready(number):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"edge-{number} is not ready")

    async def is_ready(self, number: int) -> bool:
        """Returns whether a gateway says that it is ready."""
        reply = await send(
            self._ready_ports[number],
            "/v1/ready",
            "",
            method="GET",
            deadline_ms=1000,
        )
        return reply.status == 200

    def pid(self, number: int) -> int:
        """Returns the process id of a gateway."""
        process = self._processes[number]
        assert process is not None
        return process.pid

    def signal(self, number: int, signum: signal.Signals) -> None:
        """Sends a signal to a gateway that this deployment has started."""
        self.record.write(f"{signum.name} to edge-{number}")
        process = self._processes[number]
        if process is not None and process.returncode is None:
            process.send_signal(signum)

    async def wait_end(self, number: int) -> int:
        """Waits until a gateway has ended; returns its exit status."""
        process = self._processes[number]
        assert process is not None
        return await process.wait()

    def log(self, number: int) -> str:
        """Returns what a gateway has written."""
        return self._paths[number].with_suffix(".log").read_text()

    async def close(self) -> None:
        """Ends all processes and servers."""
        for process in self._processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for server in self._servers:
            server.close()
        if self._runner:
            await self._runner.cleanup()
        self._folder.cleanup()


def run(
    case: Callable[[Deployment, Record], Awaitable[bool]],
    folder: pathlib.Path,
    limit_s: float = 110.0,
) -> int:
    """Runs a case.

    Args:
      case: Returns whether the rule held.
      folder: Folder of the case, for `record.txt`.
      limit_s: Longest time in seconds.

    Returns:
      0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
    """
    record = Record(folder)

    async def play() -> bool:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(limit_s):
                return await case(deployment, record)
        except Exception:
            for number in range(len(deployment.ports)):
                record.write(f"edge-{number}: {deployment.log(number)[-600:]}")
            raise
        finally:
            await deployment.close()

    try:
        holds = asyncio.run(play())
    except Exception as exc:  # Any failure of the case itself.
        record.write(f"the case could not run: {type(exc).__name__}: {exc}")
        return 2
    record.write("the rule held" if holds else "the rule was broken")
    return 0 if holds else 1
