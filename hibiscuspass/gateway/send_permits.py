"""Follows the limits of backend servers and asks for permits to send.

A server has a limit while its answers name one, and while it is cold.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
import time
from typing import Any
import weakref

import attrs
import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core import log_limit
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import cold_servers
from hibiscuspass.core.forwarding import load_quotes
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import permit_keeper
from hibiscuspass.core.forwarding import server_limits
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.peers import pynng_pubsub
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.platform import headers as names

_log = structlog.get_logger(__name__)

# Another server can be chosen without a permit.
_TIMEOUT_S = 0.15
# Shorter, so that the router that asked still gets the reply.
_FORWARD_TIMEOUT_S = 0.08
# Time during which a keeper that did not answer is not asked.
_SILENCE_S = 2.0
# Time until the next router is asked in its place.
_NO_ANSWER_PAUSE_S = 0.25
# A server may name another limit in each answer.
_LOG_INTERVAL_S = 1.0
_UNUSABLE_LOG_INTERVAL_S = 10.0


class SendPermits:
    """Obtains permits, and gives them for the servers that it keeps."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        pubsub: pynng_pubsub.PynngPubSub,
        fleet: fleet_lib.Fleet,
        metrics: gateway_metrics.GatewayMetrics,
        seed: int,
        monotonic_s: Callable[[], float] = time.monotonic,
        cold: cold_servers.ColdServers | None = None,
    ) -> None:
        self._transport = transport
        self._pubsub = pubsub
        self._fleet = fleet
        self._metrics = metrics
        self._monotonic_s = monotonic_s
        self._limits = server_limits.ServerLimits()
        self._cold = cold or cold_servers.ColdServers(lambda _: None)
        self._keeper = permit_keeper.PermitKeeper(
            random.Random(seed), monotonic_s()
        )
        self._silent_until_s: dict[str, float] = {}
        self._locks: weakref.WeakValueDictionary[str, asyncio.Lock] = (
            weakref.WeakValueDictionary()
        )
        self._log = log_limit.LogLimit(_LOG_INTERVAL_S)
        self._cold_log = log_limit.LogLimit(_LOG_INTERVAL_S)
        self._unusable_log = log_limit.LogLimit(_UNUSABLE_LOG_INTERVAL_S)
        # Keeps references to messages that nobody waits for.
        self._notices: set[asyncio.Task[Any]] = set()
        metrics.follow_limited_servers(lambda: self._limits.count)
        transport.register(messages.AskPermit, self._on_ask)
        transport.register(messages.NamedLimit, self._on_named)
        pubsub.register(messages.NamedLimit, self._on_notice)
        pubsub.register(cold_servers.ColdNews, self._on_cold_notice)
        metrics.follow_cold_servers(lambda: self._cold.count(monotonic_s()))

    def on_answer(
        self,
        backend: backend_lib.Backend,
        named: names.NamedLimit,
        sent_s: float,
    ) -> None:
        """Records what an answer says of the limit of its server.

        Args:
          backend: Server that answered.
          named: What the answer says.
          sent_s: Time at which the request was sent.
        """
        now_s = self._monotonic_s()
        if named.unusable:
            self._on_unusable(backend, named.unusable, now_s)
            if named.per_s is None:
                return
        instance = backend.instance
        if named.per_s is not None:
            self._metrics.on_server_sign("limit")
        was_limited = self.is_limited(instance)
        if not self._limits.on_answer(instance, named.per_s, sent_s, now_s):
            return
        self._log_change(instance, "header of an answer", now_s)
        msg = messages.NamedLimit(instance, named.per_s, 0.0)
        self._tell_keeper(msg)
        if named.per_s is None:
            self._metrics.on_server_sign("limit_ended")
        elif not was_limited:
            self._pubsub.publish(msg)

    def is_limited(self, instance: str) -> bool:
        """Returns whether each send to a server needs a permit."""
        return self._limits.per_s(instance) is not None or self.is_cold(
            instance
        )

    def is_cold(self, instance: str) -> bool:
        """Returns whether a server is cold and its requests are limited."""
        return self._cold.is_cold(instance, self._monotonic_s())

    def is_paused(self, instance: str) -> bool:
        """Returns whether there is no permit for a server now."""
        return self._limits.is_paused(
            instance, self._monotonic_s()
        ) and self.is_limited(instance)

    def pause_end_s(self, instances: Iterable[str]) -> float | None:
        """Returns when the first of some servers may have a permit again."""
        return self._limits.pause_end_s(
            filter(self.is_limited, instances), self._monotonic_s()
        )

    def on_cold_again(self, instance: str) -> None:
        """Tells peers that a server that was known has become cold.

        Some of them may not reach the store, and send to it as to a warm one.
        """
        news = self._cold.news(instance, self._monotonic_s())
        if news is not None:
            self._pubsub.publish(news)

    async def ask(self, instance: str) -> bool:
        """Returns whether one request may be sent to a limited server."""
        lock = self._locks.get(instance)
        if lock is None:
            lock = self._locks[instance] = asyncio.Lock()
        async with lock:
            now_s = self._monotonic_s()
            cold = self._cold.news(instance, now_s)
            # All routers have to ask the same keeper, also those that know
            # only an earlier instance.
            newest = cold.instance if cold else instance
            limit = self._limits.get(newest)
            per_s = limit.per_s if limit else None
            if per_s is None and cold is None:
                return True
            if self._limits.is_paused(instance, now_s):
                return False
            age_s = now_s - limit.at_s if limit else 0.0
            reply = await self._ask_keeper(
                messages.AskPermit(newest, per_s, age_s, cold=cold)
            )
            if reply is None:
                self._metrics.on_permit("no_answer")
                self._limits.pause(
                    instance, self._monotonic_s() + _NO_ANSWER_PAUSE_S
                )
                return False
            if per_s is not None or reply.per_s is not None:
                self._learn(newest, reply.per_s, reply.age_s, "keeper")
            self._metrics.on_permit("granted" if reply.is_granted else "denied")
            if not reply.is_granted:
                self._limits.pause(
                    instance, self._monotonic_s() + reply.retry_s
                )
            return reply.is_granted

    async def _ask_keeper(
        self, msg: messages.AskPermit
    ) -> messages.Permit | None:
        routers = self._routers()
        name = permit_keeper.keeper_of(msg.instance, routers)
        if name == self._fleet.process.name:
            return self._decide(msg.instance, len(routers))
        return await self._request(name, msg, _TIMEOUT_S)

    async def _request(
        self, name: str, msg: messages.AskPermit, timeout_s: float
    ) -> messages.Permit | None:
        address = self._fleet.addresses_by_name().get(name)
        if address is None:
            return None
        reply = await self._transport.request(address, msg, timeout_s=timeout_s)
        if isinstance(reply, messages.Permit):
            return reply
        self._silent_until_s[name] = self._monotonic_s() + _SILENCE_S
        _log.info(
            "keeper of a limit did not answer",
            keeper=name,
            server=msg.instance,
            reason=reply.reason.value,
        )
        return None

    async def _on_ask(
        self, _: incarnation.Incarnation, msg: messages.AskPermit
    ) -> messages.Permit:
        if msg.per_s is not None:
            self._learn(msg.instance, msg.per_s, msg.age_s, "router that asks")
        if msg.cold is not None:
            self._cold.on_news(msg.cold, self._monotonic_s())
        routers = self._routers()
        name = permit_keeper.keeper_of(msg.instance, routers)
        if name == self._fleet.process.name:
            return self._decide(msg.instance, len(routers))
        # The routers disagree on the keeper. If the one that this router knows
        # doesn't answer, this router may be the keeper for the next request.
        reply = None
        if not msg.is_forwarded:
            reply = await self._request(
                name,
                attrs.evolve(msg, is_forwarded=True),
                _FORWARD_TIMEOUT_S,
            )
        return reply or self._reply(
            msg.instance,
            permit_keeper.Decision(False, _NO_ANSWER_PAUSE_S),
        )

    def _decide(self, instance: str, live: int) -> messages.Permit:
        per_s = self._per_s(instance)
        if per_s is not None and self._is_substitute(instance):
            per_s *= cold_servers.SUBSTITUTE_SHARE
        if per_s is None:
            decision = permit_keeper.Decision(True)
        elif permit_keeper.is_majority(live, self._fleet.known_size):
            decision = self._keeper.decide(instance, per_s, self._monotonic_s())
        else:
            decision = permit_keeper.Decision(False, _SILENCE_S)
        return self._reply(instance, decision)

    def _is_substitute(self, instance: str) -> bool:
        """Returns whether another router is the keeper of a cold server.

        It has not answered this router, but may still answer others.
        """
        if not self.is_cold(instance):
            return False
        own = self._fleet.process.name
        live = {own, *self._fleet.addresses_by_name()}
        return permit_keeper.keeper_of(instance, frozenset(live)) != own

    def _reply(
        self, instance: str, decision: permit_keeper.Decision
    ) -> messages.Permit:
        limit = self._limits.get(instance)
        now_s = self._monotonic_s()
        return messages.Permit(
            decision.is_granted,
            decision.retry_s,
            limit.per_s if limit else None,
            now_s - limit.at_s if limit else 0.0,
        )

    async def _on_named(
        self, _: incarnation.Incarnation, msg: messages.NamedLimit
    ) -> messages.Noted:
        self._learn(msg.instance, msg.per_s, msg.age_s, "another router")
        return messages.Noted()

    def _on_notice(
        self, _: incarnation.Incarnation, msg: messages.NamedLimit
    ) -> None:
        now_s = self._monotonic_s()
        if not self._limits.accepts_notice(msg.instance, now_s):
            return
        self._learn(msg.instance, msg.per_s, msg.age_s, "another router")
        # In larger fleets, a notice reaches neighbours only.
        if self._fleet.size > load_quotes.MAX_ANNOUNCING_ROUTERS:
            self._pubsub.publish(msg)

    def _on_cold_notice(
        self, _: incarnation.Incarnation, news: cold_servers.ColdNews
    ) -> None:
        now_s = self._monotonic_s()
        if not self._cold.on_news(news, now_s):
            return
        suppressed = self._cold_log.on_event(now_s)
        if suppressed is not None:
            _log.info(
                "backend server is cold again",
                server=news.instance,
                left_s=round(news.left_s, 1),
                source="another router",
                suppressed=suppressed,
            )
        # In larger fleets, a notice reaches neighbours only.
        if self._fleet.size > load_quotes.MAX_ANNOUNCING_ROUTERS:
            self._pubsub.publish(news)

    def _per_s(self, instance: str) -> float | None:
        """Returns the lowest limit of a server; None if it has none."""
        limits = (
            self._limits.per_s(instance),
            self._cold.per_s(instance, self._monotonic_s()),
        )
        return min((x for x in limits if x is not None), default=None)

    def _learn(
        self, instance: str, per_s: float | None, age_s: float, source: str
    ) -> None:
        now_s = self._monotonic_s()
        news = server_limits.ServerLimit(per_s, now_s - max(0.0, age_s))
        if self._limits.on_news(instance, news):
            self._log_change(instance, source, now_s)

    def _tell_keeper(self, msg: messages.NamedLimit) -> None:
        name = permit_keeper.keeper_of(msg.instance, self._routers())
        address = self._fleet.addresses_by_name().get(name)
        if address is None:
            return
        task = asyncio.create_task(
            self._transport.request(address, msg, timeout_s=_TIMEOUT_S)
        )
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    def _routers(self) -> frozenset[str]:
        """Returns the routers that may be keepers, this one included."""
        now_s = self._monotonic_s()
        self._silent_until_s = {
            name: until_s
            for name, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        live = self._fleet.addresses_by_name().keys()
        return frozenset(
            {self._fleet.process.name, *live} - self._silent_until_s.keys()
        )

    def _log_change(self, instance: str, source: str, now_s: float) -> None:
        suppressed = self._log.on_event(now_s)
        if suppressed is not None:
            _log.info(
                "limit of a backend server",
                server=instance,
                per_s=self._limits.per_s(instance),
                source=source,
                suppressed=suppressed,
            )

    def _on_unusable(
        self,
        backend: backend_lib.Backend,
        values: tuple[str, ...],
        now_s: float,
    ) -> None:
        self._metrics.on_server_sign("unusable_limit")
        suppressed = self._unusable_log.on_event(now_s)
        if suppressed is not None:
            _log.warning(
                "unusable limit ignored",
                backend=backend.backend_id,
                service=backend.service,
                values=values,
                suppressed=suppressed,
            )
