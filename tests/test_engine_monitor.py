"""Tests the engine monitor: readiness, load reports and cache events."""

import asyncio
import itertools

from hibiscuspass.backends import engine
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.router import backend_pool
from hibiscuspass.router import engine_monitor
from tests import backend_fakes
from tests import router_fakes
from tests import virtual_loop


class _Engine(backend_fakes.FakeEngine):
    """Reports load; the first engine never answers."""

    async def load_report(self, *, timeout_s):
        if self.name == "e1":
            await asyncio.sleep(timeout_s)
            return refusal.Refusal(reason.Reason.TIMEOUT)
        return engine.LoadReport(
            self.name, 0.0, 1, 0, 0, 0.0, ("m",), draining=True
        )

    async def cache_events(self):
        yield engine.CacheEvent(self.name, 1, (7,))


class _Routing(router_fakes.FakeRouting):
    def __init__(self):
        super().__init__()
        self.loads, self.events, self.backend_names = [], [], []

    def on_load_report(self, report, now_s):
        self.loads.append((report.engine, now_s))

    def on_cache_event(self, event, now_s):
        self.events.append(event.engine)

    def set_backends(self, backends, now_s):
        self.backend_names = [b.name for b in backends]


def _make_monitor(routing, report_backend):
    fleet = router_fakes.FakeFleet()
    pool = backend_pool.BackendPool(
        fleet, lambda vm: _Engine(vm.name), lambda vm: None
    )
    return engine_monitor.EngineMonitor(
        fleet,
        pool,
        routing,
        failure_domain="fd",
        region="r",
        poll_interval_s=0.5,
        report_backend=report_backend,
    )


def test_router_is_ready_after_it_polled_its_engines():
    """Guards against accepting calls before load reports have arrived.

    A router without load reports refuses requests for which engines exist.
    """
    seen: list[bool] = []

    async def scenario() -> None:
        monitor = _make_monitor(_Routing(), lambda name, flag: None)
        seen.append(monitor.is_ready())
        await monitor.start()
        await asyncio.sleep(10)
        seen.append(monitor.is_ready())
        await monitor.close()

    virtual_loop.run(scenario())
    assert seen == [False, True]


def test_silent_engine_does_not_delay_reports_of_others():
    routing = _Routing()
    draining: list[tuple[str, bool]] = []

    async def scenario() -> None:
        monitor = _make_monitor(
            routing, lambda name, flag: draining.append((name, flag))
        )
        await monitor.start()
        await asyncio.sleep(10)
        await monitor.close()

    virtual_loop.run(scenario())
    assert routing.backend_names == ["e1", "e2"]
    times = [at_s for _, at_s in routing.loads]
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert max(gaps) < 0.6
    assert set(draining) == {("e2", True)}
    assert set(routing.events) == {"e1", "e2"}
    # A lost subscription is opened again after a delay, not in a busy loop.
    assert 10 <= len(routing.events) <= 22
