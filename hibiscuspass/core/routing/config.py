"""Configuration of the routing policies."""

import attrs

from hibiscuspass.core.retry import ejection as ejection_lib


@attrs.frozen
class RoutingConfig:
    """Parameters of the routing policy of one router.

    Attributes:
      policy: `prefix_cost`, or one of the baselines `round_robin`,
        `least_load` and `prefix_affinity`.
      failure_domain: Failure domain of this router.
      seed: Seed of the random choices; differs between routers.
      block_tokens: Prompt tokens per prefix block.
      index_entries: Maximum number of prefix index entries of all engines; an
        entry takes about 200 bytes.
      index_entries_per_engine: Maximum number of prefix index entries per
        engine.
      index_entry_ttl_s: Age at which an unconfirmed index entry expires, in
        seconds.
      max_scored: Maximum number of engines that are scored per request. If
        more are eligible, the score covers the home engine, some engines that
        may have the prefix cached and a random sample.
      max_candidates: Number of best engines from which two are drawn at
        random.
      candidate_slack_s: Maximum difference between the score of a candidate
        and the best score, in seconds.
      local_preference_s: Score difference below which an engine in the
        router's own failure domain is preferred, in seconds.
      base_first_token_s: Time to the first token on an idle engine without
        prompt processing, in seconds.
      prefill_tokens_per_s: Assumed prompt processing speed of an engine,
        corrected by its measured slowness.
      cost_per_request_s: Score penalty per request in flight, in seconds.
      uncached_weight: Score penalty per second of uncached prompt processing
        and per request in flight on an average engine. Prompt processing
        delays the other requests of the engine as well as the first token of
        the request itself.
      home_cached_share: Share of a prompt that the score assumes to be cached
        on the prompt's home engine, scaled down if prefixes rarely repeat. All
        routers compute the home engine with the same hash, so they choose the
        same engine even without cache events.
      home_blocks: Number of leading blocks that determine the home engine.
      queue_share: Share of the time to the deadline, less the prompt
        processing time, that the expected queue may take. The rest is a margin
        for errors of the estimate.
      max_spill_requests: If the best engine can't meet the deadline, another
        engine is chosen only if it has at most this many requests in flight.
        A cache miss adds prompt processing, so only nearly idle engines
        accept such requests.
      max_in_flight_per_engine: Running and waiting requests of an engine, from
        all routers, at which this router sends no more.
      max_queue_s: Expected queue time of an engine at which this router sends
        no more, in seconds.
      max_report_age_s: Age at which a load report is ignored, in seconds.
      queue_decay_s: Time constant with which the reported queue of other
        routers' prompts decays to the mean of the engines, in seconds.
      request_decay_s: Time constant with which the reported requests of other
        routers decay to the mean of the engines, in seconds.
      stall_timeout_s: An engine is ejected if its next first token is overdue
        by more than this time, in seconds.
      unix_minus_monotonic_s: Unix time of load reports minus the monotonic
        time that the policy is called with, in seconds.
      ejection: Parameters for the ejection of failing engines.
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
    local_preference_s: float = 0.005
    base_first_token_s: float = 0.02
    prefill_tokens_per_s: float = 20_000.0
    cost_per_request_s: float = 0.003
    uncached_weight: float = 0.5
    home_cached_share: float = 0.6
    home_blocks: int = 8
    queue_share: float = 0.3
    max_spill_requests: int = 4
    max_in_flight_per_engine: int = 256
    max_queue_s: float = 10.0
    max_report_age_s: float = 15.0
    queue_decay_s: float = 0.1
    request_decay_s: float = 2.0
    stall_timeout_s: float = 2.0
    unix_minus_monotonic_s: float = 0.0
    ejection: ejection_lib.EjectionConfig = attrs.field(
        factory=ejection_lib.EjectionConfig
    )
