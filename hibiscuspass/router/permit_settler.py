"""Settles a permit exactly once."""

from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.router import budget_service


class PermitSettler:
    """Settles a permit once, however the request ends.

    Attributes:
      permit: The permit.
    """

    def __init__(
        self, budget: budget_service.BudgetService, permit: permit_lib.Permit
    ) -> None:
        self._budget = budget
        self._settled = False
        self.permit = permit

    @property
    def settled(self) -> bool:
        """Whether the cost has been reported."""
        return self._settled

    def mark_used(self, backend: str) -> None:
        """Records the backend server before the first byte is sent to it."""
        self._budget.mark_used(self.permit, backend)

    def settle(self, cost: int, kind: permit_lib.CostKind) -> None:
        """Reports the cost, capped at the held amount.

        Only the first call has an effect.
        """
        if self._settled:
            return
        self._settled = True
        self._budget.settle(self.permit, min(cost, self.permit.hold), kind)
