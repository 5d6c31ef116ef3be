"""I/O actions that the coordinator requests, each with one outcome.

The core of the coordinator does no I/O itself. It returns these actions, and
`coordinator.shell` executes them and reports their outcomes.
"""

import attrs

from hibiscuspass.backends import engine


@attrs.frozen
class ReadLeader:
    """Reads the leader key; the outcome is a `ReadResult` or a `Refusal`."""


@attrs.frozen
class GrantLease:
    """Creates a lease; the outcome is its id or a `Refusal`."""

    ttl_s: int


@attrs.frozen
class CreateLeader:
    """Creates the leader key and attaches it to a lease.

    The outcome is a `CasResult` or a `Refusal`.
    """

    lease_id: int
    value: bytes


@attrs.frozen
class KeepAlive:
    """Renews the lease; the outcome is its TTL or a `Refusal`."""

    lease_id: int


@attrs.frozen
class ReadRecords:
    """Reads all placement records.

    The outcome is a `ReadResult` or a `Refusal`.
    """


@attrs.frozen
class WriteRecord:
    """Writes or deletes a placement record by compare-and-swap.

    The outcome is a `CasResult` or a `Refusal`.

    Attributes:
      backend: Name of the backend server.
      expected_revision: Revision that the key must have, 0 if the key must be
        absent.
      value: New value, None to delete the record.
    """

    backend: str
    expected_revision: int
    value: bytes | None


@attrs.frozen
class ReadState:
    """Reads the state that an engine reports.

    The outcome is an `EngineState` or a `Refusal`.
    """

    backend: str


@attrs.frozen
class ReserveLoad:
    """Asks the weight store for permission to load one model on an engine.

    The outcome is None or a `Refusal`.
    """

    backend: str
    model: str
    version: str


@attrs.frozen
class SendOrder:
    """Sends an order to an engine; the outcome is None or a `Refusal`."""

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
