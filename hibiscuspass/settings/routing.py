"""Settings of the routing policy."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class RoutingSettings:
    """Parameters of the routing policy.

    Attributes:
      policy: Name of the policy; the policies other than `prefix_cost` are
        baselines for comparison.
      prefix_entry_ttl_s: Age in seconds at which an entry of the prefix index
        expires.
      prefix_index_entries: Maximum number of entries of the prefix index.
      prompt_tokens_per_s: Prompt tokens that an engine processes per second.
      load_poll_interval_s: Interval between load reports of one engine, in
        seconds.
      candidates: Number of best engines of which two are chosen at random.
    """

    policy: str = attrs.field(
        default="prefix_cost",
        validator=checks.one_of(
            "prefix_cost", "round_robin", "least_load", "prefix_affinity"
        ),
    )
    prefix_entry_ttl_s: float = attrs.field(
        default=300.0, validator=checks.in_range(1, 86_400)
    )
    prefix_index_entries: int = attrs.field(
        default=100_000, validator=checks.in_range(1, 10_000_000)
    )
    prompt_tokens_per_s: float = attrs.field(
        default=8000.0, validator=checks.in_range(1, 10_000_000)
    )
    load_poll_interval_s: float = attrs.field(
        default=0.5, validator=checks.in_range(0.05, 60)
    )
    candidates: int = attrs.field(default=4, validator=checks.in_range(1, 1000))
