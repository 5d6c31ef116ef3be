"""A share of a workspace's prepaid budget, held by one router."""

import attrs

from hibiscuspass.core import incarnation


@attrs.frozen
class Grant:
    """One grant as it is stored in the ledger.

    Attributes:
      id: Unique id, never used again.
      holder: Router that issues permits from the grant.
      witness: Router that acknowledges each permit; None for a solo grant.
      epoch: Increases with every change of holder or witness.
      amount: Budget units drawn from the ledger, including `settled`.
      settled: Spend in the billing log that has been copied to the ledger.
      batches: Number of billing batches that `settled` includes.
      operation: Id of the change that set holder, witness and epoch. It
        identifies the witness's table for the epoch. At creation it equals
        `id`.
    """

    id: str
    holder: incarnation.Incarnation
    witness: incarnation.Incarnation | None
    epoch: int
    amount: int
    settled: int = 0
    batches: int = 0
    operation: str = ""
