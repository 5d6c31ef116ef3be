"""Chooses a backend server for each send of a request."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import random
import time

import structlog

from hibiscuspass.core import log_limit
from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector as selector_lib
from hibiscuspass.core.forwarding import backend_selectors as selectors_lib
from hibiscuspass.core.forwarding import backend_set
from hibiscuspass.core.forwarding import cold_servers
from hibiscuspass.core.forwarding import hold_off
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import load_monitors
from hibiscuspass.gateway import send_permits
from hibiscuspass.platform import headers

_log = structlog.get_logger(__name__)

# Share of the target latency for which a request waits for a server.
_MAX_WAIT_SHARE = 0.5
# Limited servers for which a permit is asked for, before others are chosen.
_MAX_ASKS = 3
# Time after which no further permit is asked for. Each question takes two round
# trips, which are slow between busy routers, and the refusal is due at once.
_MAX_ASK_S = 0.2
# Suggested delay while all servers of a service are evacuated. Nothing tells
# when the operator ends an evacuation; a caller that comes back later than this
# would lose time after the end.
_EVACUATED_RETRY_S = 1.0
# A server may send an unusable time with each refusal.
_UNUSABLE_LOG_INTERVAL_S = 10.0


class BackendChooser:
    """Selects among the servers that accept requests."""

    def __init__(
        self,
        backends: backend_set.BackendSet,
        selectors: selectors_lib.BackendSelectors,
        monitors: load_monitors.LoadMonitors,
        permits: send_permits.SendPermits,
        table: Callable[[], route_table.RouteTable | None],
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._backends = backends
        self._selectors = selectors
        self._monitors = monitors
        self._permits = permits
        self._table = table
        self._metrics = metrics
        metrics.follow_servers(lambda: backends.count_states(time.monotonic()))
        metrics.follow_evacuated_domains(lambda: len(backends.evacuated))
        self._unusable_log = log_limit.LogLimit(_UNUSABLE_LOG_INTERVAL_S)
        self._warm = cold_servers.WarmPreference()
        self._rng = random.Random()
        self._backends_version = -1

    def choose_service(self, call: call_lib.Call) -> route_lib.Service | None:
        """Returns the service to send a request to."""
        table = self._table()
        shares = call.route.shares
        name = shares[0].service
        if len(shares) > 1:
            name = self._rng.choices(
                [s.service for s in shares], [s.weight for s in shares]
            )[0]
        return table.services.get(name) if table else None

    async def choose(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        attempts: attempts_lib.Attempts,
    ) -> selector_lib.Choice | None:
        """Returns the server to send to; None if there is none.

        Waits for a server that wants no requests for a short time if there is
        no other one. The caller sends the request at once, since a permit for a
        limited server is for that time.
        """
        asks = 0
        began_s = time.monotonic()
        while True:
            is_over = time.monotonic() - began_s >= _MAX_ASK_S
            choice = await self._choose(
                call,
                service,
                attempts,
                with_limited=asks < _MAX_ASKS and not is_over,
            )
            if choice is None:
                if not await self._wait_for_server(call, service, attempts):
                    return None
                asks = 0
                began_s = time.monotonic()
                continue
            backend = choice.backend
            # A server may hold off or leave while its monitor is asked.
            if not self._backends.is_ready(backend, time.monotonic()):
                self.release(service, choice)
                continue
            if not self._permits.is_limited(backend.instance):
                return choice
            asks += 1
            if await self._permits.ask(
                backend.instance
            ) and self._backends.is_ready(backend, time.monotonic()):
                return choice
            self.release(service, choice)

    def release(
        self, service: route_lib.Service, choice: selector_lib.Choice
    ) -> None:
        """Records that a request isn't sent to the server chosen for it."""
        if service.engine is not None and self._monitors.is_needed:
            self._monitors.on_not_sent(
                service, choice, self.ready_count(service)
            )

    @property
    def version(self) -> int:
        """Number that increases with each change of the servers."""
        return self._backends.version

    def ready_count(self, service: route_lib.Service) -> int:
        """Returns the number of servers that accept requests."""
        return len(self._backends.ready(service.name, time.monotonic()))

    def describe_none_left(self, service: route_lib.Service) -> str:
        """Returns why a service has no server for a request."""
        if self._backends.is_evacuated(service.name):
            return "all servers are in evacuated failure domains"
        return "no backend server left"

    def retry_after_s(self, service: route_lib.Service) -> float | None:
        """Returns when a service may be asked again.

        Returns:
          Time in seconds, spread so that callers don't return together; None if
          no server holds off, is limited or is evacuated.
        """
        now_s = time.monotonic()
        if self._backends.is_evacuated(service.name):
            return hold_off.duration_s(_EVACUATED_RETRY_S, self._rng)
        end_s = self._pause_end_s(service, now_s)
        if end_s is None:
            return None
        return hold_off.duration_s(end_s - now_s, self._rng)

    def on_busy(self, backend: backend_lib.Backend) -> None:
        """Records that a server refused a request because it was full."""
        self._warm.on_busy(backend.instance, time.monotonic())

    def on_leaving(self, backend: backend_lib.Backend, evidence: str) -> None:
        """Records that a server said that it is about to end."""
        self._metrics.on_server_sign("leaving")
        if self._backends.on_leaving(backend):
            _log.info(
                "backend server leaves",
                backend=backend.backend_id,
                service=backend.service,
                evidence=evidence,
            )

    def on_hold_off(
        self, backend: backend_lib.Backend, requested_s: float
    ) -> None:
        """Records that a server wants no requests for some time."""
        now_s = time.monotonic()
        if requested_s <= 0:
            return
        self._metrics.on_server_sign("hold_off")
        until_s = now_s + hold_off.duration_s(requested_s, self._rng)
        is_new = self._backends.is_ready(backend, now_s)
        self._backends.on_hold_off(backend, until_s, now_s)
        if is_new:
            _log.info(
                "backend server holds off",
                backend=backend.backend_id,
                service=backend.service,
                requested_s=requested_s,
                until_in_s=round(until_s - now_s, 2),
            )

    def on_named_limit(
        self,
        backend: backend_lib.Backend,
        named: headers.NamedLimit,
        sent_s: float,
    ) -> None:
        """Records what an answer says of the limit of its server.

        Args:
          backend: Server that answered.
          named: What the answer says.
          sent_s: Time at which the request was sent.
        """
        self._permits.on_answer(backend, named, sent_s)

    def on_unusable_hold_off(
        self, backend: backend_lib.Backend, values: Sequence[str]
    ) -> None:
        """Records that a server named a time that means nothing."""
        self._metrics.on_server_sign("unusable_hold_off")
        suppressed = self._unusable_log.on_event(time.monotonic())
        if suppressed is not None:
            _log.warning(
                "unusable hold-off ignored",
                backend=backend.backend_id,
                service=backend.service,
                values=values,
                suppressed=suppressed,
            )

    def _pause_end_s(
        self,
        service: route_lib.Service,
        now_s: float,
        excluded: Collection[str] = (),
    ) -> float | None:
        """Returns when the first server may accept requests again."""
        ends_s = (
            self._backends.hold_off_end_s(service.name, now_s, excluded),
            self._permits.pause_end_s(
                b.instance
                for b in self._backends.ready(service.name, now_s)
                if b.backend_id not in excluded
            ),
        )
        return min((s for s in ends_s if s is not None), default=None)

    async def _wait_for_server(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        attempts: attempts_lib.Attempts,
    ) -> bool:
        """Waits for the first server that accepts requests again.

        Returns:
          Whether one does in time for the request.
        """
        now_s = time.monotonic()
        end_s = self._pause_end_s(service, now_s, attempts.tried)
        latest_s = min(
            call.req.deadline_s,
            call.req.received_s + _MAX_WAIT_SHARE * call.route.target_latency_s,
        )
        if end_s is None or end_s > latest_s:
            return False
        await asyncio.sleep(end_s - now_s)
        return True

    async def _choose(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        attempts: attempts_lib.Attempts,
        *,
        with_limited: bool,
    ) -> selector_lib.Choice | None:
        now_s = time.monotonic()
        for backend_id in self._backends.expire(now_s):
            _log.info("backend server did not come back", backend=backend_id)
        if self._backends_version != self._backends.version:
            self._backends_version = self._backends.version
            known = self._backends.backends()
            self._selectors.retain(known)
            self._monitors.retain([b.instance for b in known])
        accepting = self._backends.ready(service.name, now_s)
        is_out = (
            self._permits.is_paused
            if with_limited
            else self._permits.is_limited
        )
        ready = self._prefer_warm(
            [b for b in accepting if not is_out(b.instance)], attempts, now_s
        )
        if service.engine is None or not self._monitors.is_needed:
            return self._selectors.choose(
                service, call.req, ready, attempts.tried, now_s
            )
        usable = self._selectors.usable(ready, attempts.tried, now_s)
        if not usable:
            return None
        return await self._monitors.choose(
            service, call.req, usable, len(accepting)
        )

    def _prefer_warm(
        self,
        backends: Sequence[backend_lib.Backend],
        attempts: attempts_lib.Attempts,
        now_s: float,
    ) -> Sequence[backend_lib.Backend]:
        """Returns the servers that have not been tried, or the warm of them."""
        return self._warm.preferred(
            [b for b in backends if b.backend_id not in attempts.tried],
            self._permits.is_cold,
            lambda instance: (
                not self._backends.ejection.weight(instance, now_s)
            ),
            now_s,
        )
