"""Measures the cost of a request between two peers."""

import asyncio

import attrs

from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.peers import codec as codec_lib
from hibiscuspass.peers import pynng_transport
from hibiscuspass.peers import request_transport
from hibiscuspass.telemetry import recorder as recorder_lib

_REQUESTS = 500
_KEY = b"k" * 32
# A node may send at most 6 KB/s of control traffic at target size, so the
# envelope must be small compared with the messages.
_MAX_OVERHEAD_BYTES = 160


@attrs.frozen
class Ping:
    """A small message."""

    number: int


def _make(name: str) -> request_transport.RequestTransport:
    process = incarnation.Incarnation(name, "0123456789abcdef")
    return pynng_transport.make_transport(
        process,
        "127.0.0.1:0",
        _KEY,
        recorder_lib.Recorder(process),
        message_types=(Ping,),
        registry=codec_lib.Registry(),
    )


def test_the_envelope_is_small():
    registry = codec_lib.Registry()
    registry.add(Ping)
    codec = codec_lib.Codec(
        incarnation.Incarnation("router-001", "0123456789abcdef"),
        _KEY,
        registry=registry,
    )
    frame = codec.encode(
        Ping(1),
        recipient=incarnation.Incarnation("router-002", "0123456789abcdef"),
        at=clock.Timestamp(1_800_000_000_000, 3),
        exchange=bytes(8),
    )
    assert isinstance(frame, bytes)
    assert len(frame) <= _MAX_OVERHEAD_BYTES


def test_round_trip(benchmark):
    """Measures round trips; both peers run in this process."""

    async def exchange(pairs: int) -> None:
        client, server = _make("a"), _make("b")

        async def answer(sender: incarnation.Incarnation, msg: Ping) -> Ping:
            return msg

        server.register(Ping, answer)
        await client.start()
        await server.start()
        for number in range(pairs):
            reply = await client.request(
                server.address, Ping(number), timeout_s=30.0
            )
            assert reply == Ping(number)
        await client.close()
        await server.close()

    benchmark.extra_info["requests"] = _REQUESTS
    benchmark.pedantic(
        lambda: asyncio.run(exchange(_REQUESTS)), rounds=5, warmup_rounds=1
    )
