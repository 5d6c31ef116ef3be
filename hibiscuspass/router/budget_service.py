"""What the request path needs from the budget subsystem."""

import abc

from hibiscuspass.core import refusal
from hibiscuspass.core.budget import permit as permit_lib


class BudgetService(abc.ABC):
    """Permits and settlement, seen from an entry router."""

    @abc.abstractmethod
    async def acquire(
        self, req: permit_lib.PermitRequest, *, timeout_s: float
    ) -> permit_lib.Permit | permit_lib.Attach | refusal.Refusal:
        """Holds the worst-case cost of a request.

        After a refusal no budget is held for the attempt. A cancelled call
        voids the attempt.
        """

    @abc.abstractmethod
    def mark_used(self, permit: permit_lib.Permit, backend: str) -> None:
        """Records the backend server before the first byte is sent to it."""

    @abc.abstractmethod
    def settle(
        self,
        permit: permit_lib.Permit,
        cost: int,
        kind: permit_lib.CostKind,
    ) -> None:
        """Reports the final cost; 0 if the request was not run.

        Returns at once. The report is kept and repeated until it is durable.
        """

    @abc.abstractmethod
    async def drain(self, *, timeout_s: float) -> bool:
        """Flushes bills and returns grants for a planned stop.

        Returns:
          Whether everything was flushed and returned in time.
        """
