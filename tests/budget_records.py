"""The ledger and the billing log of a simulated fleet."""

from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import permit as permit_lib
from tests import budget_parts

WORKSPACE = "w"


class Records:
    """Reads the stored budget records and changes them as operators do.

    Attributes:
      kv: The key-value service.
      charged: Ids of grants in doubt that an operator has charged.
      routers: Running routers.
    """

    def __init__(self) -> None:
        self.kv = budget_parts.FakeKv()
        self.charged: set[str] = set()
        self.routers: dict[
            budget_parts.incarnation.Incarnation, budget_parts.Router
        ] = {}

    def ledger(self) -> ledger_lib.Ledger:
        """Returns the present ledger."""
        found = self.kv.data.get(ledger_codec.key(WORKSPACE))
        if found is None:
            return ledger_lib.Ledger(WORKSPACE)
        return ledger_codec.decode(found.value)

    def _store(self, led: ledger_lib.Ledger) -> None:
        key = ledger_codec.key(WORKSPACE)
        found = self.kv.data.get(key)
        self.kv.cas(
            key, found.revision if found else 0, ledger_codec.encode(led)
        )

    def top_up(self, top_up_id: str, amount: int) -> None:
        """Adds prepaid units as an operator does."""
        led = ledger_lib.top_up(self.ledger(), top_up_id, amount)
        assert isinstance(led, ledger_lib.Ledger)
        self._store(led)

    def batches(self) -> list[tuple[str, billing_batch.BillingBatch]]:
        """Returns all billing batches with their keys."""
        return [
            (k, billing_batch.decode(v.value))
            for k, v in sorted(self.kv.data.items())
            if k.startswith("bills/")
        ]

    def records(self) -> list[billing_batch.BillingRecord]:
        """Returns all billing records."""
        return [r for _, b in self.batches() for r in b.records]

    def charge_in_doubt(self) -> None:
        """Charges the unlogged rest of grants that lost holder and witness."""
        for g in list(self.ledger().grants.values()):
            if g.holder in self.routers or g.witness in self.routers:
                continue
            prefix = billing_batch.prefix(WORKSPACE, g.id)
            mine = [b for k, b in self.batches() if k.startswith(prefix)]
            logged = mine[-1].settled if mine else 0
            rest = g.amount - logged
            record = billing_batch.BillingRecord(
                f"operator:{g.id}",
                g.id,
                rest,
                permit_lib.CostKind.ESTIMATED,
                "operator",
                "",
            )
            batch = billing_batch.BillingBatch(
                (record,) if rest else (), g.amount, g.epoch + 1, final=True
            )
            key = billing_batch.key(WORKSPACE, g.id, len(mine))
            self.kv.cas(key, 0, billing_batch.encode(batch))
            led = ledger_lib.charge(
                self.ledger(), g.id, g.operation, logged, rest
            )
            assert isinstance(led, ledger_lib.Ledger), led
            self._store(led)
            self.charged.add(g.id)
