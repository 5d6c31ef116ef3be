"""Borrows tokens before requests have to wait for them."""

import asyncio
from collections.abc import Callable
import time

from hibiscuspass.core.prepaid import loan_policy
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.gateway import loans as loans_lib

# Pause after a loan that brought too little. The holders have few tokens left
# then, and requests ask for what they need.
_PAUSE_S = 1.0
_SINGLE_ASKS = 2


class AdvanceLoans:
    """Starts at most one loan per workspace that no request waits for."""

    def __init__(
        self,
        accounts: accounts_lib.PrepaidAccounts,
        loans: loans_lib.Loans,
        monotonic_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._accounts = accounts
        self._loans = loans
        self._monotonic_s = monotonic_s
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._paused_until_s: dict[str, float] = {}

    def on_hold(self, workspace: str, priority: int) -> None:
        """Starts a loan if the tokens of this router end soon.

        Args:
          workspace: Workspace of a request that has just got its tokens.
          priority: Rank of the request, 0 first.
        """
        if workspace in self._tasks or self._accounts.holders.is_holder(
            workspace
        ):
            return
        now_s = self._monotonic_s()
        if now_s < self._paused_until_s.get(workspace, now_s):
            return
        usage = self._accounts.usage(workspace, now_s)
        target = loan_policy.advance_target(usage, now_s)
        if not target:
            return
        task = asyncio.create_task(self._borrow(workspace, target, priority))
        self._tasks[workspace] = task
        task.add_done_callback(lambda _: self._tasks.pop(workspace))

    def close(self) -> None:
        """Ends all loans."""
        for task in self._tasks.values():
            task.cancel()

    async def _borrow(self, workspace: str, target: int, priority: int) -> None:
        await self._loans.borrow(
            workspace, target, priority, single_asks=_SINGLE_ASKS
        )
        if self._accounts.available(workspace) < target:
            self._paused_until_s[workspace] = self._monotonic_s() + _PAUSE_S
