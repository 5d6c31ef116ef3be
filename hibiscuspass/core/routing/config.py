"""Settings of the routing policies."""

import attrs

from hibiscuspass.core.retry import ejection as ejection_lib


@attrs.frozen
class RoutingConfig:
    """How one router chooses engines.

    Attributes:
      policy: `prefix_cost`, or the baselines `round_robin`, `least_load` and
        `prefix_affinity`.
      failure_domain: Failure domain of this router.
      seed: Seed of the random choices; differs between routers.
      block_tokens: Prompt tokens per prefix block.
      index_entries: Bound of the prefix index over all engines; an entry takes
        about 200 bytes.
      index_entries_per_engine: Bound of the prefix index per engine.
      index_entry_ttl_s: Age at which an unconfirmed index entry is dropped, in
        seconds.
      max_scored: Engines that are scored per request. Of more engines, those
        that may have the prefix, the home engine and a random sample are.
      max_candidates: Number of best engines that two are drawn from.
      candidate_slack_s: Candidates are at most this much slower than the best
        engine, in seconds.
      near_tie_s: Difference below which the own failure domain is preferred.
      base_first_token_s: Time to the first token of an idle engine without
        prompt work, in seconds.
      prefill_tokens_per_s: Prompt tokens per second assumed of a new engine.
      running_cost_s: Part of the score per request in flight, in seconds.
      uncached_weight: Part of the score per second of prompt work that a cache
        hit would save and per request in flight on an average engine.
        Beside the request's own first token the work delays all other
        requests of the engine.
      home_share: Share of a prompt that the score assumes to be cached on the
        prompt's home engine, given by a hash that all routers share, as far as
        prefixes repeat. Without cache events it makes the routers choose the
        same engine.
      home_blocks: Number of leading blocks that decide the home engine.
      queue_share: Share of the time to the deadline, less the own prompt work,
        that the expected queue may take. The rest covers what the estimate
        doesn't know.
      spill_requests: If the best engine can't meet the deadline, another one is
        taken only if it has at most this many requests in flight. Giving up
        cache hits makes more work, so it is left to engines that are idle.
      max_in_flight_per_engine: Running and waiting requests of an engine, from
        all routers, above which this router sends no more.
      max_queue_s: Expected queue of an engine above which this router sends no
        more, in seconds.
      max_report_age_s: Age at which a load report carries no information.
      queue_memory_s: Time in which a reported queue of other routers' prompts
        approaches the mean of the engines, in seconds.
      batch_memory_s: The same for their requests.
      silent_after_s: Time without any first token, beyond the expected one,
        after which an engine is ejected, in seconds.
      unix_minus_monotonic_s: Offset of the Unix time of load reports to the
        monotonic time of the policy's calls.
      ejection: When failing engines are ejected.
    """

    policy: str = "prefix_cost"
    failure_domain: str = ""
    seed: int = 0
    block_tokens: int = 16
    index_entries: int = 100_000
    index_entries_per_engine: int = 50_000
    index_entry_ttl_s: float = 120.0
    max_scored: int = 64
    max_candidates: int = 3
    candidate_slack_s: float = 0.05
    near_tie_s: float = 0.005
    base_first_token_s: float = 0.02
    prefill_tokens_per_s: float = 20_000.0
    running_cost_s: float = 0.003
    uncached_weight: float = 0.5
    home_share: float = 0.6
    home_blocks: int = 8
    queue_share: float = 0.3
    spill_requests: int = 4
    max_in_flight_per_engine: int = 256
    max_queue_s: float = 10.0
    max_report_age_s: float = 15.0
    queue_memory_s: float = 0.1
    batch_memory_s: float = 2.0
    silent_after_s: float = 2.0
    unix_minus_monotonic_s: float = 0.0
    ejection: ejection_lib.EjectionConfig = attrs.field(
        factory=ejection_lib.EjectionConfig
    )
