"""Chooses backend servers and sends to them until one answers."""

from collections.abc import Callable
import random
import time

import aiohttp
import attrs
import structlog

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_set
from hibiscuspass.core.forwarding import placement as placement_lib
from hibiscuspass.core.forwarding import repeat_budget
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import upstream as upstream_lib

_log = structlog.get_logger(__name__)

# A caller that comes back later than this finds other servers free.
_RETRY_AFTER_S = 0.5


@attrs.frozen
class Answer:
    """An answer of a backend server whose body is not read yet."""

    resp: aiohttp.ClientResponse
    backend: backend_lib.Backend


class Dispatcher:
    """Sends requests; repeats them where route and budgets allow it."""

    def __init__(
        self,
        upstream: upstream_lib.Upstream,
        backends: backend_set.BackendSet,
        placement: placement_lib.AffinityPlacement,
        repeats: repeat_budget.RepeatConfig,
        table: Callable[[], route_table.RouteTable | None],
        routers: Callable[[], int],
    ) -> None:
        self._upstream = upstream
        self._backends = backends
        self._placement = placement
        self._repeat_cfg = repeats
        self._repeats: dict[str, repeat_budget.RepeatBudget] = {}
        self._table = table
        self._routers = routers
        self._rng = random.Random()
        self._backends_version = -1

    def tokens_per_event(self, call: call_lib.Call) -> int:
        """Returns the most tokens that one event of an answer can hold."""
        table = self._table()
        engines = [
            service.engine
            for share in call.route.shares
            if table and (service := table.services.get(share.service))
        ]
        return max((e.tokens_per_event for e in engines if e), default=1)

    async def dispatch(
        self,
        call: call_lib.Call,
        tries: attempts_lib.Attempts,
        last_event_id: str | None,
    ) -> Answer | refusal.Refusal:
        """Sends a request until a server answers.

        Args:
          call: Request of the caller.
          tries: Earlier sends; updated.
          last_event_id: Event after which a stream goes on.
        """
        while True:
            service = self._choose_service(call)
            backend = self._choose(call, service, tries)
            refused = self._check_send(call, service, backend, tries)
            if refused:
                return refused
            assert backend is not None
            outcome = await self._send(call, backend, tries, last_event_id)
            if isinstance(outcome, Answer):
                return outcome
            maybe = outcome.run is not run_state.RunState.NO
            if maybe and not call.route.may_repeat:
                return refusal.Refusal(
                    reason_lib.Reason.BACKEND_LOST,
                    outcome.detail,
                    run_state.RunState.UNKNOWN,
                )

    def on_ended(self, answer: Answer, *, succeeded: bool) -> None:
        """Records the end of an answer."""
        failed = not succeeded
        self._placement.on_ended(
            answer.backend.backend_id, not failed, time.monotonic()
        )

    def _choose_service(self, call: call_lib.Call) -> str:
        shares = call.route.shares
        if len(shares) == 1:
            return shares[0].service
        return self._rng.choices(
            [s.service for s in shares], [s.weight for s in shares]
        )[0]

    def _choose(
        self,
        call: call_lib.Call,
        service: str,
        tries: attempts_lib.Attempts,
    ) -> backend_lib.Backend | None:
        now_s = time.monotonic()
        for backend_id in self._backends.expire(now_s):
            _log.info("backend server did not come back", backend=backend_id)
        if self._backends_version != self._backends.version:
            self._backends_version = self._backends.version
            self._placement.retain(
                [b.backend_id for b in self._backends.backends()]
            )
        return self._placement.choose(
            call.req, self._backends.ready(service), tries.tried, now_s
        )

    def _check_send(
        self,
        call: call_lib.Call,
        service: str,
        backend: backend_lib.Backend | None,
        tries: attempts_lib.Attempts,
    ) -> refusal.Refusal | None:
        """Returns why a request must not be sent (again)."""
        now_s = time.monotonic()
        budget = self._repeats.setdefault(
            service, repeat_budget.RepeatBudget(self._repeat_cfg)
        )
        if backend is None:
            return self._give_up(tries, "no backend server left")
        if not tries.sends:
            budget.on_request(now_s)
            return None
        if len(tries.tried) >= tries.max_attempts:
            return self._give_up(tries, "no attempts left")
        if not budget.try_repeat(self._routers(), now_s):
            return self._give_up(tries, "the repeat budget is used up")
        return None

    def _give_up(
        self, tries: attempts_lib.Attempts, detail: str
    ) -> refusal.Refusal:
        detail = f"{detail}; last failure: {tries.last_failure or 'none'}"
        if tries.may_have_run:
            return refusal.Refusal(
                reason_lib.Reason.BACKEND_LOST,
                detail,
                run_state.RunState.UNKNOWN,
            )
        return refusal.Refusal(
            reason_lib.Reason.NO_BACKEND, detail, retry_after_s=_RETRY_AFTER_S
        )

    async def _send(
        self,
        call: call_lib.Call,
        backend: backend_lib.Backend,
        tries: attempts_lib.Attempts,
        last_event_id: str | None,
    ) -> Answer | upstream_lib.Failure:
        tries.on_send(backend.backend_id)
        ran_before = tries.may_have_run
        tries.may_have_run = True
        self._placement.on_sent(backend.backend_id)
        outcome: aiohttp.ClientResponse | upstream_lib.Failure | None = None
        try:
            outcome = await self._upstream.send(
                call, backend, last_event_id=last_event_id
            )
        finally:
            if outcome is None:
                self._placement.on_ended(
                    backend.backend_id, True, time.monotonic()
                )
        if not isinstance(outcome, upstream_lib.Failure):
            return Answer(outcome, backend)
        if outcome.run is run_state.RunState.NO:
            tries.may_have_run = ran_before
        tries.last_failure = outcome.detail
        self._placement.on_ended(
            backend.backend_id, outcome.is_busy, time.monotonic()
        )
        if outcome.is_leaving:
            self._backends.on_leaving(backend.backend_id)
        _log.info(
            "send failed",
            request=call.req.attempt_id,
            backend=backend.backend_id,
            run=outcome.run.value,
            detail=outcome.detail,
            sends=tries.sends,
        )
        return outcome
