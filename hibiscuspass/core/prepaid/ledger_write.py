"""Writes of the prepaid ledger, as `ledger_view.LedgerView` plans them."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Transaction:
    """Conditional write to the ledger.

    Attributes:
      expected: Revision that each key must have.
      writes: New values by key.
      deltas: Tokens drawn (positive) or returned, by workspace.
      drawn: Tokens drawn by this router after the write, by workspace.
      limits: Usage limits of this router after the write, by workspace.
      era: Era of the store for which it was planned.
      written_s: Monotonic time of the plan; 0 without eras.
    """

    expected: Mapping[str, int]
    writes: Mapping[str, bytes]
    deltas: Mapping[str, int]
    drawn: Mapping[str, int]
    limits: Mapping[str, int] = attrs.field(factory=dict)
    era: int | None = None
    written_s: float = 0.0


@attrs.frozen
class Limits:
    """Usage limits to be written with a record.

    Attributes:
      limits: Tokens by workspace, see `store_record.RouterRecord`.
      duration_s: Time for which the limits apply, in seconds.
      now_s: Current monotonic time.
      wall_ms: Current wall clock time in Unix milliseconds.
    """

    limits: Mapping[str, int]
    duration_s: float
    now_s: float
    wall_ms: int


@attrs.frozen
class TokenTakeover:
    """Tokens to take over from a previous process of this router.

    Attributes:
      key: Key of the record of that process.
      revision: Revision of that record.
      drawn: Tokens to take over, by workspace.
    """

    key: str
    revision: int
    drawn: Mapping[str, int]
