"""Tests of requests through a gateway process to scripted backend servers."""

import asyncio

import aiohttp
import pytest

from tests import gateway_system
from tests import scripted_backend

CHUNKED = ("X-Server-Stamp: s", "Transfer-Encoding: chunked")


def _events(*numbers: int, end: bool = True) -> bytes:
    chunks = [f"id: {n}\ndata: part {n}\n\n".encode() for n in numbers]
    body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)
    return body + (b"0\r\n\r\n" if end else b"")


def stream(*numbers: int, end: bool = True) -> bytes:
    return scripted_backend.answer(
        headers=CHUNKED, body=_events(*numbers, end=end)
    )


def text(*numbers: int) -> str:
    return "".join(f"id: {n}\ndata: part {n}\n\n" for n in numbers)


async def test_stream_arrives_whole_and_is_charged() -> None:
    """A stream must not be charged too many or too few tokens.

    The charge is the input tokens plus the tokens of all events.
    """
    async with gateway_system.running() as system:
        system.backends[0].scripts.append(stream(0, 1, 2))
        resp = await system.send("/draft/x")
        assert resp.status == 200
        assert await resp.text() == text(0, 1, 2)
        await asyncio.sleep(0.05)
        assert system.gateway.accounts.used() == {"press": 100 + 3 * 5}


async def test_callers_do_not_set_reserved_headers() -> None:
    """A caller could act for another workspace with headers of its own.

    Headers reserved for the gateway, and the API key, must not be forwarded.
    """
    async with gateway_system.running() as system:
        system.backends[0].scripts.append(scripted_backend.answer())
        resp = await system.send(
            "/status/x?a=%2F", X_Tenant="other", X_Hold="h", Kv_From="k"
        )
        assert await resp.text() == "ok"
    head = system.request_heads[0].decode()
    assert head.startswith("GET /status/x?a=%2F HTTP/1.1\r\n")
    assert "X-Tenant: press\r\n" in head
    assert "X-Expect-Instance: app-router-1-0\r\n" in head
    for name in ("other", "X-Hold", "Kv-From", gateway_system.KEY):
        assert name not in head


@pytest.mark.parametrize(
    ("path", "key", "tokens", "status"),
    [
        ("/draft/x", "wrong", "1,1", 401),
        ("/none/x", gateway_system.KEY, "1,1", 404),
        ("/draft/x", gateway_system.KEY, "9000,2000", 402),
        ("/draft/x", gateway_system.KEY, "many,1", 400),
    ],
)
async def test_refusals_before_a_send(
    path: str, key: str, tokens: str, status: int
) -> None:
    """A refused request must not reach a backend server."""
    async with gateway_system.running() as system:
        resp = await system.send(path, key=key, tokens=tokens)
        assert resp.status == status
    assert not system.request_heads


async def test_without_configuration_nothing_is_denied() -> None:
    """A router without a configuration must not answer 401 or 404.

    It can't tell unknown keys and routes from those not read yet.
    """
    async with gateway_system.running(with_config=False) as system:
        resp = await system.send("/draft/x", key="wrong")
        assert resp.status == 503
        assert float(resp.headers["Retry-After"]) > 0
        ready = await system.session.get(system.ready_url)
        assert ready.status == 503


async def test_non_idempotent_request_is_sent_once() -> None:
    """A non-idempotent request whose answer was lost must not run twice.

    The caller must not be told that it did not run either.
    """
    async with gateway_system.running(backends=2) as system:
        for backend in system.backends:
            backend.scripts.append(b"")
            backend.close = True
        resp = await system.send("/order/x", method="POST")
        assert resp.status == 502
    assert len(system.request_heads) == 1


async def test_idempotent_request_goes_to_another_server() -> None:
    """A lost answer to an idempotent request must not reach the caller."""
    async with gateway_system.running(backends=2) as system:
        # The server that is asked first loses its answer.
        scripts = [b"", scripted_backend.answer()]
        for backend in system.backends:
            backend.scripts = scripts
            backend.close = True
        resp = await system.send("/status/x")
        assert resp.status == 200
        assert await resp.text() == "ok"
    assert [len(r.requests) for r in system.backends] == [1, 1]


_FAILED = scripted_backend.answer(status="500 Internal Server Error")


@pytest.mark.parametrize(
    ("kind", "second", "status", "sends"),
    [
        ("status", scripted_backend.answer(), 200, 2),
        ("status", _FAILED, 500, 2),
        ("status", b"", 500, 2),
        ("order", scripted_backend.answer(), 500, 1),
    ],
)
async def test_server_failure_is_retried_at_another_server(
    kind: str, second: bytes, status: int, sends: int
) -> None:
    """A failing server must not fail requests that another one could serve.

    Requests that must not be repeated get the failure; so do repeatable ones if
    the second server fails too.
    """
    async with gateway_system.running(backends=2) as system:
        scripts = [_FAILED, second]
        for backend in system.backends:
            backend.scripts = scripts
            backend.close = True
        resp = await system.send(f"/{kind}/x")
        assert resp.status == status
        assert resp.headers["X-Server-Stamp"] == "s"
        assert await resp.text() == "ok"
    assert len(system.request_heads) == sends


@pytest.mark.parametrize("kind", ["order", "draft"])
async def test_request_refused_by_a_server_is_sent_to_another(
    kind: str,
) -> None:
    """A busy server must not fail a request that another one could run.

    `X-Not-Executed` proves that the request did not run, so even requests that
    must not be repeated are sent again.
    """
    refused = scripted_backend.answer(
        status="503 Service Unavailable",
        headers=("X-Not-Executed: 1", "Content-Length: 2"),
    )
    async with gateway_system.running(backends=2) as system:
        for backend in system.backends:
            backend.scripts += [refused, refused]
        resp = await system.send(f"/{kind}/x", method="POST")
        assert resp.status == 503
        assert "Retry-After" in resp.headers
        assert system.gateway.accounts.used() == {}
    assert len(system.request_heads) == 2


async def test_resumable_stream_continues_at_another_server() -> None:
    """A stream resumed after a lost server must not miss or repeat an event."""
    async with gateway_system.running(backends=2) as system:
        # Whichever server is asked first breaks off.
        scripts = [stream(0, 1, end=False), stream(2, 3)]
        for backend in system.backends:
            backend.close = True
            backend.scripts = scripts
        resp = await system.send("/ask/x")
        assert await resp.text() == text(0, 1, 2, 3)
    assert len(system.request_heads) == 2
    assert any(b"Last-Event-ID: 1\r\n" in head for head in system.request_heads)


async def test_broken_stream_does_not_look_complete() -> None:
    """A caller could take a stream that broke off for a complete one.

    A stream that can't be resumed must end without the final chunk.
    """
    async with gateway_system.running(backends=2) as system:
        for backend in system.backends:
            backend.close = True
            backend.scripts.append(stream(0, 1, end=False))
        resp = await system.send("/draft/x")
        with pytest.raises(aiohttp.ClientPayloadError):
            await resp.text()
    assert len(system.request_heads) == 1


async def test_stopping_gateway_is_not_ready_but_finishes_streams() -> None:
    """A planned stop must not cut requests in progress."""
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.scripts.append(stream(0, end=False))
        resp = await system.send("/draft/x")
        stopping = asyncio.create_task(system.gateway.stop())
        await asyncio.sleep(0.1)
        ready = await system.session.get(system.ready_url)
        assert ready.status == 503
        await backend.send_more(_events(1))
        assert await resp.text() == text(0, 1)
        await stopping


async def test_stopped_router_leaves_no_tokens_drawn() -> None:
    """Tokens that a stopped router keeps could not be used by other routers."""
    async with gateway_system.running() as system:
        system.backends[0].scripts.append(stream(0, 1))
        resp = await system.send("/draft/x")
        await resp.read()
        await system.wait_until_drawn()
    record = system.store.items["prepaid/press"].value
    assert record == b'{"drawn":110}'


@pytest.mark.parametrize("route", ["status", "order", "draft"])
@pytest.mark.parametrize("status", ["200 O\x01K", "404 Not Fo\x7fund"])
async def test_control_character_in_a_head_does_not_end_the_connection(
    route: str, status: str
) -> None:
    """A caller must get an answer also if the one of the server is damaged."""
    async with gateway_system.running() as system:
        system.backends[0].scripts.append(
            scripted_backend.answer(status=status)
        )
        resp = await system.send(f"/{route}/x", method="POST")
        assert resp.status == 502


@pytest.mark.parametrize("value", ["a\x01b", "a\x7f"])
async def test_control_character_in_a_header_does_not_end_the_connection(
    value: str,
) -> None:
    """A caller must get an answer also if the one of the server is damaged."""
    headers = ("X-Server-Stamp: s", "Content-Length: 2", f"X-Note: {value}")
    async with gateway_system.running() as system:
        system.backends[0].scripts.append(
            scripted_backend.answer(headers=headers)
        )
        resp = await system.send("/status/x", method="POST")
        assert resp.status == 502
