"""Retry budget of one router."""

import attrs


@attrs.frozen
class RetryBudgetConfig:
    """Limits of the retry budget.

    Attributes:
      ratio: Retries earned by one first attempt, 0 to 1.
      floor_per_s: Retries earned per second, regardless of requests, so that an
        idle router can retry.
      burst: Largest number of saved retries.
    """

    ratio: float = 0.1
    floor_per_s: float = 1.0
    burst: float = 20.0


class RetryBudget:
    """Token bucket that is filled by first attempts.

    It limits retries to a fixed share of the requests, so that a failing
    backend server can't multiply the load on the remaining ones.
    """

    def __init__(self, cfg: RetryBudgetConfig, now_s: float) -> None:
        self._cfg = cfg
        self._tokens = cfg.burst
        self._updated_s = now_s

    def on_request(self, now_s: float) -> None:
        """Records a first attempt."""
        self._refill(now_s)
        self._tokens = min(self._cfg.burst, self._tokens + self._cfg.ratio)

    def try_spend(self, now_s: float) -> bool:
        """Spends one retry; returns False if none is available."""
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        self._tokens = min(
            self._cfg.burst, self._tokens + elapsed_s * self._cfg.floor_per_s
        )
