"""Settings of a router's budget runtime."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class BudgetSettings:
    """Intervals and time limits of the budget runtime.

    Attributes:
      flush_interval_s: Interval between batches of billing records, in
        seconds.
      permit_timeout_s: Time limit for the response of one peer to a permit
        request, in seconds.
      orphan_window_s: Time in seconds for which the open permit of a router
        that has left the fleet is kept for a retry of the caller.
      dedup_retention_s: Time in seconds for which settled requests with an
        idempotency key are kept.
    """

    flush_interval_s: float = attrs.field(
        default=1.0, validator=checks.in_range(0.01, 60)
    )
    permit_timeout_s: float = attrs.field(
        default=0.25, validator=checks.in_range(0.01, 10)
    )
    orphan_window_s: float = attrs.field(
        default=120.0, validator=checks.in_range(0, 86_400)
    )
    dedup_retention_s: float = attrs.field(
        default=3600.0, validator=checks.in_range(1, 604_800)
    )
