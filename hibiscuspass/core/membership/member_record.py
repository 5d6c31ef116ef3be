"""Record by which a gateway announces in the store that it is running.

The record is attached to a lease, so it is removed some time after the gateway
has ended.
"""

import msgspec

MEMBER_PREFIX = "members/"


class MemberRecord(msgspec.Struct, frozen=True):
    """Record of one running gateway.

    Attributes:
      address: `host:port` of its peer link.
      start_id: Identifier of its start, see `incarnation.Incarnation`.
    """

    address: str
    start_id: str


_DECODER = msgspec.json.Decoder(MemberRecord)


def member_key(name: str) -> str:
    """Returns the key of the record of a gateway."""
    return MEMBER_PREFIX + name


def encode(record: MemberRecord) -> bytes:
    """Encodes a record."""
    return msgspec.json.encode(record)


def decode(data: bytes) -> MemberRecord:
    """Decodes a record.

    Raises:
      msgspec.MsgspecError: The data is not a valid record.
    """
    return _DECODER.decode(data)
