"""Checks of the guarantees that a simulated fleet must keep."""

import collections

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from tests import budget_records
from tests import budget_spend


class Checks(budget_records.Records, budget_spend.ActualSpend):
    """Compares the ledger and the billing records with the actual spend."""

    def __init__(self) -> None:
        budget_records.Records.__init__(self)
        budget_spend.ActualSpend.__init__(self)
        self.outcomes: dict[str, actions.Outcome] = {}
        self.final_attempts: list[str] = []

    def check_no_overspend(self) -> None:
        """Asserts that no more is spent than prepaid at this time."""
        prepaid = self.ledger().prepaid
        assert self.spent() <= prepaid, (
            f"overspend: {self.spent()} of {prepaid}"
        )

    def check_refusals(self) -> None:
        """Asserts that no request which may have run was refused as not run.

        Grants that an operator has charged are exempt, because their tables,
        which recognize retries, are lost.
        """
        false_refusals = [
            attempt_id
            for attempt_id, grants in self.false_refusals
            if not grants <= self.charged
        ]
        assert not false_refusals, false_refusals

    def check_billing(self) -> None:
        """Asserts, after quiescence, one bill for each request that ran."""
        counts = collections.Counter(r.request_id for r in self.records())
        repeated = {i: n for i, n in counts.items() if n > 1}
        assert not repeated, f"billed more than once: {repeated}"
        for run in self.runs.values():
            ran = run.cost is None or run.cost > 0
            if not ran or run.permit.grant_id in self.charged:
                continue
            assert counts[run.permit.request_id] == 1, f"not billed: {run}"
        by_request = {r.request_id: r for r in self.records()}
        for run in self.runs.values():
            record = by_request.get(run.permit.request_id)
            if run.cost and record and not run.entry_lost:
                assert record.cost >= run.cost, (run, record)
        led = self.ledger()
        logged: dict[str, int] = {}
        for key, batch in self.batches():
            logged[key.split("/")[2]] = batch.settled
        open_logged = sum(logged.get(i, 0) for i in led.grants)
        total = sum(r.cost for r in self.records())
        assert total == led.settled + open_logged, (total, led, logged)

    def check_quiet(self) -> None:
        """Asserts that nothing is in progress after quiescence.

        A request may then be refused only because the budget is exhausted.
        """
        for attempt_id in self.final_attempts:
            outcome = self.outcomes[attempt_id]
            if isinstance(outcome, refusal.Refusal):
                exhausted = reason_lib.Reason.BUDGET_EXHAUSTED
                assert outcome.reason is exhausted, outcome
        for own, router in self.routers.items():
            assert not router.node.entry.uses, (own, router.node.entry.uses)
            for holder in router.node.holders.values():
                for held in holder.state.grants.values():
                    assert held.table.open_count == 0, held.table.rows
        for g in self.ledger().grants.values():
            assert g.holder in self.routers, f"stranded: {g}"
