"""What requests in a simulated fleet really cost."""

from tests import budget_parts


class Truth:
    """Runs and the spend that follows from them."""

    def __init__(self) -> None:
        self.runs: dict[str, budget_parts.Run] = {}
        self.orphans: dict[tuple[str, str], int] = {}

    def _costs(
        self, at_s: float = float("inf")
    ) -> dict[tuple[str, str], tuple[int, int]]:
        """Returns for each hold its cost and what a report may show.

        A retry that took over the permit of a lost router settles the cost of
        the whole request. Without one, such a request may be billed at its
        full hold.
        """
        groups: dict[tuple[str, str], list[budget_parts.Run]] = {}
        for run in self.runs.values():
            if run.started_at_s <= at_s:
                key = (run.permit.request_id, run.permit.grant_id)
                groups.setdefault(key, []).append(run)
        return {key: self._cost(runs) for key, runs in groups.items()}

    def _cost(self, runs: list[budget_parts.Run]) -> tuple[int, int]:
        settled = max((r.cost or 0 for r in runs), default=0)
        unknown = [r.permit.hold for r in runs if r.cost is None]
        cost = settled or max(unknown, default=0)
        lost = [r.permit.hold for r in runs if r.entry_lost]
        return cost, max([cost, *lost])

    def spent(self) -> int:
        """Returns the settled cost plus the holds of everything running."""
        return sum(cost for cost, _ in self._costs().values())

    def spent_at(self, at_s: float) -> int:
        """Returns the spend of the runs that had started at a time."""
        return sum(cost for cost, _ in self._costs(at_s).values())

    def reported_bound(self) -> int:
        """Returns the most that a report may call certainly spent."""
        costs = {k: shown for k, (_, shown) in self._costs().items()}
        for key, hold in self.orphans.items():
            costs[key] = max(costs.get(key, 0), hold)
        return sum(costs.values())
