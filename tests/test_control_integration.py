"""Tests administration and routers over real links with stand-ins."""

import asyncio
import contextlib
import signal

import pytest

from hibiscuspass.admin import main as admin_main
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import permit
from hibiscuspass.core.configuration import messages
from hibiscuspass.settings import admin as admin_settings
from hibiscuspass.settings import secrets
from hibiscuspass.settings import structure
from tests import control_system


@pytest.fixture
async def system():
    system = control_system.System()
    await system.start()
    yield system
    await system.stop()


async def test_a_change_reaches_routers_by_watch_and_is_accepted(system):
    routers = [await system.start_router(n) for n in ("a", "b")]
    stored = await system.write_workspace(1)
    for router in routers:
        assert (await router.load("bakery")).priority == 1
    changed = await system.write_workspace(2, stored.revision)
    await control_system.eventually(
        lambda: all(r.workspace("bakery").priority == 2 for r in routers)
    )
    status = await system.tracker.check("bakery", changed.revision)
    assert status.accepted, status
    assert [r.process for r in status.routers] == ["a/1", "b/1"]


async def _load_when_available(router):
    """Loads a workspace; comes back after a refusal, as callers do."""
    async with asyncio.timeout(5.0):
        while isinstance(found := await router.load("bakery"), refusal.Refusal):
            assert found.reason is reason_lib.Reason.UNAVAILABLE, found
            await asyncio.sleep(found.retry_after_s)
    return found


async def test_a_late_answer_of_a_peer_leads_to_a_refusal_first(
    system, monkeypatch
):
    """A workspace must be available once a peer answers in time.

    On a busy machine the only peer answered later than the time limit, and a
    test that did not come back failed.
    """
    first = await system.start_router("a")
    await system.write_workspace(1)
    await first.load("bakery")
    await system.kv.inject(outage="refuse")
    second = await system.start_router("b")
    request, delays_s = second._transport.request, [1.0]

    async def answer_late(address, msg, *, timeout_s):
        if isinstance(msg, messages.ConfigFetch) and delays_s:
            await asyncio.sleep(min(timeout_s, delays_s.pop()))
            return refusal.Refusal(reason_lib.Reason.TIMEOUT, "no reply")
        return await request(address, msg, timeout_s=timeout_s)

    monkeypatch.setattr(second._transport, "request", answer_late)
    refused = await second.load("bakery")
    assert isinstance(refused, refusal.Refusal), refused
    assert refused.retry_after_s
    assert (await _load_when_available(second)).priority == 1


async def test_a_router_starts_from_a_peer_during_an_outage(system):
    """Guards against a router that can't start without the key-value service.

    It must get the configuration from a peer and follow changes after the
    outage.
    """
    first = await system.start_router("a")
    stored = await system.write_workspace(1)
    await first.load("bakery")
    await system.kv.inject(outage="refuse")
    second = await system.start_router("b")
    assert second.is_ready()
    assert (await _load_when_available(second)).priority == 1
    await system.kv.inject(outage="")
    changed = await system.write_workspace(2, stored.revision)
    status = await system.tracker.check("bakery", changed.revision)
    assert status.accepted, status
    assert "b/1" in [r.process for r in status.routers]
    await control_system.eventually(
        lambda: second.workspace("bakery").priority == 2
    )


async def test_a_lost_watch_is_opened_again(system):
    """Guards against a router that misses changes after an outage."""
    router = await system.start_router("a")
    stored = await system.write_workspace(1)
    await router.load("bakery")
    await system.kv.inject(outage="refuse")
    await system.kv.inject(outage="")
    await system.write_workspace(2, stored.revision)
    await control_system.eventually(
        lambda: router.workspace("bakery").priority == 2
    )


def _permit_request(number):
    return permit.PermitRequest(
        f"request-{number}", f"attempt-{number}", "bakery", 100, False, "m"
    )


async def test_a_report_asks_real_holders_and_survives_an_outage(system):
    for name in ("a", "b"):
        await system.start_router(name)
    await system.write_workspace(1)
    for router in system.routers:
        await router.runtime.load("bakery")
    await system.ledgers.top_up("bakery", "t", 1000)
    budgets = system.routers[0].budgets
    issued_permit = await budgets.acquire(_permit_request(1), timeout_s=5.0)
    assert isinstance(issued_permit, permit.Permit), issued_permit
    report = await system.reports.report("bakery")
    assert [g.state for g in report.grants] == ["live"]
    assert (report.spent_at_least, report.spent_at_most) == (0, 100)
    assert report.remaining_at_least == 900
    budgets.settle(issued_permit, 60, permit.CostKind.REPORTED)
    for _ in range(100):
        report = await system.reports.report("bakery")
        if report.spent_at_least == report.spent_at_most:
            break
        await asyncio.sleep(0.05)
    assert (report.spent_at_least, report.spent_at_most) == (60, 60)
    await system.kv.inject(outage="refuse")
    report = await system.reports.report("bakery")
    assert not isinstance(report, refusal.Refusal), report
    assert "key-value service can't be reached" in report.warnings[0]
    assert report.spent_at_least <= 60 <= report.spent_at_most


async def test_the_administration_program_starts_and_stops(system, tmp_path):
    token, operator = secrets.make_operator_token("ines")
    del token
    process = incarnation.Incarnation("admin-a", "1")
    cfg = structure.structure(
        {
            "process": {
                "name": "admin-a",
                "address": "127.0.0.1",
                "failure_domain": "d",
                "region": "r",
            },
            "listen": {"host": "127.0.0.1", "port": 18991},
            "peer_link": {
                "address": "127.0.0.1:18992",
                "fleet_key_file": "unused",
            },
            "key_value": {"address": f"http://{system.kv.address}"},
            "vm_list": {"address": f"http://{system.platform.address}"},
            "operators_file": "unused",
        },
        admin_settings.AdminSettings,
    )
    assert isinstance(cfg, admin_settings.AdminSettings), cfg
    program = admin_main.Admin(
        cfg,
        admin_settings.Operators((operator,)),
        control_system.FLEET_KEY,
        process,
    )
    task = asyncio.create_task(program.run())
    await control_system.eventually(lambda: program.is_ready)
    signal.raise_signal(signal.SIGTERM)
    await task
    assert not program.is_ready
    with contextlib.suppress(NotImplementedError):
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
