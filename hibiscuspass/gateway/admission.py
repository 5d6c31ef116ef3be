"""Applies the admission decisions to requests, see `admission_policy`."""

import asyncio
from collections.abc import Callable
import itertools
import random
import time

import attrs
import structlog

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import admission_policy
from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.forwarding import backend_selector as selector_lib
from hibiscuspass.core.forwarding import place_limit
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.core.forwarding import service_outcomes
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import send_checks

_log = structlog.get_logger(__name__)

# Share of the target latency for which a request waits for a place.
_MAX_WAIT_SHARE = 0.5
# A check of this interval that is late by as much shows that this process was
# suspended or has too little processor time to judge the servers.
_CHECK_INTERVAL_S = 0.5
# Shortest time between two log lines about one service.
_LOG_INTERVAL_S = 5.0


@attrs.define(eq=False)
class _ServiceState:
    outcomes: service_outcomes.ServiceOutcomes = attrs.field(
        factory=service_outcomes.ServiceOutcomes
    )
    places: place_limit.PlaceLimit = attrs.field(factory=place_limit.PlaceLimit)
    logged_s: float = float("-inf")
    refused: int = 0


class Admission:
    """Admits, delays or refuses the requests of this router.

    The state is kept in memory; a new process admits everything until it has
    observed outcomes.
    """

    def __init__(
        self,
        table: Callable[[], route_table.RouteTable | None],
        count_ready: Callable[[route_lib.Service], int],
        metrics: gateway_metrics.GatewayMetrics,
        rng: random.Random | None = None,
    ) -> None:
        """Creates an instance without observed outcomes.

        Args:
          table: Returns the configuration in force.
          count_ready: Returns the number of servers that accept requests.
          metrics: Counts the decisions.
          rng: Source of randomness.
        """
        self._table = table
        self._count_ready = count_ready
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._services: dict[str, _ServiceState] = {}
        self._tickets = itertools.count()
        self._wakers: dict[int, asyncio.Future[None]] = {}
        # A route may move to another service while its requests run.
        self._places_by_ticket: dict[int, place_limit.PlaceLimit] = {}
        self._check_due_s: float | None = None

    def check(self, call: call_lib.Call) -> refusal.Refusal | None:
        """Returns the refusal of a request that its services can't begin.

        A request is refused only if each service that it may be sent to is
        short of capacity.
        """
        now_s = time.monotonic()
        self._drop_evidence_of_suspension(now_s)
        refused = None
        for service in self._services_of(call.route):
            self._state(service).outcomes.on_request(call.priority, now_s)
            refused = self._check_service(call, service, now_s)
            if refused is None:
                break
        self._metrics.on_admission("refused_early" if refused else "admitted")
        return refused

    def check_choice(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        choice: selector_lib.Choice,
        attempts: attempts_lib.Attempts,
    ) -> refusal.Refusal | None:
        """Returns the refusal of a request whose server is too slow for it.

        The expected time alone is no reason, since it is an estimate: outcomes
        must show that the service is short of capacity.
        """
        now_s = time.monotonic()
        left_s = admission_policy.patience_s(call.route, call.req, now_s)
        if attempts.sends or choice.expected_s <= left_s:
            return None
        evidence = self._evidence(call, service, now_s)
        outcomes = self._state(service).outcomes
        if not outcomes.is_short(evidence, self._count_ready(service)):
            return None
        self._metrics.on_admission("refused_at_server")
        return self._refuse(call, service, evidence, now_s)

    async def enter(self, call: call_lib.Call) -> int | None:
        """Waits for a place at a plain service whose servers are full.

        The wait is bounded; the request is sent after it in any case.

        Returns:
          Number to pass to `leave`; None if the request needs no place.
        """
        service = self._only_service(call.route)
        if service is None or service.engine is not None:
            return None
        now_s = time.monotonic()
        until_s = min(
            call.req.deadline_s,
            call.req.received_s + _MAX_WAIT_SHARE * call.route.target_latency_s,
        )
        places = self._state(service).places
        ticket = next(self._tickets)
        self._places_by_ticket[ticket] = places
        workspace = call.workspace.name if call.workspace else ""
        if places.enter(ticket, workspace, until_s, now_s):
            return ticket
        waker = asyncio.get_running_loop().create_future()
        self._wakers[ticket] = waker
        try:
            await asyncio.wait({waker}, timeout=until_s - now_s)
        except asyncio.CancelledError:
            self.leave(ticket, was_served=False)
            raise
        finally:
            self._wakers.pop(ticket, None)
        if not waker.done():
            places.start(ticket)
        self._metrics.on_admission_wait(time.monotonic() - now_s)
        return ticket

    def leave(self, ticket: int | None, *, was_served: bool) -> None:
        """Ends a request that has entered; starts waiting ones."""
        if ticket is None:
            return
        places = self._places_by_ticket.pop(ticket)
        started = places.leave(ticket, time.monotonic(), was_served=was_served)
        for number in started:
            waker = self._wakers.get(number)
            if waker is not None and not waker.done():
                waker.set_result(None)

    def on_sent(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        choice: selector_lib.Choice,
        attempts: attempts_lib.Attempts,
        now_s: float,
    ) -> None:
        """Records a send."""
        if self._check_due_s is None:
            self._schedule_check()
        if attempts.began_s is None:
            attempts.began_s = now_s
        self._state(service).outcomes.on_sent(
            id(choice),
            attempts.began_s,
            call.req.input_tokens,
            choice.backend.backend_id,
            call.priority,
        )

    def on_head(
        self, service: route_lib.Service, choice: selector_lib.Choice
    ) -> None:
        """Records the head of an answer, which is all that plain ones have."""
        if service.engine is None:
            self.on_first_event(service, choice)

    def on_first_event(
        self, service: route_lib.Service, choice: selector_lib.Choice
    ) -> None:
        """Records the first event of a stream."""
        self._state(service).outcomes.on_first_event(
            id(choice), time.monotonic()
        )

    def on_ended(
        self, service: route_lib.Service, choice: selector_lib.Choice
    ) -> None:
        """Records the end of a send."""
        self._state(service).outcomes.on_ended(id(choice), time.monotonic())

    def on_refused(
        self,
        call: call_lib.Call,
        attempts: attempts_lib.Attempts,
        refused: refusal.Refusal,
    ) -> refusal.Refusal:
        """Records that a request was not served.

        Returns:
          The refusal to send. If full servers are the cause and none of them
          has named a time, its time for a retry is spread, and not later than
          the caller respects.
        """
        service = self._only_service(call.route)
        if (
            service is None
            or not attempts.busy
            or refused.reason is not reason_lib.Reason.NO_BACKEND
        ):
            return refused
        now_s = time.monotonic()
        state = self._state(service)
        state.outcomes.on_refused(
            call.req.input_tokens, tuple(attempts.tried), now_s
        )
        if refused.retry_after_s != send_checks.DEFAULT_RETRY_AFTER_S:
            # No place becomes free before the time that a server has named.
            return refused
        state.places.on_refused(now_s)
        evidence = self._evidence(call, service, now_s)
        retry = self._plan_retry(call, service, evidence, now_s)
        return attrs.evolve(refused, retry_after_s=retry.after_s)

    def _schedule_check(self) -> None:
        self._check_due_s = time.monotonic() + _CHECK_INTERVAL_S
        asyncio.get_running_loop().call_later(
            _CHECK_INTERVAL_S, self._check_suspension
        )

    def _check_suspension(self) -> None:
        now_s = time.monotonic()
        self._drop_evidence_of_suspension(now_s)
        self._check_due_s = None
        if any(s.outcomes.has_pending for s in self._services.values()):
            self._schedule_check()

    def _drop_evidence_of_suspension(self, now_s: float) -> None:
        """Drops evidence of a time in which this process didn't run.

        Requests may be read before the event loop runs the check that is due.
        """
        due_s = self._check_due_s
        if due_s is not None and now_s > due_s + _CHECK_INTERVAL_S:
            for state in self._services.values():
                state.outcomes.on_resumed(now_s)

    def _check_service(
        self, call: call_lib.Call, service: route_lib.Service, now_s: float
    ) -> refusal.Refusal | None:
        evidence = self._evidence(call, service, now_s)
        outcomes = self._state(service).outcomes
        if not outcomes.is_short(evidence, self._count_ready(service)):
            return None
        rank, ranks = outcomes.rank(call.priority, now_s)
        share = admission_policy.refused_share(
            evidence,
            admission_policy.patience_s(call.route, call.req, now_s),
            rank=rank,
            ranks=ranks,
            is_returned=admission_policy.is_return(call.route, call.req),
        )
        if self._rng.random() >= share:
            return None
        return self._refuse(call, service, evidence, now_s)

    def _refuse(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        evidence: service_outcomes.Evidence,
        now_s: float,
    ) -> refusal.Refusal:
        retry = self._plan_retry(call, service, evidence, now_s)
        state = self._state(service)
        state.refused += 1
        if now_s >= state.logged_s + _LOG_INTERVAL_S:
            state.logged_s = now_s
            _log.warning(
                "service is short of capacity",
                service=service.name,
                refused=state.refused,
                too_late=evidence.too_late,
                in_time=evidence.in_time,
                slow=evidence.slow,
                slow_servers=evidence.slow_servers,
                expected_ms=round(evidence.expected_s * 1000),
                room_ms=round(retry.room_s * 1000),
            )
            state.refused = 0
        return admission_policy.refuse(evidence, retry)

    def _plan_retry(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        evidence: service_outcomes.Evidence,
        now_s: float,
    ) -> admission_policy.Retry:
        rank, ranks = self._state(service).outcomes.rank(call.priority, now_s)
        retry = admission_policy.plan_retry(
            evidence,
            call.route,
            call.req,
            now_s,
            rank=rank,
            ranks=ranks,
            rng=self._rng,
        )
        self._metrics.on_expected_room(retry.room_s)
        return retry

    def _evidence(
        self, call: call_lib.Call, service: route_lib.Service, now_s: float
    ) -> service_outcomes.Evidence:
        return self._state(service).outcomes.evidence(
            admission_policy.patience_s(call.route, call.req, now_s),
            call.req.input_tokens,
            now_s,
        )

    def _services_of(self, route: route_lib.Route) -> list[route_lib.Service]:
        table = self._table()
        if table is None:
            return []
        return [
            table.services[share.service]
            for share in route.shares
            if share.weight > 0 and share.service in table.services
        ]

    def _only_service(self, route: route_lib.Route) -> route_lib.Service | None:
        services = self._services_of(route)
        return services[0] if len(services) == 1 else None

    def _state(self, service: route_lib.Service) -> _ServiceState:
        state = self._services.get(service.name)
        if state is None:
            state = self._services[service.name] = _ServiceState()
        return state
