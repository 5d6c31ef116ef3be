"""The administration API with a ledger and fake holders of grants."""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import permit
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import member
from tests import admin_fakes
from tests import config_fakes

A = incarnation.Incarnation("a", "1")
B = incarnation.Incarnation("b", "1")
C = incarnation.Incarnation("c", "1")
WORKSPACE_PATH = "/v1/workspaces/bakery"
LEDGER_KEY = ledger_codec.key("bakery")


class AdminWithLedger(admin_fakes.Admin):
    """Serves the API over a ledger with grants and fake holders."""

    def ledger(self):
        return ledger_codec.decode(self.store.data.values[LEDGER_KEY].value)

    def change_ledger(self, change, *args):
        current = self.store.data.values.get(LEDGER_KEY)
        ledger = self.ledger() if current else ledger_lib.Ledger("bakery")
        changed = change(ledger, *args)
        assert isinstance(changed, ledger_lib.Ledger), changed
        self.store.data.write(
            LEDGER_KEY,
            current.revision if current else 0,
            ledger_codec.encode(changed),
        )

    def set_up_grant(self, witness=B):
        """Tops up 1000 and grants `a` 400 of it, of which 40 are billed."""
        self.change_ledger(ledger_lib.top_up, "t", 1000)
        self.change_ledger(ledger_lib.draw, "g", A, witness, 400)
        self.add_batch("g", 0, [("r1", 40)], 40)
        self.change_ledger(ledger_lib.record_settlement, "g", "g", 40, 1)

    def add_batch(self, grant_id, sequence, costs, settled, **fields):
        records = tuple(
            billing_batch.BillingRecord(
                r, grant_id, c, permit.CostKind.REPORTED, "a/1", "m"
            )
            for r, c in costs
        )
        batch = billing_batch.BillingBatch(
            records, settled, **{"epoch": 1, **fields}
        )
        self.store.data.write(
            billing_batch.key("bakery", grant_id, sequence),
            0,
            billing_batch.encode(batch),
        )

    def billing_records(self):
        return [
            record
            for key, value in sorted(self.store.data.values.items())
            if key.startswith("bills/bakery/")
            for record in billing_batch.decode(value.value).records
        ]

    def register(self, router, answer=None):
        address = f"{router.name}:1"
        self.store.data.write(
            keys.member(str(router)),
            0,
            member.encode(member.Member(address, "domain-a", "north")),
        )
        if answer is None:
            return
        transport = config_fakes.FakeTransport(self.network, router, address)

        async def on_query(_, msg):
            assert msg.to == router
            return messages.GrantAnswer(
                msg.ask_id, msg.workspace, router, (answer,)
            )

        async def on_report(_, msg):
            return attrs.evolve(answer, ask_id=msg.ask_id)

        if isinstance(answer, messages.Report):
            transport.register(messages.ReportRequest, on_report)
        else:
            transport.register(messages.GrantQuery, on_query)
        self.network.peers[address] = transport

    async def report(self):
        status, report = await self.call("GET", f"{WORKSPACE_PATH}/report")
        assert status == 200, report
        return report

    async def top_up(self, top_up_id="t1", amount=500):
        return await self.call(
            "POST",
            f"{WORKSPACE_PATH}/top-ups",
            {"id": top_up_id, "amount": amount},
        )

    async def decide(self, charge, grant_id="g"):
        return await self.call(
            "POST", f"{WORKSPACE_PATH}/in-doubt/{grant_id}", {"charge": charge}
        )


async def always_timeout(*args, **kwargs):
    """Replaces a call of the key-value service; every reply is lost."""
    return config_fakes.TIMEOUT


def bounds(report):
    """Returns the bounds and the amount in doubt of a report."""
    return (
        report["spent_at_least"],
        report["spent_at_most"],
        report["remaining_at_least"],
        report["in_doubt"],
    )
