"""Measures the CPU time of reading a token event from an engine."""

import asyncio
import json
import threading
import time

import aiohttp
import pytest

from hibiscuspass.backends import completion_events
from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import openai_engine

_EVENTS = 500
# Longer than the client needs per event, so that each event is read separately.
_GAP_S = 0.0005
# The measured ratio is 1.3 to 1.6 with 1 and 50 streams.
_MAX_RATIO = 4.0
_CHUNK = (
    '{"id":"req-0123456789abcdef","object":"chat.completion.chunk",'
    '"created":1700000000,"model":"model-a","choices":[{"index":0,'
    '"delta":{"content":" token"},"logprobs":null,"finish_reason":null}]}'
)
_USAGE = (
    '{"id":"req-0123456789abcdef","choices":[],"usage":{"prompt_tokens":9,'
    f'"completion_tokens":{_EVENTS}}}}}'
)
_STREAM = [
    f"id: {index}\ndata: {data}\n\n".encode()
    for index, data in enumerate([_CHUNK] * _EVENTS + [_USAGE, "[DONE]"])
]
_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class _CannedServer(threading.Thread):
    """Replies to every request with the same stream, in its own thread."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.address = ""
        self.ready = threading.Event()
        self._loop = asyncio.new_event_loop()

    def run(self) -> None:
        self._loop.run_until_complete(self._listen())
        self._loop.run_forever()

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self.join()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.ready.set()

    async def _serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_HEAD)
        for event in _STREAM:
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(_GAP_S)
        writer.write(b"0\r\n\r\n")
        writer.close()


@pytest.fixture
def server():
    thread = _CannedServer()
    thread.start()
    thread.ready.wait()
    yield thread
    thread.stop()


def _decode_all() -> None:
    events = completion_events.CompletionDecoder(0)
    for event in _STREAM:
        events.feed(event)
    assert events.tokens == _EVENTS


def test_decode_of_a_stream(benchmark):
    benchmark.extra_info["events"] = _EVENTS
    benchmark(_decode_all)


def test_decode_costs_no_more_than_twice_a_plain_json_parse():
    def plain() -> None:
        for event in _STREAM[:_EVENTS]:
            json.loads(event.partition(b"data: ")[2])

    def best(function) -> int:
        times = []
        for _ in range(20):
            start_ns = time.thread_time_ns()
            function()
            times.append(time.thread_time_ns() - start_ns)
        return min(times)

    assert best(_decode_all) < 2 * best(plain)


async def _relay(address: str, streams: int) -> float:
    """Returns the CPU time per event of the engine client, in seconds."""
    engine = openai_engine.make_openai_engine("e1", address)

    async def relay_one() -> None:
        req = engine_lib.EngineRequest("r1", "/v1/completions", {}, 0, _EVENTS)
        tokens = 0
        async for item in engine.complete(req, idle_timeout_s=30.0):
            assert isinstance(item, engine_lib.TokenEvent)
            tokens += item.tokens
        assert tokens == _EVENTS

    start_s = time.thread_time()
    await asyncio.gather(*(relay_one() for _ in range(streams)))
    used_s = time.thread_time() - start_s
    await engine.close()
    return used_s / streams / len(_STREAM)


async def _read_only(address: str, streams: int) -> float:
    """Returns the CPU time per event of the HTTP library, in seconds."""

    async def read_one(session: aiohttp.ClientSession) -> None:
        async with session.post(f"http://{address}/") as response:
            while await response.content.readany():
                pass

    connector = aiohttp.TCPConnector(limit=0)
    start_s = time.thread_time()
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(read_one(session) for _ in range(streams)))
    return (time.thread_time() - start_s) / streams / len(_STREAM)


@pytest.mark.parametrize("streams", [1, 50])
def test_relay_over_connections(benchmark, server, streams):
    """Guards against a costly engine client, relative to the HTTP library.

    Only the CPU time of this thread is measured, not that of the server's. With
    one stream the event loop wakes up for each event. With 50, as on a busy
    router, it handles several events per wake-up. The cost of a wake-up depends
    on the machine and its load, so the bound is a ratio to the HTTP library
    alone, and both are measured alternately.
    """
    relay_s: list[float] = []
    read_s: list[float] = []

    def both() -> None:
        read_s.append(asyncio.run(_read_only(server.address, streams)))
        relay_s.append(asyncio.run(_relay(server.address, streams)))

    benchmark.pedantic(both, rounds=5, warmup_rounds=1)
    relay_us, read_us = 1e6 * min(relay_s), 1e6 * min(read_s)
    benchmark.extra_info["relay_cpu_us_per_event"] = round(relay_us, 2)
    benchmark.extra_info["read_cpu_us_per_event"] = round(read_us, 2)
    print(
        f"{streams} streams: {relay_us:.1f} us of CPU per token event, of"
        f" which {read_us:.1f} us in the HTTP library and the event loop"
    )
    assert relay_us < _MAX_RATIO * read_us
