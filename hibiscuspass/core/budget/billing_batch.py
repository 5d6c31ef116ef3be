"""Billing records and the batches in which they are stored."""

import attrs
import msgspec

from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_row


@attrs.frozen
class BillingRecord:
    """The only billing record of a request that ran.

    Attributes:
      request_id: Request that ran.
      grant_id: Grant that paid.
      cost: Cost in budget units, above 0.
      kind: How the cost was determined.
      entry: `name/start_id` of the entry router.
      model: Name of the requested model or service.
    """

    request_id: str
    grant_id: str
    cost: int
    kind: permit_lib.CostKind
    entry: str
    model: str


@attrs.frozen
class BillingBatch:
    """The value of one key of the billing log.

    Attributes:
      records: Records that the batch adds.
      settled: Spend of the grant up to and including this batch.
      epoch: Epoch of the writer.
      final: Whether the writer is about to close the grant. After a final
        batch, writers of its own epoch and of earlier ones must not add
        another; a holder that took the grant over later may still have permits
        to bill.
    """

    records: tuple[BillingRecord, ...]
    settled: int
    epoch: int
    final: bool = False


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(BillingBatch)


def key(workspace: str, grant_id: str, sequence: int) -> str:
    """Returns the key of a batch, zero-padded so that keys sort by number."""
    return f"{prefix(workspace, grant_id)}{sequence:010d}"


def prefix(workspace: str, grant_id: str) -> str:
    """Returns the prefix of all batches of a grant."""
    return f"bills/{workspace}/{grant_id}/"


def encode(batch: BillingBatch) -> bytes:
    """Encodes a batch as it is stored."""
    return _encoder.encode(batch)


def decode(value: bytes) -> BillingBatch:
    """Decodes a stored batch."""
    return _decoder.decode(value)


def make_record(row: permit_row.PermitRow, grant_id: str) -> BillingRecord:
    """Returns the billing record of a settled permit."""
    return BillingRecord(
        row.request_id,
        grant_id,
        row.cost,
        row.kind,
        str(row.entry),
        row.model,
    )
