"""Records of the prepaid ledger in the store.

The ledger has one record per workspace with the total drawn by all routers, and
one record per router process with the tokens that it drew. Each draw changes
both kinds in one transaction.
"""

from collections.abc import Mapping

import msgspec

from hibiscuspass.core import incarnation

WORKSPACE_PREFIX = "prepaid/"
ROUTER_PREFIX = "routers/"


class WorkspaceRecord(msgspec.Struct, frozen=True):
    """Record of one workspace.

    Attributes:
      drawn: Tokens that routers drew and did not return.
    """

    drawn: int = 0


class RouterRecord(msgspec.Struct, frozen=True):
    """Record of one router process.

    Attributes:
      address: `host:port` of its peer link.
      drawn: Tokens drawn and not returned, by workspace; negative if the router
        returned tokens that it had received from peers.
      used: Tokens used when the record was written, by workspace.
      rates: Recent usage in tokens per second, by workspace and priority.
      limits: Usage limits by workspace. Until `seal_s` after this record was
        sent, the tokens that the router used, reserved or lent, minus those
        that it received, stay at or below the limit.
      seal_s: Time for which the limits apply, in seconds; 0 without limits.
      sent_ms: Wall clock time of the send in Unix milliseconds.
      seen_revision: Newest revision of the store known at that time.
      previous_revision: Revision of the previous record of the process.
      previous_ms: Wall clock time of the send of the previous record.
      earlier_writes: Revisions and wall clock times of the sends of some
        records before that, oldest first.
    """

    address: str
    drawn: dict[str, int] = {}
    used: dict[str, int] = {}
    rates: dict[str, dict[int, float]] = {}
    limits: dict[str, int] = {}
    seal_s: float = 0.0
    sent_ms: int = 0
    seen_revision: int = 0
    previous_revision: int = 0
    previous_ms: int = 0
    earlier_writes: list[tuple[int, int]] = []


_WORKSPACE = msgspec.json.Decoder(WorkspaceRecord)
_ROUTER = msgspec.json.Decoder(RouterRecord)


def workspace_key(workspace: str) -> str:
    """Returns the key of the record of a workspace."""
    return WORKSPACE_PREFIX + workspace


def router_key(process: incarnation.Incarnation) -> str:
    """Returns the key of the record of a router process."""
    return f"{ROUTER_PREFIX}{process}"


def parse_router_key(key: str) -> incarnation.Incarnation:
    """Returns the router process that a record key belongs to.

    Raises:
      ValueError: The key does not belong to a router record.
    """
    return incarnation.parse(key.removeprefix(ROUTER_PREFIX))


def is_earlier_start(key: str, process: incarnation.Incarnation) -> bool:
    """Returns whether a key belongs to another process of the same router."""
    own = router_key(process)
    name = f"{ROUTER_PREFIX}{process.name}/"
    return key.startswith(name) and key != own


def decode_workspace(data: bytes) -> WorkspaceRecord:
    """Decodes the record of a workspace.

    Raises:
      msgspec.MsgspecError: The data is not a valid record.
    """
    return _WORKSPACE.decode(data)


def decode_router(data: bytes) -> RouterRecord:
    """Decodes the record of a router process.

    Raises:
      msgspec.MsgspecError: The data is not a valid record.
    """
    return _ROUTER.decode(data)


def encode(record: WorkspaceRecord | RouterRecord) -> bytes:
    """Encodes a record."""
    return msgspec.json.encode(record)


def with_changes(
    drawn: Mapping[str, int], deltas: Mapping[str, int]
) -> dict[str, int]:
    """Returns the amounts after the changes, without zero amounts."""
    names = drawn.keys() | deltas.keys()
    sums = {n: drawn.get(n, 0) + deltas.get(n, 0) for n in sorted(names)}
    return {name: amount for name, amount in sums.items() if amount}
