"""Records of the ledger in the store.

Per workspace one total of all draws; per start of a router what it drew. Both
change in one transaction.
"""

from collections.abc import Mapping

import msgspec

from hibiscuspass.core import incarnation

WORKSPACE_PREFIX = "prepaid/"
ROUTER_PREFIX = "routers/"


class WorkspaceRecord(msgspec.Struct, frozen=True):
    """Tokens of one workspace that routers drew and did not return."""

    drawn: int = 0


class RouterRecord(msgspec.Struct, frozen=True):
    """One start of a router.

    Attributes:
      address: `host:port` of its peer link.
      drawn: Tokens drawn and not returned, by workspace; negative if it
        returned tokens that it had received from peers.
      used: Tokens used when the record was written, by workspace.
      rates: Tokens per second used lately, by workspace and priority.
      limits: Tokens that the router uses or lends at most, less those that it
        received, until `seal_s` after this record was sent; by workspace.
      seal_s: Time for which the limits hold, in seconds; 0 without limits.
      sent_ms: Time of day when the record was sent, in Unix milliseconds.
      seen_revision: Newest revision of the store known at that time.
      previous_revision: Revision of the record before this one.
      previous_ms: Time of day when that one was sent.
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


_WORKSPACE = msgspec.json.Decoder(WorkspaceRecord)
_ROUTER = msgspec.json.Decoder(RouterRecord)


def workspace_key(workspace: str) -> str:
    """Returns the key of a workspace's record."""
    return WORKSPACE_PREFIX + workspace


def router_key(process: incarnation.Incarnation) -> str:
    """Returns the key of a router's record."""
    return f"{ROUTER_PREFIX}{process}"


def parse_router_key(key: str) -> incarnation.Incarnation:
    """Returns the router of a record's key.

    Raises:
      ValueError: The key is not of a router's record.
    """
    return incarnation.parse(key.removeprefix(ROUTER_PREFIX))


def is_earlier_start(key: str, process: incarnation.Incarnation) -> bool:
    """Returns whether a key is of another start of the same router."""
    own = router_key(process)
    name = f"{ROUTER_PREFIX}{process.name}/"
    return key.startswith(name) and key != own


def decode_workspace(data: bytes) -> WorkspaceRecord:
    """Decodes a workspace's record.

    Raises:
      msgspec.MsgspecError: The data is not such a record.
    """
    return _WORKSPACE.decode(data)


def decode_router(data: bytes) -> RouterRecord:
    """Decodes a router's record.

    Raises:
      msgspec.MsgspecError: The data is not such a record.
    """
    return _ROUTER.decode(data)


def encode(record: WorkspaceRecord | RouterRecord) -> bytes:
    """Encodes a record."""
    return msgspec.json.encode(record)


def with_changes(
    drawn: Mapping[str, int], deltas: Mapping[str, int]
) -> dict[str, int]:
    """Returns the amounts after changes; zero amounts are left out."""
    names = drawn.keys() | deltas.keys()
    sums = {n: drawn.get(n, 0) + deltas.get(n, 0) for n in sorted(names)}
    return {name: amount for name, amount in sums.items() if amount}
