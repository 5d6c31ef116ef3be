"""Guards the wire form and the size of heartbeats."""

from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.core.membership import config
from hibiscuspass.core.membership import messages
from hibiscuspass.peers import codec

codec.DEFAULT.add(messages.Heartbeat)

_AT = clock.Timestamp(1_700_000_000_000, 3)


def _record(n: int) -> messages.MemberRecord:
    return messages.MemberRecord(
        incarnation.Incarnation(f"entry-{n:03}", "0123456789abcdef"),
        f"10.0.{n % 256}.1:7000",
        f"domain-{n % 18}",
        f"region-{n % 6}",
        started_ms=1_700_000_000_000,
        counter=50_000 + n,
    )


def _heartbeat(members: int) -> messages.Heartbeat:
    mark = messages.BackendMark("e1", messages.MarkSource.OBSERVED, 3, True)
    return messages.Heartbeat(
        _record(0),
        marks_digest=2**64 - 1,
        marks=(mark,),
        members=tuple(_record(n) for n in range(1, members + 1)),
        gone=(incarnation.Incarnation("entry-9", "0"),),
    )


def _encode(msg: messages.Heartbeat) -> bytes:
    made = codec.Codec(incarnation.Incarnation("entry-000", "a"), b"k" * 32)
    frame = made.encode(msg, recipient=None, at=_AT, exchange=b"x" * 8)
    assert isinstance(frame, bytes)
    return frame


def test_heartbeat_is_decoded_unchanged():
    made = codec.Codec(incarnation.Incarnation("entry-001", "a"), b"k" * 32)
    msg = made.decode(_encode(_heartbeat(3)))
    assert isinstance(msg, codec.Message)
    assert msg.body == _heartbeat(3)


def test_heartbeats_stay_within_the_control_traffic_limit_of_a_node():
    """Guards the target of 6 KB/s per node, half of it for membership."""
    cfg = config.MembershipConfig()
    # Without changes to pass on, a request carries one random record and a
    # reply none. A router answers as many heartbeats as it sends.
    request, reply = (len(_encode(_heartbeat(n))) for n in (1, 0))
    per_round = cfg.max_heartbeats * (request + reply)
    assert per_round / cfg.heartbeat_interval_s <= 3000
