"""Transports and messages for tests of the peer links."""

import contextlib

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.peers import codec as codec_lib
from hibiscuspass.peers import pynng_transport
from hibiscuspass.telemetry import recorder as recorder_lib

KEY = b"k" * 32
TIMEOUT_S = 10.0
# Long enough for a connection on loopback, short because it is waited out.
SILENCE_S = 0.3


@attrs.frozen
class Echo:
    """A request."""

    number: int
    payload: bytes = b""


@attrs.frozen
class Echoed:
    """Its reply."""

    number: int
    payload: bytes = b""


def make(
    name: str, *, start_id: str = "1", listen: str = "127.0.0.1:0", **kwargs
) -> pynng_transport.PynngTransport:
    process = incarnation.Incarnation(name, start_id)
    kwargs.setdefault("fleet_key", KEY)
    return pynng_transport.make_transport(
        process,
        listen,
        kwargs.pop("fleet_key"),
        recorder_lib.Recorder(process),
        message_types=(Echo, Echoed),
        registry=codec_lib.Registry(),
        **kwargs,
    )


async def echo(sender: incarnation.Incarnation, msg: Echo) -> Echoed:
    del sender
    return Echoed(msg.number, msg.payload)


@contextlib.asynccontextmanager
async def started(*transports):
    for t in transports:
        await t.start()
    try:
        yield
    finally:
        for t in transports:
            await t.close()


def count(counter, *labels) -> float:
    return (counter.labels(*labels) if labels else counter)._value.get()
