"""Asks the monitors of engines for their load, and monitors engines itself."""

import asyncio
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
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
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

# A request doesn't wait longer for a quote, since the router can choose an
# engine without one.
_TIMEOUT_S = 0.1
# Time during which a monitor that did not answer is not asked.
_PAUSE_S = 1.0


class LoadMonitors:
    """Chooses engines by the quotes of their monitors."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        selectors: selectors_lib.BackendSelectors,
        service_of: selectors_lib.ServiceLookup,
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._selectors = selectors
        self._service_of = service_of
        self._monitors = load_quotes.Monitors()
        self._addresses: Mapping[str, str] | None = None
        self._loads: dict[str, engine_loads.EngineLoads] = {}
        self._paused_until_s: dict[str, float] = {}
        # Keeps references to messages that nobody waits for.
        self._notices: set[asyncio.Task[None]] = set()
        transport.register(messages.AskLoad, self._on_ask)
        transport.register(messages.Sent, self._on_sent)
        transport.register(messages.FirstEvent, self._on_first_event)

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
        candidates = load_quotes.candidates(req, usable)
        first = candidates[0]
        load = await self._ask(service, first, count, req, may_book=True)
        if load and load.is_booked:
            return _choice(first, _quote(load))
        loads = await asyncio.gather(
            *(
                self._ask(service, b, count, req, may_book=False)
                for b in candidates[1:]
            )
        )
        quotes = {
            backend.instance: _quote(answer)
            for backend, answer in zip(candidates, [load, *loads], strict=True)
            if answer
        }
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

    def on_first_event(
        self,
        service: route_lib.Service,
        choice: selector_lib.Choice,
        elapsed_s: float,
        engines: int,
    ) -> None:
        """Tells the monitor about a first event that came at another time.

        Args:
          service: Service of the engine.
          choice: Result of `choose`.
          elapsed_s: Time from the send to the first event in seconds.
          engines: Number of engines of the service.
        """
        if not load_quotes.is_notable(choice.expected_s, elapsed_s):
            return
        instance = choice.backend.instance
        self._notify(
            instance,
            engines,
            messages.FirstEvent(
                service.name,
                instance,
                choice.new_tokens,
                choice.expected_s,
                elapsed_s,
            ),
        )

    def retain(self, instances: Collection[str]) -> None:
        """Drops what is known of all engines except the given instances."""
        for loads in self._loads.values():
            loads.retain(instances)

    async def _ask(
        self,
        service: route_lib.Service,
        backend: backend_lib.Backend,
        engines: int,
        req: request_lib.ForwardRequest,
        *,
        may_book: bool,
    ) -> messages.Load | None:
        msg = messages.AskLoad(
            service.name,
            backend.instance,
            [p.part_id for p in req.prompt_parts],
            [p.tokens for p in req.prompt_parts],
            req.input_tokens,
            may_book,
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
        return await self._on_first_event(sender, msg)

    async def _on_ask(
        self, _: incarnation.Incarnation, msg: messages.AskLoad
    ) -> messages.Load | refusal.Refusal:
        loads = self._loads_of(msg.service)
        if loads is None:
            return _unknown(msg.service)
        now_s = time.monotonic()
        parts = _parts(msg)
        quote = loads.quote(msg.instance, parts, msg.input_tokens, now_s)
        is_booked = msg.may_book and load_quotes.is_acceptable(quote)
        if is_booked:
            loads.add_work(msg.instance, parts, quote.new_tokens, now_s)
        return messages.Load(
            quote.new_tokens,
            quote.wait_s,
            quote.prefill_s,
            quote.slowness,
            is_booked,
        )

    async def _on_sent(
        self, _: incarnation.Incarnation, msg: messages.Sent
    ) -> messages.Noted | refusal.Refusal:
        loads = self._loads_of(msg.service)
        if loads is None:
            return _unknown(msg.service)
        loads.add_work(
            msg.instance, _parts(msg), msg.new_tokens, time.monotonic()
        )
        return messages.Noted()

    async def _on_first_event(
        self, _: incarnation.Incarnation, msg: messages.FirstEvent
    ) -> messages.Noted | refusal.Refusal:
        loads = self._loads_of(msg.service)
        if loads is None:
            return _unknown(msg.service)
        loads.on_first_event(
            msg.instance, msg.new_tokens, msg.expected_s, msg.elapsed_s
        )
        return messages.Noted()

    def _loads_of(self, service: str) -> engine_loads.EngineLoads | None:
        loads = self._loads.get(service)
        if loads is None:
            known = self._service_of(service)
            if known is None or known.engine is None:
                return None
            loads = engine_loads.EngineLoads(
                load_quotes.MONITOR_LOADS, known.engine
            )
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
        load.new_tokens, load.wait_s, load.prefill_s, load.slowness
    )


def _choice(
    backend: backend_lib.Backend, quote: engine_loads.Quote
) -> selector_lib.Choice:
    return selector_lib.Choice(backend, quote.new_tokens, quote.expected_s)


def _unknown(service: str) -> refusal.Refusal:
    return refusal.Refusal(
        reason_lib.Reason.INVALID_REQUEST, f"unknown engine service {service!r}"
    )
