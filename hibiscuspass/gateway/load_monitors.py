"""Asks the monitors of engines for their load, and monitors engines itself."""

import asyncio
import collections
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
import random
import time
from typing import Any

import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_selector as selector_lib
from hibiscuspass.core.forwarding import backend_selectors as selectors_lib
from hibiscuspass.core.forwarding import engine_loads
from hibiscuspass.core.forwarding import load_quotes
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import part_loads
from hibiscuspass.core.forwarding import prompt_cost
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import server_capacity
from hibiscuspass.gateway import engine_estimates
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

# A request doesn't wait longer for a quote, since the router can choose an
# engine without one.
_TIMEOUT_S = 0.1
# Time during which a monitor that did not answer is not asked.
_PAUSE_S = 1.0
_COST = prompt_cost.PromptCostConfig()


class LoadMonitors:
    """Chooses engines by the quotes of their monitors."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        selectors: selectors_lib.BackendSelectors,
        service_of: selectors_lib.ServiceLookup,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._selectors = selectors
        self._service_of = service_of
        self._monitors = load_quotes.Monitors()
        self._addresses: Mapping[str, str] | None = None
        self._loads: dict[str, engine_loads.EngineLoads] = {}
        self._typical: collections.defaultdict[
            str, load_quotes.TypicalEngine
        ] = collections.defaultdict(load_quotes.TypicalEngine)
        self._part_loads = part_loads.PartLoads()
        self._spreads = part_loads.Spreads()
        self._rng = random.Random()
        self._estimates_log = engine_estimates.EstimatesLog()
        metrics.follow_engines(self._measure)
        self._paused_until_s: dict[str, float] = {}
        # Keeps references to messages that nobody waits for.
        self._notices: set[asyncio.Task[None]] = set()
        transport.register(messages.AskLoad, self._on_ask)
        transport.register(messages.Sent, self._on_sent)
        transport.register(messages.Ended, self._on_ended)

    @property
    def is_needed(self) -> bool:
        """Whether the fleet is too large for announcements to all routers."""
        return self._fleet.size > load_quotes.MAX_ANNOUNCING_ROUTERS

    async def choose(
        self,
        service: route_lib.Service,
        req: request_lib.ForwardRequest,
        usable: Sequence[backend_lib.Backend],
        count: int,
    ) -> selector_lib.Choice:
        """Returns the engine to send to, which its monitor knows by then.

        Args:
          service: Service of the engines.
          req: Request to send.
          usable: At least one engine that the request may be sent to.
          count: Number of engines of the service.
        """
        key = req.affinity_key
        spread = self._spreads.get(key, time.monotonic())
        candidates = load_quotes.candidates(req, usable, spread, self._rng)
        first = candidates[0]
        load = await self._ask(service, first, count, req, spread)
        if load and key:
            self._spreads.set(key, load.spread, time.monotonic())
        if load and load.is_booked:
            self._typical[service.name].on_quote(_quote(load))
            return _choice(first, _quote(load))
        loads = await asyncio.gather(
            *(self._ask(service, b, count, req) for b in candidates[1:])
        )
        quotes = {
            backend.instance: _quote(answer)
            for backend, answer in zip(candidates, [load, *loads], strict=True)
            if answer
        }
        for quote in quotes.values():
            self._typical[service.name].on_quote(quote)
        choice = self._selectors.of(service).choose(
            req, candidates, time.monotonic(), quotes
        )
        self._notify(
            choice.backend.instance,
            count,
            messages.Sent(
                service.name,
                choice.backend.instance,
                [p.part_id for p in req.prompt_parts],
                [p.tokens for p in req.prompt_parts],
                choice.new_tokens,
            ),
        )
        return choice

    def on_ended(
        self,
        service: route_lib.Service,
        choice: selector_lib.Choice,
        served: server_capacity.Served,
        engines: int,
    ) -> None:
        """Records how a request ended, and tells the monitor of an engine.

        Args:
          service: Service of the server.
          choice: Server that the request was sent to.
          served: What was observed of the request.
          engines: Number of servers of the service.
        """
        self._selectors.of(service).on_ended(choice, served, time.monotonic())
        if service.engine is None or not self.is_needed:
            return
        self._notify(
            choice.backend.instance,
            engines,
            messages.Ended(
                service.name,
                choice.backend.instance,
                True,
                choice.expected_s,
                served.duration_s,
                served.first_event_s,
                served.pause_s,
                served.is_refused,
            ),
        )

    def on_not_sent(
        self,
        service: route_lib.Service,
        choice: selector_lib.Choice,
        engines: int,
    ) -> None:
        """Tells the monitor of an engine that a request isn't sent there."""
        instance = choice.backend.instance
        self._notify(
            instance,
            engines,
            messages.Ended(service.name, instance, is_sent=False),
        )

    def retain(self, instances: Collection[str]) -> None:
        """Drops what is known of all engines except the given instances."""
        for loads in self._loads.values():
            loads.retain(instances)
        self._estimates_log.retain(instances)
        self._part_loads.retain(instances)

    async def _ask(
        self,
        service: route_lib.Service,
        backend: backend_lib.Backend,
        engines: int,
        req: request_lib.ForwardRequest,
        spread: int = 0,
    ) -> messages.Load | None:
        typical = self._typical[service.name].value
        msg = messages.AskLoad(
            service.name,
            backend.instance,
            [p.part_id for p in req.prompt_parts],
            [p.tokens for p in req.prompt_parts],
            req.input_tokens,
            spread > 0,
            req.max_output_tokens,
            typical.load,
            typical.token_s,
            typical.pause_s,
            spread,
        )
        reply = await self._request(backend.instance, engines, msg)
        return reply if isinstance(reply, messages.Load) else None

    def _notify(self, instance: str, engines: int, msg: Any) -> None:
        task = asyncio.create_task(
            _discard_reply(self._request(instance, engines, msg))
        )
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    async def _request(self, instance: str, engines: int, msg: Any) -> Any:
        """Sends a message to the monitor of an engine; returns its reply."""
        own = self._fleet.process
        addresses = self._fleet.addresses_by_name()
        if addresses is not self._addresses:
            self._addresses = addresses
            self._monitors.set_routers(frozenset(addresses) | {own.name})
        name = self._monitors.of(instance, engines)
        if name == own.name:
            return await self._handle(own, msg)
        now_s = time.monotonic()
        if self._paused_until_s.get(name, 0.0) > now_s:
            return None
        reply = await self._transport.request(
            addresses[name], msg, timeout_s=_TIMEOUT_S
        )
        if isinstance(reply, refusal.Refusal):
            self._paused_until_s[name] = now_s + _PAUSE_S
            _log.info(
                "monitor did not answer",
                monitor=name,
                engine=instance,
                reason=reply.reason.value,
            )
        return reply

    async def _handle(self, sender: incarnation.Incarnation, msg: Any) -> Any:
        if isinstance(msg, messages.AskLoad):
            return await self._on_ask(sender, msg)
        if isinstance(msg, messages.Sent):
            return await self._on_sent(sender, msg)
        return await self._on_ended(sender, msg)

    async def _on_ask(
        self, _: incarnation.Incarnation, msg: messages.AskLoad
    ) -> messages.Load | refusal.Refusal:
        loads = self._loads_of(msg.service)
        if loads is None:
            return _unknown(msg.service)
        now_s = time.monotonic()
        parts = _parts(msg)
        typical = server_capacity.Typical(
            msg.typical_load, msg.typical_token_s, msg.typical_pause_s
        )
        quote = loads.quote(
            msg.instance, parts, msg.input_tokens, now_s, typical
        )
        is_booked = msg.may_book and load_quotes.is_acceptable(
            quote, typical, _COST, loads.expected_events(msg.output_tokens)
        )
        if is_booked:
            loads.on_sent(msg.instance, parts, quote.new_tokens, now_s)
            self._part_loads.on_sent(msg.instance, now_s)
        return messages.Load(
            quote.new_tokens,
            quote.wait_s,
            quote.prefill_s,
            quote.load,
            quote.token_s,
            quote.pause_s,
            is_booked,
            self._spread(msg, now_s),
        )

    def _spread(self, msg: messages.AskLoad, now_s: float) -> int:
        key = request_lib.affinity_key(msg.part_ids)
        if not msg.spread or not key:
            return 1
        return self._part_loads.spread(
            f"{msg.service}/{key}", msg.spread, msg.instance, now_s
        )

    async def _on_sent(
        self, _: incarnation.Incarnation, msg: messages.Sent
    ) -> messages.Noted | refusal.Refusal:
        loads = self._loads_of(msg.service)
        if loads is None:
            return _unknown(msg.service)
        now_s = time.monotonic()
        loads.on_sent(msg.instance, _parts(msg), msg.new_tokens, now_s)
        self._part_loads.on_sent(msg.instance, now_s)
        return messages.Noted()

    async def _on_ended(
        self, _: incarnation.Incarnation, msg: messages.Ended
    ) -> messages.Noted | refusal.Refusal:
        loads = self._loads_of(msg.service)
        if loads is None:
            return _unknown(msg.service)
        now_s = time.monotonic()
        if not msg.is_sent:
            loads.on_not_sent(msg.instance, now_s)
            return messages.Noted()
        served = server_capacity.Served(
            msg.duration_s, msg.first_event_s, msg.pause_s, msg.is_refused
        )
        estimate = loads.on_ended(msg.instance, served, msg.expected_s, now_s)
        self._estimates_log.on_sample(
            msg.service, msg.instance, estimate, now_s
        )
        return messages.Noted()

    def _measure(self) -> list[engine_estimates.Measured]:
        return engine_estimates.measure(self._loads, time.monotonic())

    def _loads_of(self, service: str) -> engine_loads.EngineLoads | None:
        loads = self._loads.get(service)
        if loads is None:
            known = self._service_of(service)
            if known is None or known.engine is None:
                return None
            loads = engine_loads.EngineLoads(_COST.loads, known.engine)
            self._loads[service] = loads
        return loads


async def _discard_reply(request: Coroutine[Any, Any, Any]) -> None:
    await request


def _parts(
    msg: messages.AskLoad | messages.Sent,
) -> tuple[request_lib.PromptPart, ...]:
    return tuple(
        request_lib.PromptPart(part_id, tokens)
        for part_id, tokens in zip(msg.part_ids, msg.part_tokens, strict=False)
    )


def _quote(load: messages.Load) -> engine_loads.Quote:
    return engine_loads.Quote(
        load.new_tokens,
        load.wait_s,
        load.prefill_s,
        load.load,
        load.token_s,
        load.pause_s,
    )


def _choice(
    backend: backend_lib.Backend, quote: engine_loads.Quote
) -> selector_lib.Choice:
    return selector_lib.Choice(backend, quote.new_tokens, quote.expected_s)


def _unknown(service: str) -> refusal.Refusal:
    return refusal.Refusal(
        reason_lib.Reason.INVALID_REQUEST, f"unknown engine service {service!r}"
    )
