"""Runs one routing policy through one scenario in virtual time."""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
import statistics
from typing import Any

import attrs
from hdrh import histogram

from benchmarks import routing_engine
from benchmarks import routing_result
from benchmarks import routing_scenario
from benchmarks import routing_workload
from hibiscuspass.backends import engine
from hibiscuspass.core import refusal
from hibiscuspass.core.retry import backoff
from hibiscuspass.core.retry import retry_budget
from hibiscuspass.core.routing import config
from hibiscuspass.core.routing import factory
from hibiscuspass.core.routing import policy

_REPORT_INTERVAL_S = 0.5
_CACHE_EVENT_DELAY_S = (0.05, 0.3)
# Delay until the platform's VM list no longer contains a dead engine. A silent
# engine stays listed.
_LIST_LAG_S = 5.0
# Idle time after which a router abandons an attempt.
_IDLE_TIMEOUT_S = 2.0
_MAX_ATTEMPTS = 3


@attrs.define
class _Request:
    arrival: routing_workload.Arrival
    router: int
    number: int
    attempt: int = 0
    failed: frozenset[str] = frozenset()
    first_s: float | None = None
    job: routing_engine.Job | None = None
    backend: str = ""
    progress_s: float = 0.0

    @property
    def attempt_id(self) -> str:
        return f"{self.number}/{self.attempt}"


class Run:
    """Simulates engines, routers and their messages with an event queue."""

    def __init__(
        self,
        deployment: routing_scenario.Deployment,
        scenario: routing_scenario.Scenario,
        policy_name: str,
        seed: int,
        **overrides: Any,
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._engines = routing_engine.make_engines(deployment)
        self._stepping: set[str] = set()
        domains = len(deployment.domains)
        self._router_domain = [
            f"fd{n % domains}" for n in range(deployment.routers)
        ]
        self._live_routers = list(range(deployment.routers))
        self._policies = [
            factory.make_routing_policy(
                config.RoutingConfig(
                    policy=policy_name,
                    failure_domain=domain,
                    seed=seed * 100 + n,
                    block_tokens=routing_engine.BLOCK_TOKENS,
                    **overrides,
                )
            )
            for n, domain in enumerate(self._router_domain)
        ]
        self._budgets = [
            retry_budget.RetryBudget(retry_budget.RetryBudgetConfig(), 0.0)
            for _ in self._policies
        ]
        self._backoff = backoff.Backoff(
            backoff.BackoffConfig(), random.Random(seed)
        )
        self._requests: list[_Request] = []
        self._first_us = histogram.HdrHistogram(1, 60_000_000, 3)
        self._gaps_us = histogram.HdrHistogram(1, 60_000_000, 3)
        self._refused: collections.Counter[str] = collections.Counter()
        self._tokens = collections.Counter[str]()
        self._retries = 0
        self._last_cache_event_s: dict[tuple[str, int], float] = {}
        self._in_flight: dict[str, list[int]] = {n: [] for n in self._engines}

    def run(self) -> routing_result.Result:
        """Runs the schedule, then gives open requests 15 s to finish."""
        schedule = routing_workload.make_schedule(
            self._deployment, self._scenario, self._rng.randrange(1 << 30)
        )
        self._set_backends(set())
        for arrival in schedule:
            self._at(arrival.at_s, self._on_arrival, arrival)
        self._at(0.0, self._publish_load, None)
        self._at(routing_scenario.FAULT_S, self._on_fault, None)
        end_s = routing_scenario.END_S + 15.0
        while self._events and self._events[0][0] < end_s:
            self._now_s, _, step, arg = heapq.heappop(self._events)
            step(arg)
        return self._result()

    def _at(self, at_s: float, step: Callable[..., None], arg: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), step, arg))

    def _latency_s(self, router: int, engine_name: str) -> float:
        local = self._router_domain[router] == self._engines[engine_name].domain
        return self._deployment.latency_s * (0.2 if local else 1.0)

    # Callers and routers.

    def _on_arrival(self, arrival: routing_workload.Arrival) -> None:
        router = arrival.router
        if router not in self._live_routers:
            router = self._live_routers[router % len(self._live_routers)]
        req = _Request(arrival, router, len(self._requests))
        self._requests.append(req)
        self._budgets[router].on_request(self._now_s)
        self._dispatch(req)

    def _query(self, req: _Request) -> policy.RouteQuery:
        arrival = req.arrival
        waited_s = self._now_s - arrival.at_s
        return policy.RouteQuery(
            request_id=req.attempt_id,
            workspace=arrival.workspace,
            model="m",
            adapter="",
            prompt_blocks=arrival.blocks,
            prompt_tokens=arrival.prompt_tokens,
            output_limit=arrival.output_tokens,
            priority=5,
            first_token_deadline_s=routing_scenario.DEADLINE_S - waited_s,
            excluded=req.failed,
        )

    def _dispatch(self, req: _Request) -> None:
        if req.router not in self._live_routers:
            return
        query = self._query(req)
        routing = self._policies[req.router]
        route = routing.choose(query, self._now_s)
        if isinstance(route, refusal.Refusal):
            self._refuse(req, route.reason.value)
            return
        routing.on_dispatch(query, route, self._now_s)
        req.backend = route.backend
        req.progress_s = self._now_s
        job = routing_engine.Job(
            req.arrival.blocks,
            req.arrival.prompt_tokens,
            req.arrival.output_tokens,
            on_first_token=lambda j: self._reply(req, j, self._first_token),
            on_finish=lambda j: self._reply(req, j, self._finish),
        )
        req.job = job
        delay_s = self._latency_s(req.router, route.backend)
        self._at(self._now_s + delay_s, self._submit, (req, job))
        self._at(self._now_s + _IDLE_TIMEOUT_S, self._check_idle, (req, job))

    def _submit(self, arg: tuple[_Request, routing_engine.Job]) -> None:
        req, job = arg
        fake = self._engines[req.backend]
        if not fake.alive:
            delay_s = self._latency_s(req.router, req.backend)
            self._at(self._now_s + delay_s, self._fail, (req, job))
            return
        fake.submit(job)
        self._begin_step(fake)

    def _reply(
        self,
        req: _Request,
        job: routing_engine.Job,
        step: Callable[..., None],
    ) -> None:
        delay_s = self._latency_s(req.router, req.backend)
        self._at(self._now_s + delay_s, step, (req, job))

    def _first_token(self, arg: tuple[_Request, routing_engine.Job]) -> None:
        req, job = arg
        if req.job is not job:
            return
        req.progress_s = self._now_s
        self._policies[req.router].on_first_token(req.attempt_id, self._now_s)
        if req.first_s is None:
            req.first_s = self._now_s
            if req.arrival.at_s >= routing_scenario.WARM_UP_S:
                elapsed_s = self._now_s - req.arrival.at_s
                self._first_us.record_value(max(1, round(elapsed_s * 1e6)))
                self._tokens["prompt"] += job.prompt_tokens
                self._tokens["cached"] += job.cached_tokens

    def _finish(self, arg: tuple[_Request, routing_engine.Job]) -> None:
        req, job = arg
        if req.job is job:
            req.job = None
            self._policies[req.router].on_finish(
                req.attempt_id, True, self._now_s
            )

    def _check_idle(self, arg: tuple[_Request, routing_engine.Job]) -> None:
        """Fails an attempt whose engine has stopped answering."""
        req, job = arg
        if req.job is not job:
            return
        fake = self._engines[req.backend]
        streaming = req.first_s is not None and req.progress_s > 0
        if streaming and not fake.silent:
            # An engine that is not silent sends tokens with each step.
            req.progress_s = self._now_s
        due_s = req.progress_s + _IDLE_TIMEOUT_S
        if self._now_s + 1e-9 < due_s:
            self._at(due_s, self._check_idle, arg)
        elif fake.silent:
            self._fail(arg)
        else:
            # The engine is not silent but has a long queue, so the attempt
            # continues.
            self._at(self._now_s + _IDLE_TIMEOUT_S, self._check_idle, arg)

    def _fail(self, arg: tuple[_Request, routing_engine.Job]) -> None:
        req, job = arg
        if req.job is not job or req.router not in self._live_routers:
            return
        job.cancelled = True
        req.job = None
        self._policies[req.router].on_finish(req.attempt_id, False, self._now_s)
        req.failed |= {req.backend}
        req.attempt += 1
        budget = self._budgets[req.router]
        if req.attempt >= _MAX_ATTEMPTS or not budget.try_spend(self._now_s):
            self._refuse(req, "backend_lost")
            return
        self._retries += 1
        delay_s = self._backoff.delay_s(req.attempt)
        self._at(self._now_s + delay_s, self._dispatch, req)

    def _refuse(self, req: _Request, reason: str) -> None:
        if req.arrival.at_s >= routing_scenario.WARM_UP_S:
            self._refused[reason] += 1

    # Engines.

    def _begin_step(self, fake: routing_engine.FakeEngine) -> None:
        if fake.name in self._stepping or not fake.alive or fake.silent:
            return
        length_s = fake.begin_step()
        if length_s:
            self._stepping.add(fake.name)
            self._at(self._now_s + length_s, self._end_step, (fake, length_s))

    def _end_step(self, arg: tuple[routing_engine.FakeEngine, float]) -> None:
        fake, length_s = arg
        self._stepping.discard(fake.name)
        if not fake.alive or fake.silent:
            return
        decoded, events = fake.end_step()
        if decoded and self._now_s >= routing_scenario.WARM_UP_S:
            self._gaps_us.record_value(round(length_s * 1e6), decoded)
        for event, router in itertools.product(events, self._live_routers):
            if self._rng.random() >= self._scenario.lost_cache_events:
                self._send_cache_event(event, router)
        self._begin_step(fake)

    def _send_cache_event(self, event: engine.CacheEvent, router: int) -> None:
        # Events on one connection arrive in order.
        key = (event.engine, router)
        at_s = max(
            self._last_cache_event_s.get(key, 0.0),
            self._now_s + self._rng.uniform(*_CACHE_EVENT_DELAY_S),
        )
        self._last_cache_event_s[key] = at_s
        routing = self._policies[router]
        self._at(at_s, lambda e: routing.on_cache_event(e, self._now_s), event)

    def _publish_load(self, _: None) -> None:
        for fake in self._engines.values():
            if self._now_s >= routing_scenario.WARM_UP_S:
                load = len(fake.running) + len(fake.waiting)
                self._in_flight[fake.name].append(load)
            if fake.alive and not fake.silent:
                self._at(
                    self._now_s + self._scenario.report_lag_s,
                    self._on_report,
                    fake.report(self._now_s),
                )
        if self._now_s < routing_scenario.END_S:
            self._at(self._now_s + _REPORT_INTERVAL_S, self._publish_load, None)

    def _on_report(self, report: Any) -> None:
        for routing in self._policies:
            routing.on_load_report(report, self._now_s)

    # Faults and membership.

    def _on_fault(self, _: None) -> None:
        names = list(self._engines)
        dead = set(names[: self._scenario.dead])
        for name in names[: self._scenario.silent]:
            self._engines[name].silent = True
        if self._scenario.lost_domain:
            dead |= {n for n, e in self._engines.items() if e.domain == "fd0"}
            self._live_routers = [
                n for n, d in enumerate(self._router_domain) if d != "fd0"
            ]
        for name in dead:
            self._engines[name].alive = False
        for req in self._requests:
            if req.job is not None and req.backend in dead:
                delay_s = self._latency_s(req.router, req.backend)
                self._at(self._now_s + delay_s, self._fail, (req, req.job))
        if dead:
            self._at(self._now_s + _LIST_LAG_S, self._set_backends, dead)

    def _set_backends(self, gone: set[str]) -> None:
        views = [
            policy.BackendView(e.name, e.domain, e.name not in gone)
            for e in self._engines.values()
        ]
        for routing in self._policies:
            routing.set_backends(views, self._now_s)

    def _result(self) -> routing_result.Result:
        counted = [
            r
            for r in self._requests
            if r.arrival.at_s >= routing_scenario.WARM_UP_S
        ]
        in_time = sum(
            r.first_s is not None
            and r.first_s - r.arrival.at_s <= routing_scenario.DEADLINE_S
            for r in counted
        )
        answered = sum(r.first_s is not None for r in counted)
        loads = [
            statistics.fmean(self._in_flight[n])
            for n, e in self._engines.items()
            if e.alive and not e.silent
        ]
        return routing_result.Result(
            first_p50=self._first_us.get_value_at_percentile(50) / 1000,
            first_p95=self._first_us.get_value_at_percentile(95) / 1000,
            gap_p50=self._gaps_us.get_value_at_percentile(50) / 1000,
            gap_p95=self._gaps_us.get_value_at_percentile(95) / 1000,
            hit_share=self._tokens["cached"] / max(1, self._tokens["prompt"]),
            requests=len(counted),
            in_time=in_time,
            late=answered - in_time,
            refused=dict(self._refused),
            retries=self._retries / max(1, len(self._requests)),
            spread=max(loads) / max(1e-9, statistics.fmean(loads)),
        )
