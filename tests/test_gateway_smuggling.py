"""Tests against request smuggling through malformed requests."""

import asyncio

import pytest

from tests import gateway_system
from tests import scripted_backend

_HEAD = (
    "POST /order/x HTTP/1.1\r\n"
    f"Host: {gateway_system.HOST}\r\n"
    "X-Attempt-Id: a1\r\n"
    f"Authorization: Bearer {gateway_system.KEY}\r\n"
    "X-Deadline-Ms: 1000\r\n"
)
_INNER = (
    "POST /order/smuggled HTTP/1.1\r\n"
    f"Host: {gateway_system.HOST}\r\n"
    "X-Attempt-Id: a2\r\n"
    f"Authorization: Bearer {gateway_system.KEY}\r\n"
    "Content-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize(
    "text",
    [
        _HEAD
        + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        + _INNER,
        _HEAD + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + _INNER,
        _HEAD + "Content-Length: +4\r\n\r\nbody" + _INNER,
        _HEAD + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + _INNER,
        _HEAD + "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n" + _INNER,
        _HEAD + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + _INNER,
        _HEAD + "X-A: b\r\n folded\r\n\r\n" + _INNER,
        _HEAD + f"Host: {gateway_system.HOST}\r\n\r\n" + _INNER,
        _HEAD + "X-A: b\x00c\r\n\r\n" + _INNER,
        "POST /order/x\r\n\r\n" + _INNER,
    ],
    ids=[
        "both lengths",
        "two lengths",
        "signed length",
        "unknown coding",
        "bad chunk",
        "space before colon",
        "folded header",
        "two hosts",
        "zero byte",
        "no version",
    ],
)
async def test_malformed_request_is_not_forwarded(text: str) -> None:
    """A second request could be hidden in a request that is parsed in two ways.

    Malformed requests must be refused, and bytes after them must not be
    forwarded as a request.
    """
    async with gateway_system.running() as system:
        system.backends[0].scripts += [scripted_backend.answer("a2")] * 3
        host, _, port = system.url.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text.encode("latin-1"))
        try:
            async with asyncio.timeout(1.0):
                answer = await reader.read(100_000)
        except TimeoutError:
            answer = b""
        writer.close()
    assert b" 200 " not in answer.split(b"\r\n")[0]
    assert not any(b"smuggled" in head for head in system.request_heads)
