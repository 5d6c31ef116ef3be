"""Guards against the use of connections after a timeout or a close."""

import asyncio

from aiohttp import web
import pytest

from hibiscuspass.backends import http_client
from standins import base

_TIMEOUT_S = 10.0
_SHORT_TIMEOUT_S = 0.2


class _Server(base.StandIn):
    """Server with a short, an endless, a large and a redirected response."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[str] = []

    def routes(self):
        return [
            web.get("/", self._answer),
            web.get("/stream", self._stream),
            web.get("/large", self._large),
            web.post("/moved", self._moved),
            web.post("/", self._answer),
        ]

    def record(self):
        return self.seen

    async def _answer(self, request):
        self.seen.append(f"{request.method} {request.headers.get('Cookie')}")
        return web.Response(text="ok", headers={"Set-Cookie": "caller=one"})

    async def _stream(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"first")
        await asyncio.Event().wait()
        return response

    async def _large(self, request):
        return web.Response(body=bytes(2000))

    async def _moved(self, request):
        raise web.HTTPTemporaryRedirect("/")


@pytest.fixture
async def server(started):
    return await started(_Server())


@pytest.fixture
async def client(started, server):
    return await started(
        http_client.HttpClient(
            http_client.base_url(server.address), max_response_bytes=1000
        )
    )


async def _open_stream(client):
    exchange = await client.open("GET", "/stream", timeout_s=_TIMEOUT_S)
    assert await exchange.response.content.readany() == b"first"
    return exchange


async def test_an_open_stream_outlives_the_timeout_of_another_call(
    client, server
):
    exchange = await _open_stream(client)
    await server.inject(outage="hang")
    failure = await client.call("GET", "/", timeout_s=_SHORT_TIMEOUT_S)
    assert failure.timed_out
    await server.inject(outage="")
    assert not exchange.response.content.exception()
    assert (await client.call("GET", "/", timeout_s=_TIMEOUT_S)).status == 200
    await exchange.release()


async def test_close_also_ends_streams_on_retired_connections(client):
    exchange = await _open_stream(client)
    await client.retire_connections()
    pending = asyncio.create_task(exchange.read(1000))
    await asyncio.sleep(0)
    await client.close()
    async with asyncio.timeout(_TIMEOUT_S):
        assert isinstance(await pending, http_client.Failure)
    await exchange.release()


async def test_a_redirect_is_not_followed(client, server):
    # The redirect target would run a call that was sent to another server.
    reply = await client.call("POST", "/moved", body=b"x", timeout_s=_TIMEOUT_S)
    assert reply.status == 307
    assert server.seen == []


async def test_cookies_of_one_answer_are_not_sent_with_the_next_call(
    client, server
):
    for _ in range(2):
        await client.call("GET", "/", timeout_s=_TIMEOUT_S)
    assert server.seen == ["GET None", "GET None"]


async def test_a_response_over_the_limit_is_a_failure_after_sending(client):
    failure = await client.call("GET", "/large", timeout_s=_TIMEOUT_S)
    assert failure.sent
    assert "1000" in failure.detail
    assert (await client.call("GET", "/", timeout_s=_TIMEOUT_S)).status == 200


async def test_a_cancelled_call_closes_its_connection(client, server):
    await server.inject(outage="hang")
    pending = asyncio.create_task(client.call("GET", "/", timeout_s=_TIMEOUT_S))
    while not server._protocols():
        done, _ = await asyncio.wait([pending], timeout=0.01)
        assert not done
    pending.cancel()
    with pytest.raises(asyncio.CancelledError):
        await pending
    await server.inject(outage="")
    # If the connection were used again, this call could receive the response
    # to the cancelled one.
    reply = await client.call("GET", "/", timeout_s=_TIMEOUT_S)
    assert reply.status == 200
    assert server.seen == ["GET None"]
