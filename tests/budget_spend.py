"""The actual spend of requests in a simulated fleet."""

from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import permit as permit_lib
from tests import budget_parts


class ActualSpend:
    """Records runs and computes the spend that follows from them."""

    def __init__(self) -> None:
        self.runs: dict[str, budget_parts.Run] = {}
        self.orphans: dict[tuple[str, str], int] = {}
        # Request id of each attempt, by attempt id.
        self.requests: dict[str, str] = {}
        # Attempts that were refused as not run, with the grants under which
        # another attempt of the same request may have run.
        self.false_refusals: list[tuple[str, set[str]]] = []

    def record_outcome(
        self,
        action: actions.FinishAcquire,
        entry: incarnation.Incarnation,
        now_s: float,
    ) -> None:
        """Records a new run, or a false refusal as not run."""
        outcome = action.outcome
        if isinstance(outcome, permit_lib.Permit):
            run = budget_parts.Run(outcome, entry, now_s)
            self.runs[action.attempt_id] = run
        elif (
            isinstance(outcome, refusal.Refusal)
            and outcome.run is run_state.RunState.NO
        ):
            request_id = self.requests[action.attempt_id]
            grants = {
                run.permit.grant_id
                for run in self.runs.values()
                if run.permit.request_id == request_id and run.cost != 0
            }
            if grants:
                self.false_refusals.append((action.attempt_id, grants))

    def _costs(
        self, at_s: float = float("inf")
    ) -> dict[tuple[str, str], tuple[int, int]]:
        """Returns the actual cost and the largest reported cost of each hold.

        The keys are request id and grant id. A retry that takes over the permit
        of a lost router settles the cost of the whole request. Without a retry,
        such a request may be billed at its full hold.
        """
        groups: dict[tuple[str, str], list[budget_parts.Run]] = {}
        for run in self.runs.values():
            if run.started_at_s <= at_s:
                key = (run.permit.request_id, run.permit.grant_id)
                groups.setdefault(key, []).append(run)
        return {key: self._cost(runs) for key, runs in groups.items()}

    def _cost(self, runs: list[budget_parts.Run]) -> tuple[int, int]:
        # Runs are in order of their start; the last one settles for all.
        settled = next((r.cost for r in reversed(runs) if r.cost), 0)
        unknown = [r.permit.hold for r in runs if r.cost is None]
        cost = settled or max(unknown, default=0)
        lost = [r.permit.hold for r in runs if r.entry_lost]
        return cost, max([cost, *lost])

    def spent(self) -> int:
        """Returns the settled cost plus the holds of running requests."""
        return sum(cost for cost, _ in self._costs().values())

    def spent_at(self, at_s: float) -> int:
        """Returns the spend of the runs that had started by a time."""
        return sum(cost for cost, _ in self._costs(at_s).values())

    def max_reported_spend(self) -> int:
        """Returns the upper limit for `spent_at_least` of a report."""
        costs = {k: shown for k, (_, shown) in self._costs().items()}
        for key, hold in self.orphans.items():
            costs[key] = max(costs.get(key, 0), hold)
        return sum(costs.values())
