"""Routing by expected time to the first token."""

from collections.abc import Sequence
import math
import random
import statistics

import attrs
import xxhash

from hibiscuspass.backends import engine
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.retry import ejection
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import engine_load
from hibiscuspass.core.routing import engine_set
from hibiscuspass.core.routing import policy
from hibiscuspass.core.routing import prefix_index
from hibiscuspass.core.routing import prefix_repeats

# Maximum number of this router's requests in flight to an engine that returns
# from ejection. The limit is multiplied by the engine's weight, which rises
# until the engine has fully returned.
_MAX_IN_FLIGHT_AFTER_EJECTION = 10
# Cache hits count as equal if they differ by at most this share of the prompt.
_EQUIVALENT_HIT_SHARE = 0.1


@attrs.frozen
class _Candidate:
    """An engine with its score for one request.

    Attributes:
      record: The engine.
      cached_tokens: Prompt tokens that are probably cached on the engine.
      processing_s: Expected time to the first token without the queue, in
        seconds.
      queue_s: Expected queue time in seconds.
      requests: Expected requests in flight.
      score_s: Score in seconds; lower is better.
    """

    record: engine_set.EngineRecord
    cached_tokens: int
    processing_s: float
    queue_s: float
    requests: float
    score_s: float

    @property
    def expected_s(self) -> float:
        return self.processing_s + self.queue_s

    def meets_deadline(self, deadline_s: float, queue_share: float) -> bool:
        return self.queue_s <= queue_share * (deadline_s - self.processing_s)

    @property
    def name(self) -> str:
        return self.record.view.name


@attrs.frozen
class _ScoringContext:
    """Values shared by the scores of all engines for one request.

    Attributes:
      home: Home engine of the prompt, None for a prompt without blocks.
      other_routers_load: Load from other routers, averaged over the engines.
      mean_requests: Requests in flight, averaged over the engines.
    """

    home: engine_set.EngineRecord | None
    other_routers_load: engine_load.OtherRoutersLoad
    mean_requests: float


class PrefixCost(policy.RoutingPolicy):
    """Chooses the better of two engines drawn from those with the best scores.

    The score is the expected time to the first token plus penalties for work
    that delays other requests. The random draw prevents routers that see the
    same old load reports from all choosing the same engine.
    """

    def __init__(self, cfg: config.RoutingConfig) -> None:
        self._cfg = cfg
        self._rng = random.Random(cfg.seed)
        self._engines = engine_set.EngineSet(cfg)
        self._index = prefix_index.PrefixIndex(
            cfg.index_entries,
            cfg.index_entries_per_engine,
            cfg.index_entry_ttl_s,
        )
        self._ejection = ejection.EjectionTracker(cfg.ejection, self._rng)
        self._backend_by_request: dict[str, str] = {}
        self._prefix_repeats = prefix_repeats.PrefixRepeats()

    def choose(
        self, query: policy.RouteQuery, now_s: float
    ) -> policy.Route | refusal.Refusal:
        """See base class."""
        records = self._engines.eligible(query)
        if isinstance(records, refusal.Refusal):
            return records
        healthy = [r for r in records if self._is_healthy(r, now_s)]
        if not healthy:
            return refusal.Refusal(
                reason_lib.Reason.NO_BACKEND,
                f"all {len(records)} remaining engines with model "
                f"{query.model!r} are ejected",
                retry_after_s=1.0,
            )
        candidates = self._score_engines(healthy, query, now_s)
        chosen = self._pick_best_of_two(candidates)
        if not self._is_below_limits(chosen):
            substitutes = self._find_substitutes(chosen, candidates, query)
            if not substitutes:
                return refusal.Refusal(
                    reason_lib.Reason.OVERLOADED,
                    f"all {len(healthy)} engines with model {query.model!r} "
                    "are busy and the best one is at its limit",
                    retry_after_s=1.0,
                )
            chosen = self._pick_best_of_two(substitutes)
        deadline_s = query.first_token_deadline_s
        if not self._meets_deadline(chosen, query):
            substitutes = [
                c
                for c in candidates
                if c.requests <= self._cfg.max_spill_requests
                and self._is_below_limits(c)
                and self._meets_deadline(c, query)
            ]
            if not substitutes:
                fastest_s = min(c.expected_s for c in candidates)
                return refusal.Refusal(
                    reason_lib.Reason.DEADLINE,
                    f"first token expected after {fastest_s:.2f} s at best, "
                    "without a margin for the queue; the deadline is "
                    f"{deadline_s:.2f} s",
                    retry_after_s=fastest_s,
                )
            chosen = self._pick_best_of_two(substitutes)
        return policy.Route(
            chosen.name, chosen.expected_s, chosen.cached_tokens
        )

    def on_dispatch(
        self, query: policy.RouteQuery, route: policy.Route, now_s: float
    ) -> None:
        """See base class."""
        record = self._engines.records.get(route.backend)
        if record is None:
            return
        self._backend_by_request[query.request_id] = route.backend
        uncached_tokens = max(0, query.prompt_tokens - route.cached_tokens)
        record.load.on_dispatch(
            query.request_id,
            uncached_tokens,
            route.expected_first_token_s,
            now_s,
        )
        self._index.on_dispatch(route.backend, query.prompt_blocks, now_s)
        self._prefix_repeats.observe(
            query.prompt_blocks[: self._cfg.home_blocks]
        )

    def on_first_token(self, request_id: str, now_s: float) -> None:
        """See base class."""
        name = self._backend_by_request.get(request_id, "")
        record = self._engines.records.get(name)
        if record is not None:
            record.load.on_first_token(request_id, now_s)
            self._ejection.on_success(name, now_s)

    def on_finish(self, request_id: str, succeeded: bool, now_s: float) -> None:
        """See base class."""
        name = self._backend_by_request.pop(request_id, "")
        record = self._engines.records.get(name)
        if record is None:
            return
        record.load.on_finish(request_id, now_s)
        if succeeded:
            self._ejection.on_success(name, now_s)
        else:
            self._ejection.on_failure(name, now_s)

    def on_load_report(self, report: engine.LoadReport, now_s: float) -> None:
        """See base class."""
        self._engines.on_load_report(report, now_s)

    def on_cache_event(self, event: engine.CacheEvent, now_s: float) -> None:
        """See base class."""
        self._index.on_cache_event(event, now_s)

    def set_backends(
        self, backends: Sequence[policy.BackendView], now_s: float
    ) -> None:
        """See base class."""
        self._engines.set_backends(backends)
        self._index.retain(v.name for v in backends)
        self._ejection.retain([v.name for v in backends])

    def _is_healthy(
        self, record: engine_set.EngineRecord, now_s: float
    ) -> bool:
        """Returns whether an engine may get requests; may eject the engine."""
        name = record.view.name
        if record.load.overdue_s(now_s) > self._cfg.stall_timeout_s:
            self._ejection.eject(name, now_s)
        weight = self._ejection.weight(name, now_s)
        if weight >= 1.0:
            return True
        limit = math.ceil(weight * _MAX_IN_FLIGHT_AFTER_EJECTION)
        return record.load.own_in_flight < limit

    def _score_engines(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
        now_s: float,
    ) -> list[_Candidate]:
        home = self._find_home_engine(records, query)
        records = self._sample_engines(records, home, query, now_s)
        mean_load = engine_load.OtherRoutersLoad(
            statistics.fmean(r.load.other_routers_load.tokens for r in records),
            statistics.fmean(
                r.load.other_routers_load.requests for r in records
            ),
        )
        mean_requests = statistics.fmean(
            r.load.requests(mean_load, now_s) for r in records
        )
        context = _ScoringContext(home, mean_load, mean_requests)
        return [self._score_engine(r, query, context, now_s) for r in records]

    def _sample_engines(
        self,
        records: Sequence[engine_set.EngineRecord],
        home: engine_set.EngineRecord | None,
        query: policy.RouteQuery,
        now_s: float,
    ) -> Sequence[engine_set.EngineRecord]:
        """Returns the engines to score, which limits the cost per request."""
        bound = self._cfg.max_scored
        if len(records) <= bound:
            return records
        first = query.prompt_blocks[:1]
        hits = [
            r
            for r in records
            if self._index.matched_blocks(r.view.name, first, now_s)
        ]
        picked = self._rng.sample(hits, min(len(hits), bound // 2))
        picked += self._rng.sample(records, bound - len(picked) - 1)
        if home is not None:
            picked.append(home)
        return list({r.view.name: r for r in picked}.values())

    def _find_home_engine(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
    ) -> engine_set.EngineRecord | None:
        """Returns the engine with the largest hash of prefix and name.

        All routers that see the same healthy engines get the same result.
        """
        leading = query.prompt_blocks[: self._cfg.home_blocks]
        if not leading:
            return None
        return max(
            records,
            key=lambda r: xxhash.xxh64_intdigest(
                f"{leading[-1]} {r.view.name}".encode()
            ),
        )

    def _score_engine(
        self,
        record: engine_set.EngineRecord,
        query: policy.RouteQuery,
        context: _ScoringContext,
        now_s: float,
    ) -> _Candidate:
        cfg = self._cfg
        load = record.load
        matched_blocks = self._index.matched_blocks(
            record.view.name, query.prompt_blocks, now_s
        )
        cached = min(query.prompt_tokens, matched_blocks * cfg.block_tokens)
        uncached = query.prompt_tokens - cached
        slowness = load.slowness(now_s)
        processing_s = slowness * (
            cfg.base_first_token_s + uncached / cfg.prefill_tokens_per_s
        )
        queued = load.queued_tokens(context.other_routers_load, now_s)
        queue_s = slowness * queued / cfg.prefill_tokens_per_s + load.overdue_s(
            now_s
        )
        requests = load.requests(context.other_routers_load, now_s)
        if record is context.home:
            assumed = cfg.home_cached_share * self._prefix_repeats.share
            uncached = min(
                uncached, round(query.prompt_tokens * (1.0 - assumed))
            )
        score_s = (
            processing_s
            + queue_s
            + cfg.cost_per_request_s * requests
            + cfg.uncached_weight
            * context.mean_requests
            * uncached
            / cfg.prefill_tokens_per_s
        )
        return _Candidate(
            record, cached, processing_s, queue_s, requests, score_s
        )

    def _find_substitutes(
        self,
        best: _Candidate,
        candidates: Sequence[_Candidate],
        query: policy.RouteQuery,
    ) -> list[_Candidate]:
        """Returns the engines that may replace one at its limits.

        An engine qualifies if it has about as much of the prompt cached or is
        at most half full. Any other engine would have to process more of the
        prompt, which would worsen an overload.
        """
        least = best.cached_tokens - _EQUIVALENT_HIT_SHARE * query.prompt_tokens
        half = self._cfg.max_in_flight_per_engine / 2
        return [
            c
            for c in candidates
            if self._is_below_limits(c)
            and (c.cached_tokens >= least or c.requests <= half)
        ]

    def _meets_deadline(
        self, candidate: _Candidate, query: policy.RouteQuery
    ) -> bool:
        return candidate.meets_deadline(
            query.first_token_deadline_s, self._cfg.queue_share
        )

    def _is_below_limits(self, candidate: _Candidate) -> bool:
        return (
            candidate.requests < self._cfg.max_in_flight_per_engine
            and candidate.queue_s < self._cfg.max_queue_s
        )

    def _pick_best_of_two(self, candidates: list[_Candidate]) -> _Candidate:
        """Returns the better of two engines drawn from the best ones.

        If the scores are nearly equal, an engine in the router's own failure
        domain is preferred.
        """
        ranked = sorted(candidates, key=lambda c: c.score_s)
        limit_s = ranked[0].score_s + self._cfg.candidate_slack_s
        best = [
            c
            for c in ranked[: self._cfg.max_candidates]
            if c.score_s <= limit_s
        ]
        pair = self._rng.sample(best, min(2, len(best)))
        first = min(pair, key=lambda c: c.score_s)
        for other in pair:
            if other is first or self._is_local(first):
                continue
            near = other.score_s - first.score_s < self._cfg.local_preference_s
            if near and self._is_local(other):
                return other
        return first

    def _is_local(self, candidate: _Candidate) -> bool:
        domain = candidate.record.view.failure_domain
        return domain == self._cfg.failure_domain
