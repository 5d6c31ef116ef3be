"""Writes the billing records of one grant to the key-value service."""

from collections.abc import Callable
import itertools

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import node_context

# Keeps a batch far below the value limit of the key-value service, 1 MB.
_MAX_RECORDS_PER_BATCH = 1000

OnBatchDurable = Callable[
    [tuple[billing_batch.BillingRecord, ...], int, int], None
]


class BillingLog:
    """Appends batches under create-only keys, one call in flight at a time.

    A writer whose create fails because the key exists applies the batch that is
    stored there, so it has read all earlier batches before each write.

    Attributes:
      pending: Records to write, by request id.
      batches: Number of durable batches.
      logged: Spend in these batches.
      final: Whether a final batch is durable that ends the log for this writer.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        workspace: str,
        grant_id: str,
        *,
        batches: int,
        logged: int,
        on_batch_durable: OnBatchDurable,
    ) -> None:
        self._ctx = ctx
        self._workspace = workspace
        self._grant_id = grant_id
        self._on_batch_durable = on_batch_durable
        self._token = 0
        self._sent: billing_batch.BillingBatch | None = None
        self._epoch = 0
        self._outcome_unknown = False
        self._retry_at_s = float("-inf")
        self._flush_at_s: float | None = None
        self.pending: dict[str, billing_batch.BillingRecord] = {}
        self.batches = batches
        self.logged = logged
        self.final = False

    def owns(self, token: int) -> bool:
        """Whether a token belongs to the call in flight."""
        return token == self._token

    @property
    def busy(self) -> bool:
        """Whether a call is in flight."""
        return self._token != 0

    def add(self, record: billing_batch.BillingRecord) -> None:
        """Queues a record for the next batch."""
        self.pending[record.request_id] = record
        if self._flush_at_s is None:
            self._flush_at_s = (
                self._ctx.now_s + self._ctx.timing.flush_interval_s
            )

    def pump(self, epoch: int, *, closing: bool) -> float | None:
        """Starts the next call if it is due.

        Args:
          epoch: Epoch of this writer.
          closing: Whether the grant is to be closed, so that a final batch is
            written.

        Returns:
          Time at which to call again; None if there is nothing to wait for.
        """
        if self.busy or self.final:
            return None
        if not self.pending and not closing:
            return None
        due_s = self._flush_at_s or self._ctx.now_s
        if closing or self._ctx.draining:
            due_s = self._ctx.now_s
        if len(self.pending) >= _MAX_RECORDS_PER_BATCH:
            due_s = self._ctx.now_s
        due_s = max(due_s, self._retry_at_s)
        if due_s > self._ctx.now_s:
            return due_s
        self._token = self._ctx.start_call(self._workspace)
        key = billing_batch.key(self._workspace, self._grant_id, self.batches)
        if self._outcome_unknown:
            self._ctx.out.append(actions.KvRead(self._token, key))
        else:
            self._create(key, epoch, closing)
        return None

    def on_cas(self, result: kv_store.CasResult | refusal.Refusal) -> None:
        """Handles the result of a create call."""
        self._token = 0
        if isinstance(result, refusal.Refusal):
            self._back_off()
            self._outcome_unknown = True
        elif result.succeeded:
            assert self._sent is not None
            self._apply_durable_batch(self._sent)
        elif result.current is not None:
            self._apply_durable_batch(
                billing_batch.decode(result.current.value)
            )

    def on_read(self, result: kv_store.ReadResult | refusal.Refusal) -> None:
        """Handles the read that follows a create with an unknown outcome."""
        self._token = 0
        if isinstance(result, refusal.Refusal):
            self._back_off()
            return
        self._outcome_unknown = False
        if result.entries:
            self._apply_durable_batch(
                billing_batch.decode(result.entries[0].value)
            )

    def _create(self, key: str, epoch: int, closing: bool) -> None:
        records = tuple(
            itertools.islice(self.pending.values(), _MAX_RECORDS_PER_BATCH)
        )
        self._sent = billing_batch.BillingBatch(
            records,
            self.logged + sum(r.cost for r in records),
            epoch,
            final=closing and len(records) == len(self.pending),
        )
        self._epoch = epoch
        self._ctx.out.append(
            actions.KvCas(self._token, key, 0, billing_batch.encode(self._sent))
        )

    def _apply_durable_batch(self, batch: billing_batch.BillingBatch) -> None:
        self.batches += 1
        self.logged = batch.settled
        if batch.final and batch.epoch >= self._epoch:
            self.final = True
        for record in batch.records:
            self.pending.pop(record.request_id, None)
        self._flush_at_s = self._ctx.now_s if self.pending else None
        self._on_batch_durable(batch.records, self.batches, self.logged)

    def _back_off(self) -> None:
        self._retry_at_s = self._ctx.now_s + self._ctx.timing.kv_backoff_s
