"""Tests of requests that are sent while the event loop is late."""

import asyncio
import time

import pytest

from hibiscuspass.core.prepaid import workspace_usage
from hibiscuspass.gateway import upstream_protocol
from tests import gateway_system
from tests import scripted_backend

_REQUESTS = 6
# Longer than a third of the time that the requests have.
_STALL_S = 0.6


async def test_connection_that_was_set_up_during_a_stall_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers got 503 after a pause of their router, also with idle servers.

    The kernel had set up the connections, but their time limit was over when
    the event loop went on.
    """
    make_socket = upstream_protocol.sockets.make_socket
    opened = []

    def make_socket_before_stall(addr_info):
        opened.append(addr_info)
        if len(opened) == 1:
            asyncio.get_running_loop().call_soon(time.sleep, _STALL_S)
        return make_socket(addr_info)

    monkeypatch.setattr(
        upstream_protocol.sockets, "make_socket", make_socket_before_stall
    )
    async with gateway_system.running() as system:
        system.backends[0].scripts = [
            scripted_backend.answer() for _ in range(_REQUESTS)
        ]
        answers = await asyncio.gather(
            *(system.send(f"/status/{n}") for n in range(_REQUESTS))
        )
        assert [a.status for a in answers] == [200] * _REQUESTS
        assert opened


async def test_tokens_that_were_drawn_before_a_stall_are_used() -> None:
    """Callers got 503 (budget) after a pause of their router.

    The time limit of the search was over when the event loop went on.
    """
    async with gateway_system.running() as system:
        prepaid = system.gateway._prepaid
        assert prepaid
        lock = prepaid._searches.setdefault("press", asyncio.Lock())
        async with lock:
            deadline_s = time.monotonic() + 0.2
            hold = asyncio.create_task(
                prepaid.hold_tokens("press", 150, 0, deadline_s)
            )
            await asyncio.sleep(0)
            assert await prepaid._draw_for("press", 150)
            asyncio.get_running_loop().call_soon(time.sleep, 0.3)
            await asyncio.sleep(0)
            # The lock is released in the turn in which the time ends.
            await asyncio.sleep(0)
        assert isinstance(await hold, workspace_usage.Hold)
