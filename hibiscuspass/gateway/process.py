"""Assembles, starts and stops one gateway process."""

import asyncio
import hashlib
import os
import time

from aiohttp import web
import attrs
import prometheus_client
import structlog

from hibiscuspass.backends import counted_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import backend_selectors as selectors_lib
from hibiscuspass.core.forwarding import cold_servers
from hibiscuspass.core.forwarding import repeat_budget
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.core.forwarding import stop_schedule
from hibiscuspass.core.prepaid import draw_policy
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.gateway import backend_chooser
from hibiscuspass.gateway import background_tasks
from hibiscuspass.gateway import caller_connections
from hibiscuspass.gateway import dispatch
from hibiscuspass.gateway import dispatch_announcer
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import fleet_key as fleet_key_lib
from hibiscuspass.gateway import forwarder as forwarder_lib
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.gateway import listener
from hibiscuspass.gateway import load_monitors
from hibiscuspass.gateway import load_shedding
from hibiscuspass.gateway import member_lease
from hibiscuspass.gateway import message_types
from hibiscuspass.gateway import prepaid_runtime
from hibiscuspass.gateway import prompt_guard
from hibiscuspass.gateway import refusal_responses
from hibiscuspass.gateway import request_reader
from hibiscuspass.gateway import send_permits
from hibiscuspass.gateway import start_time
from hibiscuspass.gateway import store_followers
from hibiscuspass.gateway import store_probe
from hibiscuspass.gateway import time_limits
from hibiscuspass.gateway import upstream as upstream_lib
from hibiscuspass.peers import pynng_pubsub
from hibiscuspass.peers import request_transport
from hibiscuspass.peers import stream_transport
from hibiscuspass.settings import gateway as settings_lib
from hibiscuspass.telemetry import recorder as recorder_lib

_log = structlog.get_logger(__name__)

# Time for writing the responses to requests that the stop has cut.
_WRITE_S = 0.1
_RETRY_AFTER_S = 0.3
# Messages of peers that are handled at the same time.
_MAX_HANDLERS = 64


class GatewayProcess:
    """A gateway process with all its components.

    Attributes:
      process: Identity of this start of the router.
      tasks: Tasks that run as long as the process.
      accounts: Prepaid accounts; set by `start`.
    """

    def __init__(
        self,
        cfg: settings_lib.GatewaySettings,
        store: txn_store.TxnStore,
        started: start_time.StartTime,
    ) -> None:
        self._cfg = cfg
        self._started = started
        self.process = incarnation.Incarnation(
            cfg.process.name, os.urandom(6).hex()
        )
        self.tasks = background_tasks.BackgroundTasks(cfg.grace_s)
        self._limits = time_limits.TimeLimits()
        self._in_progress = 0
        self._repeats = repeat_budget.RepeatBudgets(_repeat_config(cfg))
        self._idle = asyncio.Event()
        self._idle.set()
        self._metrics = gateway_metrics.GatewayMetrics(
            prometheus_client.CollectorRegistry()
        )
        self._shedding = load_shedding.LoadShedding(self._metrics.registry)
        self._store = counted_store.CountedStore(
            store, self._metrics.on_store_call
        )
        self._probe = store_probe.StoreProbe(self._store)
        self._metrics.follow_store_era(lambda: self._store.era.current)

    async def start(self) -> None:
        """Starts to listen and to follow the store.

        The gateway is ready once the configuration and the list of backend
        servers are read and it has joined the fleet.
        """
        cfg = self._cfg
        self._fleet = fleet_lib.Fleet(
            self.process, cfg.listen.peers, self._store
        )
        self._followers = store_followers.make_store_followers(
            self._store,
            self._fleet,
            self._on_table,
            cfg.contact_ms / 1000,
            self._probe,
            lambda: cold_servers.ColdBounds(*attrs.astuple(self._cfg.cold)),
        )
        self._fleet.on_announced = self._followers.on_announced
        self.accounts = accounts_lib.PrepaidAccounts(
            self.process, cfg.listen.peers, draw_policy.DrawConfig()
        )
        self._upstream = upstream_lib.Upstream()
        self._prepaid: prepaid_runtime.PrepaidRuntime | None = None
        self._forwarder: forwarder_lib.Forwarder | None = None
        self._guard: prompt_guard.PromptGuard | None = None
        self._transport: request_transport.RequestTransport | None = None
        self._pubsub: pynng_pubsub.PynngPubSub | None = None
        self._callers = caller_connections.CallerConnections(
            cfg, self._metrics, lambda: self._followers.config.table
        )
        self._listener = listener.Listener(
            self._on_request,
            lambda: self._is_ready,
            self._metrics.registry,
            self._callers,
        )
        self.tasks.spawn(self._callers.run())
        await self._listener.start(cfg.listen)
        for work in self._followers.tasks():
            self.tasks.spawn(work)
        self.tasks.spawn(self._store.report())
        self.tasks.spawn(self._shedding.run())
        self.tasks.spawn(
            member_lease.MemberLease(
                self.process,
                cfg.listen.peers,
                self._store,
                self._followers.on_store_unreachable,
                self._metrics.on_written_again,
            ).run()
        )
        self.tasks.spawn(self._join_fleet())
        _log.info("started", process=str(self.process))

    async def stop(self) -> None:
        """Stops within the grace period; later calls do nothing.

        Accepts requests for a short time, unless a task has failed, finishes
        those in progress, and returns the prepaid tokens. Requests that last
        too long are answered with a failure, or cut if their answers have
        begun.
        """
        if self._limits.stop is not None:
            return
        now_s = time.monotonic()
        schedule = stop_schedule.make_stop_schedule(now_s, self._cfg.grace_s)
        if self.tasks.has_failed:
            schedule = attrs.evolve(schedule, accept_until_s=now_s)
        self._limits.on_stop(schedule)
        _log.info("stopping", in_progress=self._in_progress)
        await asyncio.sleep(schedule.accept_until_s - now_s)
        # Requests in progress hold the tokens that they may use. All others
        # are returned now, for use by other routers.
        if not self.tasks.has_failed:
            await self._return_tokens(schedule.cut_s)
        try:
            async with asyncio.timeout_at(schedule.cut_s + _WRITE_S):
                await self._idle.wait()
        except TimeoutError:
            _log.warning(
                "grace period over, closing connections",
                in_progress=self._in_progress,
            )
        await self._return_tokens(schedule.close_s)
        await self._listener.close()
        await self.tasks.cancel()
        if self._guard:
            self._guard.close()
        if self._transport:
            await self._transport.close()
        if self._pubsub:
            await self._pubsub.close()
        await self._upstream.close()
        self._probe.close()
        await self._store.close()
        _log.info("stopped", in_progress=self._in_progress)

    def reload(self, cfg: settings_lib.GatewaySettings) -> None:
        """Applies changed settings.

        Identity, listeners and store stay; they need a restart to change.
        """
        fixed = ("process", "listen", "store")
        needs_restart = [
            name
            for name in fixed
            if getattr(cfg, name) != getattr(self._cfg, name)
        ]
        self._cfg = cfg
        self._repeats.set_config(_repeat_config(cfg))
        _log.info("settings reloaded", needs_restart=needs_restart)

    async def _return_tokens(self, until_s: float) -> None:
        """Returns the prepaid tokens; waits for the store until `until_s`."""
        if self._prepaid is None:
            return
        returning = self.tasks.spawn(self._prepaid.close())
        _, pending = await asyncio.wait(
            {returning}, timeout=max(0.0, until_s - time.monotonic())
        )
        if pending:
            _log.warning("prepaid tokens not returned in time")

    @property
    def _is_ready(self) -> bool:
        return (
            self._limits.stop is None
            and self._followers.config.table is not None
            and self._followers.backends.is_loaded
            and self._forwarder is not None
            and self._shedding.is_ready
        )

    async def _join_fleet(self) -> None:
        cfg = self._cfg
        key = await fleet_key_lib.get_or_create_key(self._store)
        key_keeper = fleet_key_lib.KeyKeeper(
            self._store, key, self._metrics.on_written_again
        )
        recorder = recorder_lib.Recorder(self.process, capacity=1)
        self._transport = stream_transport.make_transport(
            self.process,
            cfg.listen.peers,
            key,
            recorder,
            message_types=message_types.WITHOUT_HANDLER,
            max_handlers=_MAX_HANDLERS,
        )
        self._followers.copy_from_peers(self._transport)
        self._pubsub = pynng_pubsub.make_pubsub(
            self.process, cfg.listen.peers, key
        )
        self._fleet.set_pubsub(self._pubsub)
        self._prepaid = prepaid_runtime.PrepaidRuntime(
            self.accounts,
            self._store,
            self._transport,
            self._fleet,
            self._pubsub,
            self._metrics,
            self._started,
            self._probe,
        )
        backends = self._followers.backends.backends
        self._guard = prompt_guard.PromptGuard(
            self._transport,
            self._fleet,
            self._store,
            backends.ejection,
            self._metrics.on_written_again,
        )
        seed = int.from_bytes(
            hashlib.blake2b(str(self.process).encode(), digest_size=8).digest()
        )
        selectors = selectors_lib.make_selectors(
            cfg.process.failure_domain, seed, backends.ejection
        )
        announcer = dispatch_announcer.DispatchAnnouncer(
            self._pubsub, selectors, self._find_service
        )
        monitors = load_monitors.LoadMonitors(
            self._transport,
            self._fleet,
            selectors,
            self._find_service,
            self._metrics,
        )
        permits = send_permits.SendPermits(
            self._transport,
            self._pubsub,
            self._fleet,
            self._metrics,
            seed,
            cold=self._followers.backends.cold,
        )
        self._followers.backends.on_cold_again = permits.on_cold_again
        dispatcher = dispatch.Dispatcher(
            self._upstream,
            backend_chooser.BackendChooser(
                backends,
                selectors,
                monitors,
                permits,
                lambda: self._followers.config.table,
                self._metrics,
            ),
            selectors,
            self._repeats,
            lambda: self._followers.config.table,
            self._fleet,
            announcer,
            monitors,
            self._guard,
            self._limits,
            self._metrics,
        )
        self._forwarder = forwarder_lib.Forwarder(
            self._prepaid,
            dispatcher,
            self._guard,
            self._limits,
            self._metrics,
            self._shedding,
        )
        await self._transport.start()
        self._pubsub.start()
        self.tasks.spawn(key_keeper.run())
        self.tasks.spawn(self._fleet.run())
        self.tasks.spawn(self._fleet.run_heartbeat())
        self.tasks.spawn(self._guard.run())
        self.tasks.spawn(self._prepaid.recover())
        self.tasks.spawn(self._prepaid.run())
        self.tasks.spawn(self._prepaid.return_loans())

    def _find_service(self, name: str) -> route_lib.Service | None:
        table = self._followers.config.table
        return table.services.get(name) if table else None

    def _on_table(self, table: route_table.RouteTable) -> None:
        self._metrics.on_version(table.version)
        prepaid = table.prepaid_amounts
        changed = self.accounts.set_prepaid_amounts(prepaid)
        if changed:
            _log.info(
                "prepaid amounts changed",
                version=table.version,
                amounts={name: prepaid.get(name) for name in changed},
            )

    async def _on_request(self, http: web.BaseRequest) -> web.StreamResponse:
        self._in_progress += 1
        self._idle.clear()
        try:
            response = await self._answer(http)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()
        if self._limits.stop is not None and not response.prepared:
            response.force_close()
        self._shedding.on_answer(response)
        return response

    async def _answer(self, http: web.BaseRequest) -> web.StreamResponse:
        now_s = time.monotonic()
        table = self._followers.config.table
        if table is None or self._forwarder is None:
            return refusal_responses.reject(
                http,
                refusal.Refusal(
                    reason_lib.Reason.NOT_READY,
                    "no configuration yet",
                    retry_after_s=_RETRY_AFTER_S,
                ),
            )
        stop = self._limits.stop
        if stop is not None and now_s > stop.accept_until_s:
            return refusal_responses.reject(
                http,
                refusal.Refusal(
                    reason_lib.Reason.SHUTTING_DOWN,
                    "this router stops",
                    retry_after_s=_RETRY_AFTER_S,
                ),
                table.version,
            )
        with self._callers.holding() as holding:
            call = await request_reader.read_call(http, table, now_s, holding)
            if isinstance(call, refusal.Refusal):
                return refusal_responses.reject(http, call, table.version)
            return await self._forwarder.forward(http, call)


def _repeat_config(
    cfg: settings_lib.GatewaySettings,
) -> repeat_budget.RepeatConfig:
    return repeat_budget.RepeatConfig(*attrs.astuple(cfg.repeats))
