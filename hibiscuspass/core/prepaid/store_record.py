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
# Between the start id and the era in keys of router records.
_ERA_SEPARATOR = "-"


class WorkspaceRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of one workspace.

    Attributes:
      drawn: Tokens that routers drew and did not return.
      era: Era of the store in which the record was written; None if the store
        names none.
      base: Total with which the workspace began the era while routers were
        missing, see `reconciliation`; 0 otherwise.
    """

    drawn: int = 0
    era: int | None = None
    base: int = 0


class Claim(msgspec.Struct, frozen=True):
    """What a router knew before the store was restored.

    Attributes:
      since_era: Era in which the process began to draw; None if it had not
        begun. From then on it knows the draws of earlier starts.
      totals: Newest known total of each workspace: era, revision and tokens
        drawn by all routers.
      prepaid: Largest known prepaid amount by workspace.
      names: Names of this router and of all that it knew.
      replaced: Start ids of processes whose records it has removed.
      copy_age_s: Largest possible time from the copy of the store until this
        router noticed its restore; None if unknown.
      unseen: Tokens by workspace that earlier starts may have drawn since the
        copy, if it is young enough; None if unknown.
    """

    since_era: int | None
    totals: dict[str, tuple[int, int, int]] = {}
    prepaid: dict[str, int] = {}
    names: list[str] = []
    replaced: list[str] = []
    copy_age_s: float | None = None
    unseen: dict[str, int] | None = None


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
      era: Era of the store in which the record was written; None if the store
        names none.
      claim: What the router knew before this era, until all routers have
        claimed.
      is_closing: Whether the router has stopped and draws nothing any more.
      caps: Largest number of tokens that all starts of the router draw, by
        workspace, see `draw_caps`; None without caps.
      caps_in_force: The same with regard to earlier records.
      gross: Tokens that all starts of the router drew, by workspace, without
        regard to returns.
      gross_before: The same before this record.
      written_s: Time of the record on the monotonic clock of its process.
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
    era: int | None = None
    claim: Claim | None = None
    is_closing: bool = False
    caps: dict[str, int] | None = None
    caps_in_force: dict[str, int] | None = None
    gross: dict[str, int] = {}
    gross_before: dict[str, int] = {}
    written_s: float = 0.0


_WORKSPACE = msgspec.json.Decoder(WorkspaceRecord)
_ROUTER = msgspec.json.Decoder(RouterRecord)


def workspace_key(workspace: str) -> str:
    """Returns the key of the record of a workspace."""
    return WORKSPACE_PREFIX + workspace


def router_key(process: incarnation.Incarnation, era: int | None = None) -> str:
    """Returns the key of the record of a router process.

    A write of an earlier era that arrives late expects the key of that era,
    which is removed. The revision of the same key could be assigned again.

    Args:
      process: The process.
      era: Era of the store, if the process began to write in an earlier one.
    """
    suffix = "" if era is None else f"{_ERA_SEPARATOR}{era}"
    return f"{ROUTER_PREFIX}{process}{suffix}"


def parse_router_key(key: str) -> incarnation.Incarnation:
    """Returns the router process that a record key belongs to.

    Raises:
      ValueError: The key does not belong to a router record.
    """
    name, slash, _ = key.removeprefix(ROUTER_PREFIX).rpartition("/")
    return incarnation.parse(name + slash + start_id(key))


def is_earlier_start(key: str, process: incarnation.Incarnation) -> bool:
    """Returns whether a key belongs to another process of the same router."""
    name = f"{ROUTER_PREFIX}{process.name}/"
    return key.startswith(name) and start_id(key) != process.start_id


def start_id(key: str) -> str:
    """Returns the start id in the key of a router record, in any era."""
    return key.rpartition("/")[2].split(_ERA_SEPARATOR)[0]


def is_older(era: int | None, present: int | None) -> bool:
    """Returns whether a record was written in an earlier era."""
    return era is not None and present is not None and era < present


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
