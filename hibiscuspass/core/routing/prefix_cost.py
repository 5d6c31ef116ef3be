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

# Own requests in flight to an engine that returns from an ejection, at full
# weight; the limit rises with the weight.
_RETURNING_IN_FLIGHT = 10
# Share of the prompt by which cache hits may differ and count as equal.
_EQUAL_HITS_SHARE = 0.1


@attrs.frozen
class _Candidate:
    record: engine_set.EngineRecord
    cached_tokens: int
    own_s: float
    queue_s: float
    requests: float
    score_s: float

    @property
    def expected_s(self) -> float:
        return self.own_s + self.queue_s

    def meets(self, deadline_s: float, queue_share: float) -> bool:
        return self.queue_s <= queue_share * (deadline_s - self.own_s)

    @property
    def name(self) -> str:
        return self.record.view.name


@attrs.frozen
class _Surroundings:
    """What the score of one engine depends on beside the engine.

    Attributes:
      home: The prompt's home engine.
      others: Load of other routers, averaged over the engines.
      requests: Requests in flight, averaged over the engines.
    """

    home: engine_set.EngineRecord | None
    others: engine_load.OtherLoad
    requests: float


class PrefixCost(policy.RoutingPolicy):
    """The better of two random candidates among the best few.

    The random draw keeps routers that see the same old reports from all
    choosing the same engine.
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
        self._sent_to: dict[str, str] = {}
        self._repeats = prefix_repeats.PrefixRepeats()

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
        candidates = self._candidates(healthy, query, now_s)
        chosen = self._draw(candidates)
        if not self._has_room(chosen):
            others = self._others(chosen, candidates, query)
            if not others:
                return refusal.Refusal(
                    reason_lib.Reason.OVERLOADED,
                    f"all {len(healthy)} engines with model {query.model!r} "
                    "are busy and the best one is at its limit",
                    retry_after_s=1.0,
                )
            chosen = self._draw(others)
        deadline_s = query.first_token_deadline_s
        if not self._in_time(chosen, query):
            others = [
                c
                for c in candidates
                if c.requests <= self._cfg.spill_requests
                and self._has_room(c)
                and self._in_time(c, query)
            ]
            if not others:
                fastest_s = min(c.expected_s for c in candidates)
                return refusal.Refusal(
                    reason_lib.Reason.DEADLINE,
                    f"first token expected after {fastest_s:.2f} s at best, "
                    "without a margin for the queue; the deadline is "
                    f"{deadline_s:.2f} s",
                    retry_after_s=fastest_s,
                )
            chosen = self._draw(others)
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
        self._sent_to[query.request_id] = route.backend
        work = max(0, query.prompt_tokens - route.cached_tokens)
        record.load.on_dispatch(
            query.request_id, work, route.expected_first_token_s, now_s
        )
        self._index.on_dispatch(route.backend, query.prompt_blocks, now_s)
        self._repeats.observe(query.prompt_blocks[: self._cfg.home_blocks])

    def on_first_token(self, request_id: str, now_s: float) -> None:
        """See base class."""
        name = self._sent_to.get(request_id, "")
        record = self._engines.records.get(name)
        if record is not None:
            record.load.on_first_token(request_id, now_s)
            self._ejection.on_success(name, now_s)

    def on_finish(self, request_id: str, succeeded: bool, now_s: float) -> None:
        """See base class."""
        name = self._sent_to.pop(request_id, "")
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
        self._index.on_event(event, now_s)

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
        name = record.view.name
        if record.load.stalled_s(now_s) > self._cfg.silent_after_s:
            self._ejection.eject(name, now_s)
        weight = self._ejection.weight(name, now_s)
        if weight >= 1.0:
            return True
        limit = math.ceil(weight * _RETURNING_IN_FLIGHT)
        return record.load.own_in_flight < limit

    def _candidates(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
        now_s: float,
    ) -> list[_Candidate]:
        home = self._home(records, query)
        records = self._sample(records, home, query, now_s)
        mean = engine_load.OtherLoad(
            statistics.fmean(r.load.others.tokens for r in records),
            statistics.fmean(r.load.others.requests for r in records),
        )
        requests = statistics.fmean(
            r.load.requests(mean, now_s) for r in records
        )
        around = _Surroundings(home, mean, requests)
        return [self._candidate(r, query, around, now_s) for r in records]

    def _sample(
        self,
        records: Sequence[engine_set.EngineRecord],
        home: engine_set.EngineRecord | None,
        query: policy.RouteQuery,
        now_s: float,
    ) -> Sequence[engine_set.EngineRecord]:
        """Bounds the work per request in large fleets."""
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

    def _home(
        self,
        records: Sequence[engine_set.EngineRecord],
        query: policy.RouteQuery,
    ) -> engine_set.EngineRecord | None:
        """Returns the engine with the largest hash of prefix and name."""
        leading = query.prompt_blocks[: self._cfg.home_blocks]
        if not leading:
            return None
        return max(
            records,
            key=lambda r: xxhash.xxh64_intdigest(
                f"{leading[-1]} {r.view.name}".encode()
            ),
        )

    def _candidate(
        self,
        record: engine_set.EngineRecord,
        query: policy.RouteQuery,
        around: _Surroundings,
        now_s: float,
    ) -> _Candidate:
        cfg = self._cfg
        load = record.load
        matched = self._index.matched_blocks(
            record.view.name, query.prompt_blocks, now_s
        )
        cached = min(query.prompt_tokens, matched * cfg.block_tokens)
        uncached = query.prompt_tokens - cached
        slowness = load.slowness(now_s)
        own_s = slowness * (
            cfg.base_first_token_s + uncached / cfg.prefill_tokens_per_s
        )
        queued = load.queued_tokens(around.others, now_s)
        queue_s = slowness * queued / cfg.prefill_tokens_per_s + load.stalled_s(
            now_s
        )
        requests = load.requests(around.others, now_s)
        if record is around.home:
            assumed = cfg.home_share * self._repeats.share
            uncached = min(
                uncached, round(query.prompt_tokens * (1.0 - assumed))
            )
        score_s = (
            own_s
            + queue_s
            + cfg.running_cost_s * requests
            + cfg.uncached_weight
            * around.requests
            * uncached
            / cfg.prefill_tokens_per_s
        )
        return _Candidate(record, cached, own_s, queue_s, requests, score_s)

    def _others(
        self,
        best: _Candidate,
        candidates: Sequence[_Candidate],
        query: policy.RouteQuery,
    ) -> list[_Candidate]:
        """Returns the engines that may stand in for a full one.

        They save about as much prompt work, or are half empty. Otherwise an
        overload would add work to itself.
        """
        least = best.cached_tokens - _EQUAL_HITS_SHARE * query.prompt_tokens
        half = self._cfg.max_in_flight_per_engine / 2
        return [
            c
            for c in candidates
            if self._has_room(c)
            and (c.cached_tokens >= least or c.requests <= half)
        ]

    def _in_time(self, candidate: _Candidate, query: policy.RouteQuery) -> bool:
        return candidate.meets(
            query.first_token_deadline_s, self._cfg.queue_share
        )

    def _has_room(self, candidate: _Candidate) -> bool:
        return (
            candidate.requests < self._cfg.max_in_flight_per_engine
            and candidate.queue_s < self._cfg.max_queue_s
        )

    def _draw(self, candidates: list[_Candidate]) -> _Candidate:
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
            near = other.score_s - first.score_s < self._cfg.near_tie_s
            if near and self._is_local(other):
                return other
        return first

    def _is_local(self, candidate: _Candidate) -> bool:
        domain = candidate.record.view.failure_domain
        return domain == self._cfg.failure_domain
