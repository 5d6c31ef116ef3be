"""Clients that send one request on a channel of their own."""

import asyncio
from collections.abc import Mapping

import attrs


@attrs.frozen
class Reply:
    """What a client got.

    Attributes:
      status: Status of the response; 0 without a complete head.
      headers: Headers by lower-case name.
      body: Received bytes of the body.
      is_complete: Whether the response was whole.
    """

    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def send(
    port: int,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Reply:
    """Sends a request to a gateway and reads the response."""
    lines = [
        f"{method} {path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
        *([f"Content-Length: {len(body)}"] if body else []),
        "",
        "",
    ]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write("\r\n".join(lines).encode() + body)
                return await _read(reader)
            finally:
                writer.close()
    except (TimeoutError, OSError):
        return Reply()


async def _read(reader: asyncio.StreamReader) -> Reply:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return Reply()
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in rest if line)
    }
    status = int(first.split(" ")[1])
    body = bytearray()
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            size = int(headers.get("content-length", "0"))
            body += await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError):
        return Reply(status, headers, bytes(body), is_complete=False)
    return Reply(status, headers, bytes(body), is_complete=True)
