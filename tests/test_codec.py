"""Guards peer links against forged, damaged and oversize frames."""

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.peers import codec as codec_lib
from tests import assertions

_KEY = bytes(range(32))
_A = incarnation.Incarnation("a", "1")
_B = incarnation.Incarnation("b", "2")
_AT = clock.Timestamp(17, 3)
_EXCHANGE = b"12345678"


@attrs.frozen
class Ping:
    """Message type of the tests."""

    number: int
    payload: bytes = b""
    names: tuple[str, ...] = ()


def _codec(
    *types: type, key: bytes = _KEY, max_bytes: int = 1000
) -> codec_lib.Codec:
    registry = codec_lib.Registry()
    for msg_type in types:
        registry.add(msg_type)
    return codec_lib.Codec(
        _A, key, registry=registry, max_message_bytes=max_bytes
    )


def _frame(codec: codec_lib.Codec, msg: object) -> bytes:
    frame = codec.encode(msg, recipient=_B, at=_AT, exchange=_EXCHANGE)
    assert isinstance(frame, bytes)
    return frame


def test_a_message_arrives_with_its_envelope():
    codec = _codec(Ping)
    msg = Ping(7, b"x", ("n",))
    assert codec.decode(_frame(codec, msg)) == codec_lib.Message(
        "Ping", msg, _A, _B, _AT, _EXCHANGE
    )


def test_a_frame_signed_with_another_key_is_refused():
    """A process without the fleet key must not be able to send messages."""
    frame = _frame(_codec(Ping, key=b"k" * 32), Ping(1))
    assertions.assert_refused(
        _codec(Ping).decode(frame), reason_lib.Reason.UNAUTHENTICATED
    )


@hypothesis.given(st.data())
def test_any_changed_byte_is_refused(data):
    """Guards against frames that were modified between two processes."""
    codec = _codec(Ping)
    frame = bytearray(_frame(codec, Ping(1, b"abc")))
    position = data.draw(st.integers(0, len(frame) - 1))
    frame[position] ^= data.draw(st.integers(1, 255))
    assertions.assert_refused(
        codec.decode(bytes(frame)), reason_lib.Reason.UNAUTHENTICATED
    )


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused(frame):
    assertions.assert_refused(
        _codec(Ping).decode(frame), reason_lib.Reason.UNAUTHENTICATED
    )


def test_oversize_messages_are_refused_in_both_directions():
    """Guards against messages that exhaust the memory of the receiver."""
    small = _codec(Ping, max_bytes=200)
    big = Ping(1, bytes(300))
    assertions.assert_refused(
        small.encode(big, recipient=None, at=_AT, exchange=_EXCHANGE),
        reason_lib.Reason.BODY_TOO_LARGE,
    )
    assertions.assert_refused(
        small.decode(_frame(_codec(Ping), big)),
        reason_lib.Reason.BODY_TOO_LARGE,
    )


def test_an_unknown_message_of_an_authenticated_peer_is_refused_by_name():
    """A peer of another version may send types that this one does not know."""
    received = _codec().decode(_frame(_codec(Ping), Ping(1)))
    assert isinstance(received, codec_lib.Message)
    refused = assertions.assert_refused(
        received.body, reason_lib.Reason.INVALID_REQUEST
    )
    assert "Ping" in refused.detail


def test_a_body_that_does_not_match_its_type_is_refused():
    """Two versions may define the same message type with other fields."""

    @attrs.frozen
    class Other:
        number: str

    sender, receiver = codec_lib.Registry(), codec_lib.Registry()
    sender.add(Other, "Ping")
    receiver.add(Ping)
    frame = _frame(codec_lib.Codec(_A, _KEY, registry=sender), Other("x"))
    received = codec_lib.Codec(_A, _KEY, registry=receiver).decode(frame)
    assert isinstance(received, codec_lib.Message)
    assertions.assert_refused(received.body, reason_lib.Reason.INVALID_REQUEST)


def test_two_types_cannot_share_a_name():
    """A shared name would decode messages as the wrong type."""
    registry = codec_lib.Registry()
    registry.add(Ping)
    registry.add(Ping)
    with pytest.raises(ValueError, match="already used"):
        registry.add(type("Other", (Ping,), {}), "Ping")


def test_a_short_fleet_key_is_an_error():
    with pytest.raises(ValueError, match="at least 32"):
        _codec(key=b"short")
