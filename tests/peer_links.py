"""Transports and messages for tests of the peer links."""

import contextlib

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.peers import codec as codec_lib
from hibiscuspass.peers import link as link_lib
from hibiscuspass.peers import pynng_link
from hibiscuspass.peers import pynng_transport
from hibiscuspass.peers import request_transport
from hibiscuspass.peers import stream_link
from hibiscuspass.peers import stream_transport
from hibiscuspass.telemetry import recorder as recorder_lib

KEY = b"k" * 32
_PYNNG = "pynng"
_STREAM = "stream"
KINDS = (_PYNNG, _STREAM)
_LINKS: dict[str, type[link_lib.Link]] = {
    _PYNNG: pynng_link.PynngLink,
    _STREAM: stream_link.StreamLink,
}
_FACTORIES = {
    _PYNNG: pynng_transport.make_transport,
    _STREAM: stream_transport.make_transport,
}
TIMEOUT_S = 10.0
# Timeout of requests that get no reply. It is long enough for a connection on
# loopback, and short because the tests wait until it expires.
SILENCE_S = 0.3


@attrs.define
class _Selection:
    """Kind of transport that `make` returns."""

    kind: str = _PYNNG


_selection = _Selection()


def select(kind: str) -> None:
    """Sets the kind of transport that `make` returns, one of `KINDS`."""
    _selection.kind = kind


def link_class() -> type[link_lib.Link]:
    """Returns the class of the links of the selected transport."""
    return _LINKS[_selection.kind]


@attrs.frozen
class Echo:
    """Request whose reply carries the same data."""

    number: int
    payload: bytes = b""


@attrs.frozen
class Echoed:
    """Reply to `Echo`."""

    number: int
    payload: bytes = b""


def make(
    name: str, *, start_id: str = "1", listen: str = "127.0.0.1:0", **kwargs
) -> request_transport.RequestTransport:
    process = incarnation.Incarnation(name, start_id)
    kwargs.setdefault("fleet_key", KEY)
    return _FACTORIES[_selection.kind](
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
async def running(*transports):
    for t in transports:
        await t.start()
    try:
        yield
    finally:
        for t in transports:
            await t.close()


def counter_value(counter, *labels) -> float:
    return (counter.labels(*labels) if labels else counter)._value.get()
