"""Numbered frames on a TCP stream."""

import asyncio
from collections.abc import Callable
import struct

# Length of the frame in bytes and number of its request.
_HEADER = struct.Struct("!IQ")


class FrameProtocol(asyncio.Protocol):
    """Reads and writes frames.

    A frame above the maximum size closes the connection.
    """

    def __init__(
        self,
        max_frame_bytes: int,
        on_frame: Callable[["FrameProtocol", int, bytes], None],
        on_lost: Callable[["FrameProtocol"], None],
    ) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """See base class."""
        self._buffer += data
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            length, number = _HEADER.unpack_from(self._buffer, start)
            if length > self._max_frame_bytes:
                self.close()
                return
            end = start + _HEADER.size + length
            if len(self._buffer) < end:
                break
            frame = bytes(self._buffer[start + _HEADER.size : end])
            start = end
            self._on_frame(self, number, frame)
        del self._buffer[:start]

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self._transport = None
        self._on_lost(self)

    def write(self, number: int, frame: bytes) -> None:
        """Sends a frame; does nothing after the connection was lost."""
        if self._transport:
            self._transport.write(_HEADER.pack(len(frame), number) + frame)

    def close(self) -> None:
        """Closes the connection without waiting for its buffer."""
        if self._transport:
            self._transport.abort()
