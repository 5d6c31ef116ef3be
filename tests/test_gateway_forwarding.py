"""Requests through a whole gateway process, in front of scripted servers."""

import asyncio

import aiohttp
import pytest

from tests import gateway_system
from tests import runner as runner_lib

_CHUNKED = ("X-Server-Stamp: s", "Transfer-Encoding: chunked")


def _events(*numbers: int, end: bool = True) -> bytes:
    chunks = [f"id: {n}\ndata: part {n}\n\n".encode() for n in numbers]
    body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)
    return body + (b"0\r\n\r\n" if end else b"")


def _stream(*numbers: int, end: bool = True) -> bytes:
    return runner_lib.answer(headers=_CHUNKED, body=_events(*numbers, end=end))


def _text(*numbers: int) -> str:
    return "".join(f"id: {n}\ndata: part {n}\n\n" for n in numbers)


async def test_stream_arrives_whole_and_is_charged() -> None:
    """Input tokens and the tokens of all events are paid, no more."""
    async with gateway_system.running() as system:
        system.runners[0].scripts.append(_stream(0, 1, 2))
        resp = await system.send("/draft/x")
        assert resp.status == 200
        assert await resp.text() == _text(0, 1, 2)
        await asyncio.sleep(0.05)
        assert system.gateway.accounts.used() == {"press": 100 + 3 * 5}


async def test_callers_do_not_set_reserved_headers() -> None:
    """A caller must not act for another workspace or use engine holds."""
    async with gateway_system.running() as system:
        system.runners[0].scripts.append(runner_lib.answer())
        resp = await system.send(
            "/status/x?a=%2F", X_Tenant="other", X_Hold="h", Kv_From="k"
        )
        assert await resp.text() == "ok"
    head = system.heads[0].decode()
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
    """What must not run does not reach a backend server."""
    async with gateway_system.running() as system:
        resp = await system.send(path, key=key, tokens=tokens)
        assert resp.status == status
    assert not system.heads


async def test_without_configuration_nothing_is_denied() -> None:
    """A process that knows no configuration can't tell what is unknown."""
    async with gateway_system.running(with_config=False) as system:
        resp = await system.send("/draft/x", key="wrong")
        assert resp.status == 503
        assert float(resp.headers["Retry-After"]) > 0
        ready = await system.session.get(system.ready_url)
        assert ready.status == 503


async def test_non_idempotent_request_is_sent_once() -> None:
    """A request that may have run must not run again, nor count as not run."""
    async with gateway_system.running(runners=2) as system:
        for runner in system.runners:
            runner.scripts.append(b"")
            runner.close = True
        resp = await system.send("/order/x", method="POST")
        assert resp.status == 502
    assert len(system.heads) == 1


async def test_idempotent_request_goes_to_another_server() -> None:
    """A lost answer of a repeatable request costs the caller nothing."""
    async with gateway_system.running(runners=2) as system:
        # Whichever server is asked first loses its answer.
        scripts = [b"", runner_lib.answer()]
        for runner in system.runners:
            runner.scripts = scripts
            runner.close = True
        resp = await system.send("/status/x")
        assert resp.status == 200
        assert await resp.text() == "ok"
    assert [len(r.requests) for r in system.runners] == [1, 1]


_FAILED = runner_lib.answer(status="500 Internal Server Error")


@pytest.mark.parametrize(
    ("kind", "second", "status", "sends"),
    [
        ("status", runner_lib.answer(), 200, 2),
        ("status", _FAILED, 500, 2),
        ("status", b"", 500, 2),
        ("order", runner_lib.answer(), 500, 1),
    ],
)
async def test_servers_own_failure_is_tried_elsewhere(
    kind: str, second: bytes, status: int, sends: int
) -> None:
    """A failing server costs a repeatable request nothing, others a run."""
    async with gateway_system.running(runners=2) as system:
        scripts = [_FAILED, second]
        for runner in system.runners:
            runner.scripts = scripts
            runner.close = True
        resp = await system.send(f"/{kind}/x")
        assert resp.status == status
        assert resp.headers["X-Server-Stamp"] == "s"
        assert await resp.text() == "ok"
    assert len(system.heads) == sends


@pytest.mark.parametrize("kind", ["order", "draft"])
async def test_refused_send_may_go_elsewhere(kind: str) -> None:
    """A proof that nothing ran allows another server, for all kinds."""
    refused = runner_lib.answer(
        status="503 Service Unavailable",
        headers=("X-Not-Executed: 1", "Content-Length: 2"),
    )
    async with gateway_system.running(runners=2) as system:
        for runner in system.runners:
            runner.scripts += [refused, refused]
        resp = await system.send(f"/{kind}/x", method="POST")
        assert resp.status == 503
        assert "Retry-After" in resp.headers
        assert system.gateway.accounts.used() == {}
    assert len(system.heads) == 2


async def test_resumable_stream_goes_on_at_another_server() -> None:
    """Pieces of two runs are joined at an event's end, none twice."""
    async with gateway_system.running(runners=2) as system:
        for runner in system.runners:
            runner.close = True
            runner.scripts += [_stream(0, 1, end=False)]
        resp = await system.send("/ask/x")
        for runner in system.runners:
            runner.scripts[:] = [_stream(2, 3)]
        assert await resp.text() == _text(0, 1, 2, 3)
    assert len(system.heads) == 2
    assert any(b"Last-Event-ID: 1\r\n" in head for head in system.heads)


async def test_broken_stream_does_not_look_complete() -> None:
    """A stream that can't be resumed must end without its last chunk."""
    async with gateway_system.running(runners=2) as system:
        for runner in system.runners:
            runner.close = True
            runner.scripts.append(_stream(0, 1, end=False))
        resp = await system.send("/draft/x")
        with pytest.raises(aiohttp.ClientPayloadError):
            await resp.text()
    assert len(system.heads) == 1


async def test_stop_is_not_ready_but_finishes_streams() -> None:
    """A planned stop cuts no request in progress."""
    async with gateway_system.running() as system:
        runner = system.runners[0]
        runner.scripts.append(_stream(0, end=False))
        resp = await system.send("/draft/x")
        stopping = asyncio.create_task(system.gateway.stop())
        await asyncio.sleep(0.1)
        ready = await system.session.get(system.ready_url)
        assert ready.status == 503
        await runner.send_more(_events(1))
        assert await resp.text() == _text(0, 1)
        await stopping


async def test_stopped_router_leaves_no_tokens_drawn() -> None:
    """Tokens that a stopping router holds must serve the others."""
    async with gateway_system.running() as system:
        system.runners[0].scripts.append(_stream(0, 1))
        resp = await system.send("/draft/x")
        await resp.read()
        await system.wait_until_drawn()
    record = system.store.items["prepaid/press"].value
    assert record == b'{"drawn":110}'
