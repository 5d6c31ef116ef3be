"""What the coordinator asks its shell to do, one outcome each."""

import attrs

from hibiscuspass.backends import engine


@attrs.frozen
class ReadLeader:
    """Read the leader key; `ReadResult` or `Refusal`."""


@attrs.frozen
class GrantLease:
    """Create a lease; its id or `Refusal`."""

    ttl_s: int


@attrs.frozen
class CreateLeader:
    """Create the leader key with a lease; `CasResult` or `Refusal`."""

    lease_id: int
    value: bytes


@attrs.frozen
class KeepAlive:
    """Renew the lease; its TTL or `Refusal`."""

    lease_id: int


@attrs.frozen
class ReadRecords:
    """Read all records; `ReadResult` or `Refusal`."""


@attrs.frozen
class WriteRecord:
    """Compare-and-swap a record; `CasResult` or `Refusal`.

    Attributes:
      backend: Name of the backend server.
      expected_revision: Revision of the key, 0 if it must be absent.
      value: New value, None to delete the record.
    """

    backend: str
    expected_revision: int
    value: bytes | None


@attrs.frozen
class ReadState:
    """Read what an engine reports; `EngineState` or `Refusal`."""

    backend: str


@attrs.frozen
class ReserveLoad:
    """Ask the weight store for one load; None or `Refusal`."""

    backend: str
    model: str
    version: str


@attrs.frozen
class SendOrder:
    """Send an order to an engine; None or `Refusal`."""

    backend: str
    order: engine.Order


Action = (
    ReadLeader
    | GrantLease
    | CreateLeader
    | KeepAlive
    | ReadRecords
    | WriteRecord
    | ReadState
    | ReserveLoad
    | SendOrder
)
