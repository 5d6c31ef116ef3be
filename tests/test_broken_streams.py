"""Tests of streams that break off, and of what follows them."""

import asyncio

import aiohttp
import pytest

from tests import gateway_system
from tests import scripted_backend
from tests import test_gateway_forwarding

_stream = test_gateway_forwarding.stream
_text = test_gateway_forwarding.text
_UNFRAMED = ("X-Server-Stamp: s", "Connection: close")


async def _read(resp: aiohttp.ClientResponse) -> tuple[str, bool]:
    """Returns what a caller gets of a body, and whether it is complete."""
    received = b""
    try:
        async for data in resp.content.iter_any():
            received += data
    except aiohttp.ClientPayloadError:
        return received.decode(), False
    return received.decode(), True


async def _resume_with(answer: bytes) -> tuple[str, bool]:
    """Returns what a caller gets if a stream breaks off before an answer."""
    async with gateway_system.running(backends=2) as system:
        scripts = [_stream(0, 1, end=False), answer]
        for backend in system.backends:
            backend.close = True
            backend.scripts = scripts
        body = await _read(await system.send("/ask/x"))
        assert len(system.request_heads) == 2
        return body


@pytest.mark.parametrize("status", ["500 Oops", "404 Not Found", "200 OK"])
async def test_error_is_not_sent_in_the_middle_of_a_stream(status: str) -> None:
    """Callers found an error's text, or its head, in their stream."""
    headers = ("X-Server-Stamp: t", "Content-Length: 4")
    if status.startswith("200"):
        headers = ("Content-Length: 4",)
    answer = scripted_backend.answer(
        status=status, headers=headers, body=b"boom"
    )
    assert await _resume_with(answer) == (_text(0, 1), False)


async def test_refusal_is_not_sent_in_the_middle_of_a_stream() -> None:
    answer = scripted_backend.answer(
        status="503 Full", headers=("X-Not-Executed: 1", "Content-Length: 0")
    )
    assert await _resume_with(answer) == (_text(0, 1), False)


async def test_stream_that_ends_inside_an_event_has_broken_off() -> None:
    """Without length and chunks, only events show whether it is complete."""
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.close = True
        body = (_text(0, 1) + "id: 2\ndata: pa").encode()
        backend.scripts.append(
            scripted_backend.answer(headers=_UNFRAMED, body=body)
        )
        resp = await system.send("/draft/x")
        assert await _read(resp) == (_text(0, 1), False)


async def test_stream_that_ends_with_its_connection_is_complete() -> None:
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.close = True
        backend.scripts.append(
            scripted_backend.answer(
                headers=_UNFRAMED, body=_text(0, 1).encode()
            )
        )
        resp = await system.send("/draft/x")
        assert await _read(resp) == (_text(0, 1), True)


async def test_stream_that_ends_inside_an_event_goes_on_elsewhere() -> None:
    async with gateway_system.running(backends=2) as system:
        body = (_text(0, 1) + "id: 2\ndata: pa").encode()
        scripts = [
            scripted_backend.answer(headers=_UNFRAMED, body=body),
            _stream(2, 3),
        ]
        for backend in system.backends:
            backend.close = True
            backend.scripts = scripts
        resp = await system.send("/ask/x")
        assert await _read(resp) == (_text(0, 1, 2, 3), True)


@pytest.mark.parametrize("word", ["part", "longer part", "p"])
async def test_length_of_a_broken_answer_does_not_limit_its_stream(
    word: str,
) -> None:
    """The events of another server may be longer, or shorter."""
    rest = _text(2, 3).replace("part", word)
    async with gateway_system.running(backends=2) as system:
        scripts = [
            scripted_backend.answer(
                headers=(
                    "X-Server-Stamp: s",
                    f"Content-Length: {len(_text(0, 1, 2, 3))}",
                ),
                body=_text(0, 1).encode(),
            ),
            scripted_backend.answer(
                headers=("X-Server-Stamp: s", f"Content-Length: {len(rest)}"),
                body=rest.encode(),
            ),
        ]
        for backend in system.backends:
            backend.close = True
            backend.scripts = scripts
        async with asyncio.timeout(5.0):
            resp = await system.send("/ask/x")
            assert await _read(resp) == (_text(0, 1) + rest, True)


# Frames a body as servers do.
_FRAMINGS = {
    "chunks": lambda body: scripted_backend.answer(
        headers=("X-Server-Stamp: s", "Transfer-Encoding: chunked"),
        body=b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body),
    ),
    "length": lambda body: scripted_backend.answer(
        headers=("X-Server-Stamp: s", f"Content-Length: {len(body)}"),
        body=body,
    ),
    "neither": lambda body: scripted_backend.answer(
        headers=_UNFRAMED, body=body
    ),
}
_LINE_ENDS = {"LF": "\n", "CR LF": "\r\n", "CR": "\r"}
# Bytes of the twelfth event that arrive.
_TEARS = {
    "in the id": "id: 1",
    "in the data": "id: 11\ndata: par",
    "after the data": "id: 11\ndata: part 11",
    "before the empty line": "id: 11\ndata: part 11\n",
}


@pytest.mark.parametrize("events", [0, 11])
@pytest.mark.parametrize("tear", _TEARS)
@pytest.mark.parametrize("line_end", _LINE_ENDS)
@pytest.mark.parametrize("framing", _FRAMINGS)
async def test_framing_does_not_complete_a_stream_inside_an_event(
    framing: str, line_end: str, tear: str, events: int
) -> None:
    """A server that fails in an event may still end its body as usual."""
    newline = _LINE_ENDS[line_end]
    whole = _text(*range(events)).replace("\n", newline)
    body = whole + _TEARS[tear].replace("\n", newline)
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.close = True
        backend.scripts.append(_FRAMINGS[framing](body.encode()))
        resp = await system.send("/draft/x")
        if events:
            assert await _read(resp) == (whole, False)
        else:
            # Nothing has reached the caller, so the failure can be stated.
            assert resp.status == 502
        assert len(system.request_heads) == 1


async def test_event_that_lacks_half_of_its_last_line_end_is_partial() -> None:
    async with gateway_system.running() as system:
        body = _text(0, 1).replace("\n", "\r\n")
        system.backends[0].scripts.append(
            _FRAMINGS["chunks"](body.removesuffix("\n").encode())
        )
        resp = await system.send("/draft/x")
        assert await _read(resp) == (_text(0).replace("\n", "\r\n"), False)


@pytest.mark.parametrize("events", [0, 11])
@pytest.mark.parametrize("tear", _TEARS)
@pytest.mark.parametrize("framing", _FRAMINGS)
async def test_framed_stream_that_ends_inside_an_event_is_resumed(
    framing: str, tear: str, events: int
) -> None:
    """The rest was lost although another server could continue the stream."""
    body = (_text(*range(events)) + _TEARS[tear]).encode()
    async with gateway_system.running(backends=2) as system:
        scripts = [_FRAMINGS[framing](body), _stream(*range(events, 13))]
        for backend in system.backends:
            backend.close = True
            backend.scripts = scripts
        resp = await system.send("/ask/x")
        assert await _read(resp) == (_text(*range(13)), True)
        heads = b"".join(system.request_heads).lower()
        last_id = f"last-event-id: {events - 1}\r\n" if events else ""
        assert heads.count(b"last-event-id") == bool(events)
        assert last_id.encode() in heads


@pytest.mark.parametrize("framing", _FRAMINGS)
async def test_resumed_stream_that_ends_inside_an_event_is_incomplete(
    framing: str,
) -> None:
    rest = (_text(2) + "id: 3\ndata: pa").encode()
    assert await _resume_with(_FRAMINGS[framing](rest)) == (
        _text(0, 1, 2),
        False,
    )


def _with_type(content_type: str, body: bytes) -> bytes:
    return scripted_backend.answer(
        headers=(
            "X-Server-Stamp: s",
            f"Content-Type: {content_type}",
            f"Content-Length: {len(body)}",
        ),
        body=body,
    )


@pytest.mark.parametrize(
    "content_type", ["application/json", "text/plain; charset=utf-8"]
)
async def test_answer_that_is_no_stream_is_relayed_whole(
    content_type: str,
) -> None:
    """Servers may answer a request for a stream with another document."""
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.scripts.append(_with_type(content_type, b'{"text": "whole"}'))
        resp = await system.send("/draft/x")
        assert await _read(resp) == ('{"text": "whole"}', True)
        await asyncio.sleep(0.05)
        assert system.gateway.accounts.used() == {"press": 100 + 5}


@pytest.mark.parametrize(
    "content_type", ["text/event-stream", "Text/Event-Stream; charset=utf-8"]
)
async def test_partial_event_of_a_typed_stream_is_not_relayed(
    content_type: str,
) -> None:
    async with gateway_system.running() as system:
        body = (_text(0, 1) + "id: 2\ndata: pa").encode()
        system.backends[0].scripts.append(_with_type(content_type, body))
        resp = await system.send("/draft/x")
        assert await _read(resp) == (_text(0, 1), False)


async def test_document_does_not_follow_a_part_of_a_stream() -> None:
    body = b'{"text": "whole"}'
    assert await _resume_with(_with_type("application/json", body)) == (
        _text(0, 1),
        False,
    )


@pytest.mark.parametrize(
    "end", ["\n", "\n\n\n", "\r\n", ": bye\n", ": bye\n\n"]
)
@pytest.mark.parametrize("framing", _FRAMINGS)
async def test_lines_after_the_last_event_are_no_partial_event(
    framing: str, end: str
) -> None:
    """Empty lines and comments end no stream early and are relayed."""
    body = _text(0, 1) + end
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.close = True
        backend.scripts.append(_FRAMINGS[framing](body.encode()))
        resp = await system.send("/draft/x")
        assert await _read(resp) == (body, True)
        await asyncio.sleep(0.05)
        assert system.gateway.accounts.used() == {"press": 100 + 2 * 5}


async def test_caller_that_knows_no_chunks_gets_a_stream_until_the_end() -> (
    None
):
    """Chunks are forbidden in answers to HTTP/1.0."""
    body = _text(0, 1).encode()
    async with gateway_system.running() as system:
        system.backends[0].scripts = [
            scripted_backend.answer(
                headers=("X-Server-Stamp: s", f"Content-Length: {len(body)}"),
                body=body,
            )
        ]
        address = system.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            f"GET /ask/x HTTP/1.0\r\nHost: {gateway_system.HOST}\r\n"
            f"X-Attempt-Id: a1\r\nX-Token-Counts: 100,50\r\n"
            f"Authorization: Bearer {gateway_system.KEY}\r\n\r\n".encode()
        )
        async with asyncio.timeout(5.0):
            head, _, received = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
    assert b" 200 OK" in head
    assert received == body
