"""The server side of the TCP links between peers."""

import asyncio

from hibiscuspass.backends import tcp_server
from hibiscuspass.peers import frame_protocol
from hibiscuspass.peers import link


class StreamServer(link.Server):
    """Handles up to `max_handlers` requests at a time; others wait."""

    def __init__(
        self, listen: str, max_message_bytes: int, max_handlers: int
    ) -> None:
        self._listen = listen
        self._max_message_bytes = max_message_bytes
        self._slots = asyncio.Semaphore(max_handlers)
        self._server: asyncio.Server | None = None
        self._handle: link.FrameHandler | None = None
        self._connections: set[frame_protocol.FrameProtocol] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, handle: link.FrameHandler) -> str:
        """See base class."""
        self._handle = handle
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, int(port)
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """See base class."""
        if self._server is None:
            return
        server, self._server = self._server, None
        await tcp_server.stop_accepting(server)
        server.close()
        for connection in list(self._connections):
            connection.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _make_protocol(self) -> frame_protocol.FrameProtocol:
        connection = frame_protocol.FrameProtocol(
            self._max_message_bytes,
            self._on_frame,
            self._connections.discard,
        )
        self._connections.add(connection)
        return connection

    def _on_frame(
        self,
        connection: frame_protocol.FrameProtocol,
        number: int,
        frame: bytes,
    ) -> None:
        task = asyncio.create_task(self._reply(connection, number, frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reply(
        self,
        connection: frame_protocol.FrameProtocol,
        number: int,
        frame: bytes,
    ) -> None:
        assert self._handle is not None
        async with self._slots:
            reply = await self._handle(frame)
        if reply is not None:
            connection.write(number, reply)
