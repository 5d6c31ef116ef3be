"""Delay before a retry."""

import random

import attrs


@attrs.frozen
class BackoffConfig:
    """Parameters of exponential backoff.

    Attributes:
      base_s: Upper bound of the first delay in seconds.
      factor: Growth of the bound per attempt.
      max_s: Largest bound in seconds.
    """

    base_s: float = 0.02
    factor: float = 2.0
    max_s: float = 1.0


class Backoff:
    """Exponential backoff with full jitter."""

    def __init__(self, cfg: BackoffConfig, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng

    def delay_s(self, attempt: int) -> float:
        """Returns the delay in seconds before retry `attempt`, from 1.

        Raises:
          ValueError: `attempt` is below 1.
        """
        if attempt < 1:
            raise ValueError(f"attempt {attempt}: expected at least 1")
        bound_s = self._cfg.base_s
        for _ in range(attempt - 1):
            bound_s = min(self._cfg.max_s, bound_s * self._cfg.factor)
        return self._rng.uniform(0.0, min(self._cfg.max_s, bound_s))
