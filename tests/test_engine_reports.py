"""Guards load reports, cache events and orders against engine faults."""

import asyncio
import itertools

import pytest

from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import openai_engine
from hibiscuspass.backends import prompt_blocks
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from standins import engine as engine_stand_in
from standins import engine_batch
from standins import prefix_cache
from tests import assertions
from tests import engine_calls

# Ten times the interval of the keep-alive comments, so that a pause of the
# machine is not taken for silence.
_IDLE_TIMEOUT_S = 1.0
# Long enough to connect on a busy machine, so that a call fails only because
# of the injected fault.
_SHORT_CALL_S = 1.0
_SETTINGS = engine_batch.BatchSettings(token_interval_s=0.0, cache_blocks=8)


@pytest.fixture
async def server(started):
    return await started(
        engine_stand_in.EngineStandIn(settings=_SETTINGS, cache_keepalive_s=0.1)
    )


@pytest.fixture
async def engine(started, server):
    return await started(
        openai_engine.OpenAiEngine(
            "e1",
            f"http://{server.address}",
            cache_events_idle_s=_IDLE_TIMEOUT_S,
        )
    )


async def test_the_load_report_contains_models_and_draining(engine, server):
    report = await engine.load_report(timeout_s=engine_calls.TIMEOUT_S)
    assert (report.engine, report.models) == ("e1", ("model-a",))
    assert not report.draining
    await server.inject(drain=True)
    assert (await engine.load_report(timeout_s=engine_calls.TIMEOUT_S)).draining


async def test_a_late_load_report_carries_the_time_of_its_measurement(started):
    now_s = 1000.0
    server = await started(engine_stand_in.EngineStandIn(wall_s=lambda: now_s))
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    await engine.load_report(timeout_s=engine_calls.TIMEOUT_S)
    await server.inject(load_lag_s=30.0)
    now_s = 1030.0
    assert (
        await engine.load_report(timeout_s=engine_calls.TIMEOUT_S)
    ).measured_at_s == 1000.0


async def test_cache_events_contain_blocks_and_reveal_lost_events(
    engine, server
):
    text = "x" * (3 * prompt_blocks.BLOCK_BYTES)
    hashes = prompt_blocks.block_hashes(text.encode())
    assert len(hashes) == 3
    events = engine.cache_events()
    pending = asyncio.create_task(anext(events))
    # The stream starts with the next event, so requests are repeated until an
    # event arrives.
    for number in itertools.count():
        await engine_calls.run(
            engine,
            engine_calls.make_request(
                f"r{number}", chat=False, prompt=f"{number}{text}"
            ),
        )
        done, _ = await asyncio.wait([pending], timeout=0.01)
        if done:
            break
    first = pending.result()
    assert first.stored
    await server.inject(drop_cache_events=1)
    last = server.batch.cache.sequence
    for prompt in ("a" + text, text):
        await engine_calls.run(
            engine,
            engine_calls.make_request(
                f"last{prompt[0]}", chat=False, prompt=prompt
            ),
        )
    async for event in events:
        if event.sequence >= last + 2:
            break
    assert event.sequence == last + 2
    assert event.stored == hashes
    await events.aclose()


async def test_a_late_cache_event_arrives_with_its_own_number(started):
    now_s = 0.0
    server = await started(
        engine_stand_in.EngineStandIn(
            settings=_SETTINGS, monotonic_s=lambda: now_s
        )
    )
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    await server.inject(cache_event_delay_s=30.0)
    text = "z" * prompt_blocks.BLOCK_BYTES
    await engine_calls.run(
        engine, engine_calls.make_request(chat=False, prompt=text)
    )
    events = engine.cache_events()
    pending = asyncio.create_task(anext(events))
    done, _ = await asyncio.wait([pending], timeout=_IDLE_TIMEOUT_S)
    assert not done
    now_s = 30.0
    async with asyncio.timeout(engine_calls.TIMEOUT_S):
        event = await pending
    assert event.sequence == server.batch.cache.sequence == 1
    assert event.stored == prompt_blocks.block_hashes(text.encode())
    await events.aclose()


@pytest.mark.parametrize(
    "fault",
    [{"silence_open_connections": True}, {"frozen": True}, {"die": True}],
    ids=str,
)
async def test_a_lost_cache_event_stream_ends(engine, server, fault):
    events = engine.cache_events()
    pending = asyncio.create_task(anext(events, None))
    # Keep-alive comments prevent an idle timeout of a healthy stream.
    done, _ = await asyncio.wait([pending], timeout=_IDLE_TIMEOUT_S * 2)
    assert not done
    await server.inject(**fault)
    assert await asyncio.wait_for(pending, engine_calls.TIMEOUT_S) is None


def test_the_stand_in_hashes_blocks_as_the_adapter_does():
    body = {"messages": [{"role": "user", "content": "y" * 2000}]}
    prompt = prompt_blocks.prompt_bytes(body)
    assert prompt == prefix_cache.prompt_bytes(body)
    assert list(prompt_blocks.block_hashes(prompt)) == (
        prefix_cache.block_hashes(prompt)
    )


def _order(fence, generation, role="serve"):
    return engine_lib.Order(
        fence, generation, {"model-b": "2"}, ("adapter-a",), role
    )


async def test_an_order_is_carried_out_and_reported(engine):
    assert (
        await engine.send_order(_order(5, 1), timeout_s=engine_calls.TIMEOUT_S)
        is None
    )
    state = await engine.state(timeout_s=engine_calls.TIMEOUT_S)
    assert state == engine_lib.EngineState(
        5, 1, {"model-b": "2"}, ("adapter-a",), "serve"
    )
    report = await engine.load_report(timeout_s=engine_calls.TIMEOUT_S)
    assert (report.models, report.adapters) == (("model-b",), ("adapter-a",))


@pytest.mark.parametrize("ignore", [False, True])
async def test_an_outdated_order_is_refused_unless_tokens_are_ignored(
    engine, server, ignore
):
    await server.inject(ignore_fence=ignore)
    await engine.send_order(_order(5, 1), timeout_s=engine_calls.TIMEOUT_S)
    outcome = await engine.send_order(
        _order(4, 9, "drain"), timeout_s=engine_calls.TIMEOUT_S
    )
    state = await engine.state(timeout_s=engine_calls.TIMEOUT_S)
    if ignore:
        assert outcome is None
        assert state.fence == 4
    else:
        assertions.assert_refused(outcome, reason_lib.Reason.STALE)
        assert state.fence == 5


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        ({"outage": "refuse"}, reason_lib.Reason.UNAVAILABLE),
        ({"outage": "hang"}, reason_lib.Reason.TIMEOUT),
        ({"lose_replies": 1}, reason_lib.Reason.TIMEOUT),
        ({"lose_replies": 1, "lost_reply": "hang"}, reason_lib.Reason.TIMEOUT),
    ],
    ids=str,
)
async def test_failed_calls_are_refused_with_the_matching_reason(
    engine, server, fault, reason
):
    for call in (
        lambda: engine.load_report(timeout_s=_SHORT_CALL_S),
        lambda: engine.state(timeout_s=_SHORT_CALL_S),
        lambda: engine.cancel("r1", timeout_s=_SHORT_CALL_S),
        lambda: engine.send_order(_order(1, 1), timeout_s=_SHORT_CALL_S),
    ):
        await server.inject(**fault)
        outcome = await call()
        assert isinstance(outcome, refusal.Refusal)
        assertions.assert_refused(outcome, reason)
