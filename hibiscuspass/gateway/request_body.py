"""Body of a request to a backend server."""

from aiohttp import abc
from aiohttp import payload

from hibiscuspass.gateway import upstream_protocol

# The event loop copies what a server doesn't take at once.
_PIECE_BYTES = 64 * 1024


class RequestBody(payload.Payload):
    """Writes a body in pieces, each when the server has taken those before.

    If it were written at once, the event loop would keep a second copy of it
    for as long as the server reads slowly.
    """

    _autoclose = True

    def __init__(self, value: bytes | bytearray) -> None:
        super().__init__(value, content_type="application/octet-stream")
        self._size = len(value)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """See base class."""
        return bytes(self._value).decode(encoding, errors)

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """See base class."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """See base class."""
        size = len(self._value) if content_length is None else content_length
        protocol = getattr(writer, "protocol", None)
        if isinstance(protocol, upstream_protocol.UpstreamProtocol):
            protocol.is_uploading = True
        view = memoryview(self._value)[:size]
        for start in range(0, size, _PIECE_BYTES):
            await writer.write(view[start : start + _PIECE_BYTES])
        if isinstance(protocol, upstream_protocol.UpstreamProtocol):
            protocol.is_uploading = False
