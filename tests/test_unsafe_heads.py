"""Guards against connections that are closed because of a server's head."""

import pytest

from tests import gateway_system
from tests import scripted_backend

# The tab is allowed in values; line ends are part of the framing.
_CONTROL_BYTES = sorted({*range(1, 0x20), 0x7F} - {*b"\t\r\n"})
_STAMP = "X-Server-Stamp: s"


def _answers(char: str) -> list[bytes]:
    """Returns answers with a character in the reason or in a header."""
    return [
        scripted_backend.answer(status=f"200 O{char}K"),
        scripted_backend.answer(status=f"500 Failed{char}"),
        scripted_backend.answer(
            headers=(_STAMP, f"X-Note: a{char}b", "Content-Length: 2")
        ),
        scripted_backend.answer(
            headers=(_STAMP, f"X-N{char}ote: a", "Content-Length: 2")
        ),
        scripted_backend.answer(
            headers=(f"{_STAMP}{char}", "Transfer-Encoding: chunked"),
            body=b"2\r\nok\r\n0\r\n\r\n",
        ),
    ]


@pytest.mark.parametrize("path", ["/order/x", "/status/x", "/ask/x"])
async def test_control_character_in_a_head_does_not_close_the_connection(
    path: str,
) -> None:
    """The library can't write such a head, so the caller got no answer."""
    async with gateway_system.running(backends=1) as system:
        backend = system.backends[0]
        for char in map(chr, _CONTROL_BYTES):
            for answer in _answers(char):
                backend.scripts[:] = [answer]
                resp = await system.send(path, method="POST", tokens="1,1")
                assert resp.status == 502, answer
                await resp.read()
