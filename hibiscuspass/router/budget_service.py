"""Interface of the budget subsystem for the request path."""

import abc

from hibiscuspass.core import refusal
from hibiscuspass.core.budget import permit as permit_lib


class BudgetService(abc.ABC):
    """Acquires and settles permits for an entry router."""

    @abc.abstractmethod
    async def acquire(
        self, req: permit_lib.PermitRequest, *, timeout_s: float
    ) -> permit_lib.Permit | permit_lib.Attach | refusal.Refusal:
        """Acquires a permit, which holds the worst-case cost of a request.

        If this call is cancelled, the attempt is voided.

        Returns:
          The permit; `Attach` if another attempt of the same keyed request has
          or had a permit; or a refusal, after which no budget is held for the
          attempt.
        """

    @abc.abstractmethod
    def mark_used(self, permit: permit_lib.Permit, backend: str) -> None:
        """Records the backend server of a permit.

        Call it before the first byte is sent to that server.
        """

    @abc.abstractmethod
    def settle(
        self,
        permit: permit_lib.Permit,
        cost: int,
        kind: permit_lib.CostKind,
    ) -> None:
        """Reports the final cost, which is 0 if the request was not run.

        Returns immediately. The report is repeated until it is durable.
        """

    @abc.abstractmethod
    async def drain(self, *, timeout_s: float) -> bool:
        """Flushes billing records and returns grants for a graceful stop.

        Returns:
          Whether all records were flushed and all grants returned in time.
        """
