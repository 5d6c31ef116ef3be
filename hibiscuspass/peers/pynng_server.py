"""The server side of the peer links."""

import asyncio
import contextlib

import pynng

from hibiscuspass.peers import link


class Server(link.Server):
    """Receives request frames and handles up to `max_handlers` concurrently."""

    def __init__(
        self, listen: str, max_message_bytes: int, max_handlers: int
    ) -> None:
        self._listen = listen
        self._max_message_bytes = max_message_bytes
        self._max_handlers = max_handlers
        self._socket: pynng.Rep0 | None = None
        self._contexts: list[pynng.Context] = []
        self._workers: list[asyncio.Task[None]] = []

    async def start(self, handle: link.FrameHandler) -> str:
        """See base class."""
        self._socket = pynng.Rep0(
            recv_max_size=self._max_message_bytes, async_backend="asyncio"
        )
        self._socket.tcp_nodelay = True
        self._socket.listen(f"tcp://{self._listen}")
        self._contexts = [
            self._socket.new_context() for _ in range(self._max_handlers)
        ]
        self._workers = [
            asyncio.create_task(self._serve(context, handle))
            for context in self._contexts
        ]
        return str(self._socket.listeners[0].local_address)

    async def close(self) -> None:
        """See base class."""
        if self._socket is None:
            return
        socket, self._socket = self._socket, None
        for worker in self._workers:
            worker.cancel()
        for context in self._contexts:
            with contextlib.suppress(pynng.NNGException):
                context.close()
        await asyncio.gather(*self._workers, return_exceptions=True)
        socket.close()

    async def _serve(
        self, context: pynng.Context, handle: link.FrameHandler
    ) -> None:
        while self._socket is not None:
            try:
                frame = await context.arecv()
            except pynng.Closed:
                return
            except pynng.NNGException:
                continue
            reply = await handle(frame)
            if reply is None:
                continue
            # The requester may have disconnected.
            with contextlib.suppress(pynng.NNGException):
                await context.asend(reply)
