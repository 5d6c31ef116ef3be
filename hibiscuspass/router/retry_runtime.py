"""Retry policy on the monotonic clock of the process."""

import random
import time

from hibiscuspass.core.retry import backoff
from hibiscuspass.core.retry import retry_budget
from hibiscuspass.router import retry_policy
from hibiscuspass.settings import retry as retry_settings


class RetryRuntime(retry_policy.RetryPolicy):
    """Combines the retry budget and the backoff of `core.retry`."""

    def __init__(
        self,
        budget_cfg: retry_budget.RetryBudgetConfig,
        backoff_cfg: backoff.BackoffConfig,
        rng: random.Random,
    ) -> None:
        self._budget = retry_budget.RetryBudget(budget_cfg, time.monotonic())
        self._backoff = backoff.Backoff(backoff_cfg, rng)

    def on_request(self) -> None:
        """See base class."""
        self._budget.on_request(time.monotonic())

    def allow_retry(self) -> bool:
        """See base class."""
        return self._budget.try_spend(time.monotonic())

    def delay_s(self, retry: int) -> float:
        """Returns a random delay that grows with each retry."""
        return self._backoff.delay_s(retry)


def make_retry_policy(
    cfg: retry_settings.RetrySettings, rng: random.Random
) -> RetryRuntime:
    """Returns the retry policy of a router."""
    return RetryRuntime(
        retry_budget.RetryBudgetConfig(ratio=cfg.budget_ratio),
        backoff.BackoffConfig(
            base_s=cfg.backoff_min_s, max_s=cfg.backoff_max_s
        ),
        rng,
    )
