"""Budget runtime of a router."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class BudgetSettings:
    """Intervals and time limits of the budget runtime.

    Attributes:
      flush_interval_s: Seconds between two batches of billing records.
      permit_timeout_s: Time limit for one peer's answer to a permit request.
      orphan_window_s: Time for which an open permit of an entry router that
        is gone waits for the caller's retry.
      dedup_retention_s: Time for which settled keyed requests are kept.
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
