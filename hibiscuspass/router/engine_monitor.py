"""Passes load reports and cache events of engines to the routing policy."""

import asyncio
from collections.abc import Callable
import itertools

from hibiscuspass.backends import engine
from hibiscuspass.backends import vm_list
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.core.routing import policy
from hibiscuspass.router import backend_pool
from hibiscuspass.router import fleet_source
from hibiscuspass.telemetry import logs

_log = logs.get_logger(__name__)

_LOAD_TIMEOUT_S = 1.0
# A load report takes about 700 bytes, and the control traffic of a router in a
# large fleet is limited to 6 KB/s, hence the lower limit there.
_MAX_POLLS_PER_S = 20.0
_MAX_POLLS_PER_S_LARGE_FLEET = 8.0
_LARGE_FLEET_ENGINES = 40
# More subscriptions cost more traffic than their routing hints save.
_MAX_CACHE_SUBSCRIPTIONS = 64
_RECONNECT_DELAY_S = 1.0
_NO_ENGINES_PAUSE_S = 0.2
# A router is ready once it has polled this many engines, or all if there are
# fewer. Without any load report, it would refuse requests for which engines
# exist.
_MIN_POLLED_ENGINES = 20


class EngineMonitor:
    """Polls all engines in turn and reads cache events of the nearest ones."""

    def __init__(
        self,
        fleet: fleet_source.FleetSource,
        backends: backend_pool.BackendPool,
        routing: policy.RoutingPolicy,
        *,
        failure_domain: str,
        region: str,
        poll_interval_s: float,
        report_backend: Callable[[str, bool], None],
    ) -> None:
        self._backends = backends
        self._routing = routing
        self._failure_domain = failure_domain
        self._region = region
        self._poll_interval_s = poll_interval_s
        self._report_backend = report_backend
        self._engines: list[str] = []
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._subscriptions: dict[str, asyncio.Task[None]] = {}
        self._poller: asyncio.Task[None] | None = None
        self._polled_engines: set[str] = set()
        self._was_ready = False
        self._closed = False
        self._view_subscription = fleet.changes().subscribe(self._on_view)

    def is_ready(self) -> bool:
        """Returns whether enough engines have been polled since the start.

        A failed poll counts too. The result stays True once it was True, so
        that engines that join later don't make the router unready.
        """
        if not self._was_ready:
            needed = min(len(self._engines), _MIN_POLLED_ENGINES)
            self._was_ready = len(self._polled_engines) >= needed
        return self._was_ready

    async def start(self) -> None:
        """Starts to poll the engines."""
        self._poller = asyncio.create_task(self._poll_in_turn())

    async def close(self) -> None:
        """Stops all polls and cache event subscriptions."""
        self._closed = True
        self._view_subscription.dispose()
        tasks = [*self._polls.values(), *self._subscriptions.values()]
        if self._poller is not None:
            tasks.append(self._poller)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_view(self, view: fleet_view.FleetView) -> None:
        engines = [
            member
            for member in view.backends
            if member.vm.role is vm_list.VmRole.ENGINE
        ]
        self._engines = [member.vm.name for member in engines]
        self._routing.set_backends(
            [
                policy.BackendView(
                    member.vm.name,
                    member.vm.failure_domain,
                    member.accepts_work,
                )
                for member in engines
            ],
            asyncio.get_running_loop().time(),
        )
        self._subscribe([member.vm for member in engines])

    def _subscribe(self, engines: list[vm_list.Vm]) -> None:
        if self._closed:
            return
        nearest = sorted(
            engines,
            key=lambda vm: (
                vm.failure_domain != self._failure_domain,
                vm.region != self._region,
                vm.name,
            ),
        )
        selected = {vm.name for vm in nearest[:_MAX_CACHE_SUBSCRIPTIONS]}
        for name in selected - self._subscriptions.keys():
            self._subscriptions[name] = asyncio.create_task(
                self._follow_cache_events(name)
            )
        for name in self._subscriptions.keys() - selected:
            self._subscriptions.pop(name).cancel()

    async def _poll_in_turn(self) -> None:
        for turn in itertools.count():
            engines = self._engines
            if not engines:
                await asyncio.sleep(_NO_ENGINES_PAUSE_S)
                continue
            name = engines[turn % len(engines)]
            if name not in self._polls:
                self._polls[name] = asyncio.create_task(self._poll(name))
            await asyncio.sleep(self._poll_pause_s(len(engines)))

    def _poll_pause_s(self, engines: int) -> float:
        max_polls_per_s = (
            _MAX_POLLS_PER_S
            if engines <= _LARGE_FLEET_ENGINES
            else _MAX_POLLS_PER_S_LARGE_FLEET
        )
        return max(self._poll_interval_s / engines, 1.0 / max_polls_per_s)

    async def _poll(self, name: str) -> None:
        try:
            client = self._backends.engine(name)
            if client is not None:
                await self._update_load(name, client)
        finally:
            self._polls.pop(name, None)
            if len(self._polled_engines) < _MIN_POLLED_ENGINES:
                self._polled_engines.add(name)

    async def _update_load(self, name: str, client: engine.Engine) -> None:
        report = await client.load_report(timeout_s=_LOAD_TIMEOUT_S)
        if isinstance(report, refusal.Refusal):
            _log.debug("no load report", backend=name, detail=report.detail)
            return
        now_s = asyncio.get_running_loop().time()
        self._routing.on_load_report(report, now_s)
        self._report_backend(name, report.draining)

    async def _follow_cache_events(self, name: str) -> None:
        while True:
            client = self._backends.engine(name)
            if client is not None:
                await self._read_cache_events(client)
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _read_cache_events(self, client: engine.Engine) -> None:
        loop = asyncio.get_running_loop()
        async for event in client.cache_events():
            self._routing.on_cache_event(event, loop.time())
