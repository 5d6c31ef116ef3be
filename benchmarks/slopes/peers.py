"""Measures the cost of a request and reply between two processes."""

import asyncio
import time

from benchmarks.slopes import slope
from hibiscuspass.core import incarnation
from hibiscuspass.core.membership import messages
from hibiscuspass.peers import pynng_transport
from hibiscuspass.peers import request_transport
from hibiscuspass.telemetry import recorder

_FLEET_KEY = b"k" * 32
_EXCHANGES = 2000
_TIMEOUT_S = 5.0


def _heartbeat(name: str) -> messages.Heartbeat:
    own = messages.MemberRecord(
        incarnation.Incarnation(name, "0123456789abcdef"),
        "192.0.2.1:7001",
        "fd-1",
        "region-1",
    )
    return messages.Heartbeat(sender=own, marks_digest=0)


def _transport(name: str) -> request_transport.RequestTransport:
    process = incarnation.Incarnation(name, "0123456789abcdef")
    return pynng_transport.make_transport(
        process,
        "127.0.0.1:0",
        _FLEET_KEY,
        recorder.Recorder(process),
        message_types=(),
    )


async def _measure() -> tuple[float, float]:
    server, client = _transport("router-a"), _transport("router-b")
    reply = _heartbeat("router-a")

    async def answer(_: object, __: object) -> messages.Heartbeat:
        return reply

    server.register(messages.Heartbeat, answer)
    await server.start()
    await client.start()
    msg = _heartbeat("router-b")
    for _ in range(100):
        await client.request(server.address, msg, timeout_s=_TIMEOUT_S)
    sent_before = client.metrics.sent_bytes._value.get()
    start = time.process_time()
    for _ in range(_EXCHANGES):
        await client.request(server.address, msg, timeout_s=_TIMEOUT_S)
    cpu_s = time.process_time() - start
    sent = client.metrics.sent_bytes._value.get() - sent_before
    await client.close()
    await server.close()
    return cpu_s / _EXCHANGES, sent / _EXCHANGES


def measure() -> list[slope.Slope]:
    """Returns the cost per message of an exchange of two heartbeats."""
    cpu_s, sent_bytes = asyncio.run(_measure())
    return [
        slope.Slope("peer.message.cpu", cpu_s / 2 * 1e6, "us", "message"),
        slope.Slope("peer.heartbeat.bytes", sent_bytes, "B", "message"),
    ]
