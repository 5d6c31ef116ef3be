"""Tests of answers that make no progress."""

import asyncio
import math
import time

import aiohttp
import attrs
import pytest

from hibiscuspass.core.forwarding import progress
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import watched_send
from hibiscuspass.platform import operator_config
from tests import gateway_system
from tests import scripted_backend
from tests import test_gateway_forwarding as forwarding

_STREAM = route_lib.Route(
    "ask",
    "h",
    "/ask/",
    route_lib.RequestKind.STREAMING,
    timeout_s=12.0,
    target_latency_s=0.4,
    priority=0,
    shares=(route_lib.ServiceShare("llm", 1.0),),
    resumable=True,
    max_pause_s=0.4,
)
_PLAIN = attrs.evolve(
    _STREAM,
    kind=route_lib.RequestKind.IDEMPOTENT,
    target_latency_s=0.12,
    max_pause_s=0.0,
)


def _config(**route: object) -> bytes:
    return gateway_system.config(10_000, version=2, **route)


def test_slow_but_sound_streams_are_not_given_up() -> None:
    """A stream with an event every 0.9 s makes progress."""
    watch = progress.ProgressWatch(_STREAM, expected_s=0.3, sent_s=0.0)
    for number in range(100):
        now_s = 1.0 + 0.9 * number
        assert now_s < watch.deadline_s
        watch.on_event(now_s)


def test_delay_of_the_router_is_no_silence_of_its_servers() -> None:
    """Events may arrive late by the time for which the router was suspended."""
    watch = progress.ProgressWatch(_STREAM, expected_s=0.3, sent_s=0.0)
    watch.on_event(1.0)
    now_s = watch.deadline_s + 0.7
    assert not watch.has_stopped(now_s)
    assert watch.deadline_s == pytest.approx(now_s + 0.7)
    # A router that is always late gives up a silent server all the same.
    assert watch.has_stopped(watch.deadline_s + 0.7)
    watch.on_event(10.0)
    assert not watch.has_stopped(watch.deadline_s + 0.7)


def test_silence_is_noticed_in_time_by_a_router_without_delay() -> None:
    """Small delays of timers must not keep a request at a silent server."""
    watch = progress.ProgressWatch(_STREAM, expected_s=0.3, sent_s=0.0)
    assert watch.has_stopped(watch.deadline_s + 0.02)


def test_expected_wait_extends_the_limit() -> None:
    """Under load all engines are late, and another one would be as well."""
    idle = progress.first_event_limit_s(_STREAM, expected_s=0.1)
    busy = progress.first_event_limit_s(_STREAM, expected_s=1.0)
    assert idle < 2.0 < busy


def test_long_pauses_of_a_stream_extend_its_limit() -> None:
    """A slow engine has regular long pauses."""
    assert progress.pause_limit_s(_STREAM, 0.0) < progress.pause_limit_s(
        _STREAM, 1.0
    )


def test_plain_answers_have_short_limits() -> None:
    """A read must reach another server within the time limit of its caller."""
    assert progress.first_event_limit_s(_PLAIN, 0.0) < 0.5


def test_routes_without_a_target_have_no_limit() -> None:
    """Nothing is known of how long their answers take."""
    route = attrs.evolve(_PLAIN, target_latency_s=0.0)
    assert math.isinf(progress.first_event_limit_s(route, 0.0))


async def _retarget(system: gateway_system.System) -> None:
    """Gives the routes target latencies."""
    system.store.apply({}, {operator_config.KEY: _config(
        target_latency_ms=100, gap_aim_ms=50
    )})  # fmt: skip
    table = system.gateway._followers.config
    await system.wait_until(lambda: table.table.version == 2)


async def _send_ask(system: gateway_system.System) -> aiohttp.ClientResponse:
    return await system.send("/ask/x", X_Deadline_Ms="6000")


@pytest.mark.parametrize(
    "stalled",
    [
        b"",
        scripted_backend.answer(headers=forwarding.CHUNKED),
        forwarding.stream(0, 1, end=False),
        forwarding.stream(0, 1, end=False) + b"3\r\n: \n\r\n",
    ],
    ids=["no head", "no event", "stops midway", "comment at the end"],
)
async def test_stalled_stream_goes_on_at_another_server(stalled: bytes) -> None:
    """Requests waited for hanging engines until their time limit."""
    async with gateway_system.running(backends=2) as system:
        await _retarget(system)
        is_started = b"id: 1" in stalled
        rest = (2, 3) if is_started else (0, 1, 2, 3)
        scripts = [stalled, forwarding.stream(*rest)]
        for backend in system.backends:
            backend.scripts = scripts
        start_s = time.monotonic()
        resp = await _send_ask(system)
        text = (await resp.text()).replace(": \n\n", "").replace(": \n", "")
        assert text == forwarding.text(0, 1, 2, 3)
        assert time.monotonic() - start_s < 3.0
    assert len(system.request_heads) == 2


async def test_single_bytes_are_no_progress() -> None:
    """A server that sends a byte now and then must not hold a request."""
    async with gateway_system.running(backends=2) as system:
        await _retarget(system)
        scripts = [forwarding.stream(0, end=False), forwarding.stream(1, 2)]
        for backend in system.backends:
            backend.scripts = scripts
        pending = asyncio.create_task(_send_ask(system))
        slow = await _first_asked(system)
        resp = await pending
        sending = asyncio.create_task(_send_single_bytes(slow))
        assert await resp.text() == forwarding.text(0, 1, 2)
        sending.cancel()
    assert len(system.request_heads) == 2


async def test_stalled_request_that_may_not_repeat_is_not_sent_again() -> None:
    """An order that gets no answer may have run."""
    async with gateway_system.running(backends=2) as system:
        await _retarget(system)
        for backend in system.backends:
            backend.scripts = [b""]
        resp = await system.send("/order/x", method="POST")
        assert resp.status == 504
    assert len(system.request_heads) == 1


async def _first_asked(
    system: gateway_system.System,
) -> scripted_backend.ScriptedBackend:
    await system.wait_until(lambda: bool(system.request_heads))
    return next(b for b in system.backends if b.requests)


async def _send_single_bytes(backend: scripted_backend.ScriptedBackend) -> None:
    while True:
        await backend.send_more(b"1\r\nd\r\n")
        await asyncio.sleep(0.1)


@attrs.define
class _FakeResponse(aiohttp.ClientResponse):
    """Records whether its connection was closed."""

    is_closed: bool = False

    def close(self) -> None:
        self.is_closed = True

    def __del__(self, _warnings: object = None) -> None: ...


async def test_answer_that_crosses_a_cancellation_is_closed() -> None:
    """A server would work on for a caller that has left."""
    answer = _FakeResponse()
    arrived = asyncio.Event()

    async def exchange() -> aiohttp.ClientResponse:
        await arrived.wait()
        return answer

    watch = progress.ProgressWatch(_STREAM, 0.0, time.monotonic())
    sending = asyncio.create_task(
        watched_send.send(exchange(), watch, lambda: False)
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    arrived.set()
    # The answer is there, but `send` has not seen it yet.
    await asyncio.sleep(0)
    sending.cancel()
    with pytest.raises(asyncio.CancelledError):
        await sending
    await asyncio.sleep(0.01)
    assert answer.is_closed
