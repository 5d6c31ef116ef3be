"""Tests of disconnecting callers, stops, reloads, loans and restarts."""

import asyncio
import os
import pathlib

import attrs
import pytest

from hibiscuspass.core.prepaid import store_record
from hibiscuspass.gateway import background_tasks
from hibiscuspass.gateway import settings_watch
from hibiscuspass.settings import gateway as settings_lib
from tests import gateway_system
from tests import memory_store
from tests import scripted_backend

_HEAD = scripted_backend.answer(
    headers=("X-Server-Stamp: s", "Transfer-Encoding: chunked"), body=b""
)
_EVENT = b"c\r\nid: 0\ndata\n\n\r\n"


async def test_caller_that_leaves_ends_the_run() -> None:
    """A server must not go on with a request whose caller disconnected."""
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.scripts.append(_HEAD + _EVENT)
        resp = await system.send("/draft/x")
        resp.close()
        async with asyncio.timeout(0.5):
            await backend.wait_until_closed()
        await asyncio.sleep(0.05)
        assert system.gateway.accounts.used() == {"press": 105}


async def test_caller_that_leaves_before_the_answer_ends_the_run() -> None:
    """A server must stop if the caller disconnects before the answer."""
    async with gateway_system.running() as system:
        backend = system.backends[0]
        backend.scripts.append(b"")
        sending = asyncio.create_task(system.send("/draft/x"))
        await backend.wait_for_request()
        sending.cancel()
        async with asyncio.timeout(0.5):
            await backend.wait_until_closed()
        await asyncio.sleep(0.05)
        assert system.gateway.accounts.used() == {"press": 100}


async def test_late_request_at_a_stop_is_refused_as_not_run() -> None:
    """A request that arrives late in a stop must not be lost without an answer.

    It is refused as not run, so that the caller can send it to another router.
    """
    async with gateway_system.running(grace_s=6.0) as system:
        backend = system.backends[0]
        backend.scripts.append(_HEAD + _EVENT)
        resp = await system.send("/draft/x", X_Deadline_Ms="9000")
        stopping = asyncio.create_task(system.gateway.stop())
        # New requests are accepted for less than 3 s.
        await asyncio.sleep(3.3)
        late = await system.send("/order/x", method="POST")
        await backend.send_more(b"0\r\n\r\n")
        assert await resp.text() == "id: 0\ndata\n\n"
        await stopping
    assert late.status == 503
    assert "Retry-After" in late.headers
    assert late.headers["Connection"] == "close"
    assert len(system.request_heads) == 1


async def test_failed_background_task_ended_requests_in_progress(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They are finished, others are refused, and then the process ends."""
    exits: list[int] = []
    monkeypatch.setattr(os, "_exit", exits.append)

    async def fail() -> None:
        raise RuntimeError("failure of a task")

    async with gateway_system.running(grace_s=6.0) as system:
        failed = asyncio.Event()
        system.gateway.tasks.on_failure = failed.set
        backend = system.backends[0]
        backend.scripts.append(_HEAD + _EVENT)
        resp = await system.send("/draft/x", X_Deadline_Ms="9000")
        system.gateway.tasks.spawn(fail())
        async with asyncio.timeout(1.0):
            await failed.wait()
        stopping = asyncio.create_task(system.gateway.stop())
        await asyncio.sleep(0.1)
        late = await system.send("/order/x", method="POST")
        await backend.send_more(b"0\r\n\r\n")
        assert await resp.text() == "id: 0\ndata\n\n"
        async with asyncio.timeout(2.0):
            await stopping
    assert late.status == 503
    assert late.headers["Connection"] == "close"
    assert len(system.request_heads) == 1
    assert exits == []


async def test_failed_background_task_ends_the_process_after_the_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The failure may keep the process from stopping in order."""
    exits: list[int] = []
    monkeypatch.setattr(os, "_exit", exits.append)

    async def fail() -> None:
        raise RuntimeError("failure of a task")

    tasks = background_tasks.BackgroundTasks(0.2)
    tasks.spawn(fail())
    await asyncio.sleep(0.1)
    assert tasks.has_failed
    assert exits == []
    await asyncio.sleep(0.2)
    assert exits == [background_tasks.EXIT_FAILED]


async def test_store_outage_is_bridged_by_a_peer() -> None:
    """A router with too few tokens must serve requests while the store is down.

    It borrows from a peer, and both together must not use more than is prepaid.
    """
    async with (
        gateway_system.running(prepaid=10_000) as first,
        gateway_system.running(store=first.store, name="router-2") as second,
    ):
        await first.wait_until(
            lambda: first.gateway.accounts.available("press") > 500
        )
        await second.wait_until(lambda: second.gateway._fleet.size == 2)
        first.store.is_down = True
        have = second.gateway.accounts.available("press")
        for backend in (*first.backends, *second.backends):
            backend.scripts.append(_HEAD + _EVENT + b"0\r\n\r\n")
        resp = await second.send("/draft/x", tokens=f"{have + 300},10")
        assert resp.status == 200
        await resp.read()
        await asyncio.sleep(0.05)
        used = first.gateway.accounts.used().get("press", 0)
        assert used + second.gateway.accounts.used()["press"] <= 10_000
        first.store.is_down = False


async def test_settings_are_reloaded_when_the_file_changes(
    tmp_path: pathlib.Path,
) -> None:
    """Invalid settings must not replace the old ones; valid ones must."""
    path = tmp_path / "gateway.yaml"
    text = """
process: {name: router-1}
listen: {callers: "h:1", ready: "h:2", metrics: "h:3", peers: "h:4"}
store: "h:5"
"""
    path.write_text(text)
    loaded: list[settings_lib.GatewaySettings] = []
    watch = settings_watch.SettingsWatch(str(path), loaded.append)
    path.write_text(text + "grace_s: never\n")
    watch.load_now()
    assert loaded == []
    path.write_text(text + "grace_s: 5\n")
    watch.load_now()
    assert [cfg.grace_s for cfg in loaded] == [5.0]


@pytest.mark.parametrize("field", ["grace_s", "contact_ms"])
async def test_reload_keeps_identity(field: str) -> None:
    """A reload must not change the identity or the listeners of the process."""
    async with gateway_system.running() as system:
        process = system.gateway.process
        system.gateway.reload(attrs.evolve(system.cfg, **{field: 700.0}))
        assert system.gateway.process == process
        system.backends[0].scripts.append(scripted_backend.answer())
        resp = await system.send("/status/x")
        assert resp.status == 200
        system.gateway.reload(system.cfg)


def _drawn(store: memory_store.MemoryStore) -> tuple[int, int]:
    """Returns the total of the workspace and the sum of all routers' draws."""
    total = store_record.decode_workspace(store.items["prepaid/press"].value)
    records = [
        store_record.decode_router(item.value)
        for key, item in store.items.items()
        if key.startswith(store_record.ROUTER_PREFIX)
    ]
    return total.drawn, sum(r.drawn.get("press", 0) for r in records)


async def test_next_start_takes_over_tokens_of_a_killed_router() -> None:
    """Tokens drawn by a killed router must not be lost, nor be used twice.

    Its next start takes over the tokens beyond the limits of the last record.
    """
    async with gateway_system.running(name="router-2") as peer:
        store = peer.store
        async with gateway_system.running(store=store) as first:
            await first.wait_until(
                lambda: (
                    first.gateway.accounts.remaining("press")
                    > first.gateway.accounts.available("press")
                    > 0
                )
            )
            await first.wait_until(lambda: first.gateway._fleet.size == 2)
            await first.crash()
        key = store_record.router_key(first.gateway.process)
        record = store_record.decode_router(store.items[key].value)
        async with gateway_system.running(store=store) as again:
            await again.wait_until(
                lambda: again.gateway.accounts.remaining("press") > 0
            )
            total, drawn = _drawn(store)
            # Tokens below the limits count as used.
            assert total - drawn == record.limits["press"]
            assert record.limits["press"] < record.drawn["press"]
