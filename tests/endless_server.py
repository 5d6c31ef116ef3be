"""A backend server that sends an answer without end.

Runs in the event loop of a test, or in a process of its own, so that many
connections don't take the time of the event loop that is tested.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import pathlib
import sys

_ROOT = pathlib.Path(__file__).parent.parent


class EndlessServer:
    """Sends an answer without end until its connection is closed.

    Attributes:
      sent_bytes: Bytes that were sent on all connections.
      connections: Number of connections so far.
      closed: Set once a connection was closed.
    """

    def __init__(self, start: bytes, more: bytes) -> None:
        """Initializes the server.

        Args:
          start: First bytes of each answer.
          more: Bytes that follow again and again.
        """
        self.sent_bytes = 0
        self.connections = 0
        self.closed = asyncio.Event()
        self._start = start
        self._more = more

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            # The start arrives by itself.
            await asyncio.sleep(0.05)
            while True:
                writer.write(self._more)
                self.sent_bytes += len(self._more)
                await writer.drain()
                # Other tasks may share the event loop.
                await asyncio.sleep(0)
        writer.close()
        self.closed.set()


@contextlib.asynccontextmanager
async def process(start: bytes, more: bytes) -> AsyncIterator[str]:
    """Runs an endless server in a process; yields its address.

    Args:
      start: First bytes of each answer.
      more: Bytes that follow again and again.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.endless_server",
        start.hex(),
        more.hex(),
        cwd=_ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        yield (await process.stdout.readline()).decode().strip()
    finally:
        process.kill()
        await process.wait()


async def _main(start: bytes, more: bytes) -> None:
    server = await asyncio.start_server(
        EndlessServer(start, more).serve, "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()[:2]
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(*map(bytes.fromhex, sys.argv[1:])))
