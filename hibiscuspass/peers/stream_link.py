"""A TCP connection to one peer that carries concurrent requests."""

import asyncio
import itertools
import socket

from hibiscuspass.backends import sockets
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.peers import frame_protocol
from hibiscuspass.peers import link


class StreamLink(link.Link):
    """Link over a TCP stream; replies are matched by number."""

    def __init__(self, address: str, max_message_bytes: int) -> None:
        super().__init__(address)
        self._max_message_bytes = max_message_bytes
        self._numbers = itertools.count()
        self._pending: dict[int, asyncio.Future[bytes]] = {}
        self._protocol: frame_protocol.FrameProtocol | None = None
        self._is_retired = False

    async def connect(self, timeout_s: float) -> refusal.Refusal | None:
        """See base class."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                sock = sockets.make_socket(
                    (socket.AF_INET, socket.SOCK_STREAM, 0, "", ())
                )
                try:
                    await loop.sock_connect(sock, (host, int(port)))
                except BaseException:
                    sock.close()
                    raise
                _, self._protocol = await loop.create_connection(
                    self._make_protocol, sock=sock
                )
        except (OSError, ValueError) as exc:
            return self._unavailable(str(exc) or "connect timed out")
        return None

    async def exchange(
        self, frame: bytes, timeout_s: float
    ) -> bytes | refusal.Refusal:
        """See base class."""
        if self._protocol is None:
            return self._unavailable("connection lost")
        number = next(self._numbers)
        fut: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        self.in_flight += 1
        try:
            self._protocol.write(number, frame)
            async with asyncio.timeout(timeout_s):
                return await fut
        except (TimeoutError, ConnectionError) as exc:
            return refusal.Refusal(
                reason_lib.Reason.TIMEOUT,
                f"peer {self.address}: {exc or 'no reply in time'}",
            )
        finally:
            self.in_flight -= 1
            self._pending.pop(number, None)
            if self._is_retired and not self.in_flight:
                self.close()

    def retire(self) -> None:
        """See base class."""
        self._is_retired = True
        if not self.in_flight:
            self.close()

    def close(self) -> None:
        """See base class."""
        if self._protocol:
            self._protocol.close()

    def _make_protocol(self) -> frame_protocol.FrameProtocol:
        return frame_protocol.FrameProtocol(
            self._max_message_bytes, self._on_frame, self._on_lost
        )

    def _on_frame(
        self, _: frame_protocol.FrameProtocol, number: int, frame: bytes
    ) -> None:
        fut = self._pending.get(number)
        # A late reply may arrive after its request has timed out.
        if fut and not fut.done():
            fut.set_result(frame)

    def _on_lost(self, _: frame_protocol.FrameProtocol) -> None:
        self._protocol = None
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError("connection lost"))

    def _unavailable(self, detail: str) -> refusal.Refusal:
        return refusal.Refusal(
            reason_lib.Reason.UNAVAILABLE, f"peer {self.address}: {detail}"
        )
