"""Settings of retries and of the ejection of failing backend servers."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class RetrySettings:
    """Retry budget, backoff and ejection.

    Attributes:
      budget_ratio: Maximum retries per first attempt, averaged over all
        requests of the router.
      max_attempts: Maximum attempts per request, including the first one.
      backoff_min_s: Upper bound of the first, random delay in seconds.
      backoff_max_s: Upper bound of all delays in seconds.
      eject_after_failures: Number of consecutive failures after which a
        backend server is ejected.
      eject_s: Duration of the first ejection in seconds.
    """

    budget_ratio: float = attrs.field(
        default=0.1, validator=checks.in_range(0, 1)
    )
    max_attempts: int = attrs.field(default=3, validator=checks.in_range(1, 20))
    backoff_min_s: float = attrs.field(
        default=0.05, validator=checks.in_range(0.001, 60)
    )
    backoff_max_s: float = attrs.field(
        default=2.0, validator=checks.in_range(0.001, 600)
    )
    eject_after_failures: int = attrs.field(
        default=3, validator=checks.in_range(1, 1000)
    )
    eject_s: float = attrs.field(
        default=5.0, validator=checks.in_range(0.1, 3600)
    )

    def __attrs_post_init__(self) -> None:
        if self.backoff_max_s < self.backoff_min_s:
            raise checks.InvalidValueError(
                f"backoff_max_s {self.backoff_max_s}",
                f"at least backoff_min_s, {self.backoff_min_s}",
            )
