"""A backend server that answers with given bytes."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket
import struct

import attrs


@attrs.define
class ScriptedBackend:
    """A server that answers each request with the next of its scripts.

    Attributes:
      address: `host:port`.
      scripts: Bytes of the next answers, in order.
      reset: Whether connections are reset after an answer.
      close: Whether connections are closed after an answer.
      requests: Heads of the requests received.
    """

    address: str = ""
    scripts: list[bytes] = attrs.field(factory=list)
    reset: bool = False
    close: bool = False
    requests: list[bytes] = attrs.field(factory=list)
    _closed: bool = False
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def send_more(self, data: bytes) -> None:
        """Sends more bytes on the newest connection."""
        self._writers[-1].write(data)
        await self._writers[-1].drain()

    async def wait_for_request(self) -> None:
        """Returns when the first request has arrived."""
        while not self.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    async def wait_until_closed(self) -> None:
        """Returns when a connection has ended."""
        while not self._closed:  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(self.scripts.pop(0))
                await writer.drain()
                if self.reset:
                    # The answer must arrive before the reset.
                    await asyncio.sleep(0.05)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                if self.reset or self.close:
                    break
        self._closed = True
        writer.close()


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[ScriptedBackend]:
    """Starts a scripted backend server on the loopback interface."""
    backend = ScriptedBackend()
    server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    backend.address = f"{host}:{port}"
    try:
        yield backend
    finally:
        server.close()


def answer(
    attempt_id: str = "a1",
    *,
    status: str = "200 OK",
    headers: tuple[str, ...] = ("X-Server-Stamp: s", "Content-Length: 2"),
    body: bytes = b"ok",
) -> bytes:
    """Returns the bytes of an HTTP response."""
    lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {attempt_id}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body
