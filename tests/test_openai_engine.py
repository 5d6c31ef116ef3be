"""Guards engine streams against damage, stalls, duplicates and wrong refusals.

The faults are injected into a stand-in engine.
"""

import asyncio
import itertools

from aiohttp import test_utils
from aiohttp import web
import msgspec
import pytest

from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import openai_engine
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state
from standins import engine as engine_stand_in
from standins import engine_batch
from tests import assertions
from tests import engine_calls

_SHORT_IDLE_S = 0.2
_TOKENS = 8
_SETTINGS = engine_batch.BatchSettings(
    token_interval_s=0.0, output_tokens=_TOKENS, cache_blocks=8
)


@pytest.fixture
async def server(started):
    return await started(
        engine_stand_in.EngineStandIn(settings=_SETTINGS, cache_keepalive_s=0.1)
    )


@pytest.fixture
async def engine(started, server):
    return await started(
        openai_engine.OpenAiEngine(
            "e1", f"http://{server.address}", cache_events_idle_s=_SHORT_IDLE_S
        )
    )


def _assert_complete(items, request_id="r1"):
    assert all(isinstance(i, engine_lib.TokenEvent) for i in items), items[-1]
    assert [i.finished for i in items] == [False] * (len(items) - 1) + [True]
    assert [i.index for i in items] == list(range(len(items)))
    assert items[-1].usage.output_tokens == sum(i.tokens for i in items)
    for item in items:
        assert msgspec.json.decode(item.data)["id"] == request_id


def _assert_interrupted(items, reason, *, tokens_seen=True):
    """Checks that one refusal ends the stream; returns the events before it."""
    refused = assertions.assert_refused(items[-1], reason)
    events = items[:-1]
    assert all(isinstance(i, engine_lib.TokenEvent) for i in events)
    assert not any(i.finished or i.usage for i in events)
    expected = run_state.RunState.UNKNOWN
    if tokens_seen:
        assert any(i.tokens for i in events)
        expected = run_state.RunState.YES
    assert refused.run is expected
    return events


@pytest.mark.parametrize("chat", [True, False])
async def test_a_completion_streams_tokens_and_ends_with_usage(engine, chat):
    items = await engine_calls.run(engine, engine_calls.make_request(chat=chat))
    _assert_complete(items)
    assert sum(i.tokens for i in items) == _TOKENS


async def test_the_output_limit_overrides_the_callers_fields(engine, server):
    items = await engine_calls.run(
        engine,
        engine_calls.make_request(
            output_limit=3,
            body={"max_tokens": 50, "max_completion_tokens": 50, "stream": 0},
        ),
    )
    _assert_complete(items)
    assert items[-1].usage.output_tokens == 3


async def test_tokens_of_a_joined_event_are_all_counted(started):
    server = await started(
        engine_stand_in.EngineStandIn(
            settings=engine_batch.BatchSettings(
                token_interval_s=0.0, output_tokens=7, tokens_per_event=3
            )
        )
    )
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    items = await engine_calls.run(engine)
    _assert_complete(items)
    assert [i.tokens for i in items if i.tokens] == [3, 3, 1]


async def test_an_engine_that_exceeds_the_limit_is_visible_in_the_count(
    engine, server
):
    await server.inject(extra_tokens=5)
    items = await engine_calls.run(
        engine, engine_calls.make_request(output_limit=3)
    )
    assert list(itertools.accumulate(i.tokens for i in items))[-1] == 8


@pytest.mark.parametrize("offset", [0, 3, _TOKENS + 2, _TOKENS + 3])
async def test_a_resume_continues_at_the_event_and_does_not_run_again(
    engine, server, offset
):
    whole = await engine_calls.run(engine)
    rest = await engine_calls.collect(
        engine.resume("r1", offset, idle_timeout_s=engine_calls.TIMEOUT_S)
    )
    if offset == len(whole):
        # Only `[DONE]` remains.
        assert [(i.finished, i.data) for i in rest] == [(True, b"")]
    else:
        assert rest == whole[offset:]
    assert server.record()["runs"]["r1"]["starts"] == 1


async def test_a_resume_after_retention_is_not_found(started):
    now_s = 0.0
    server = await started(
        engine_stand_in.EngineStandIn(
            settings=_SETTINGS, monotonic_s=lambda: now_s
        )
    )
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    await engine_calls.run(engine)
    now_s += _SETTINGS.retention_s
    items = await engine_calls.collect(
        engine.resume("r1", 0, idle_timeout_s=engine_calls.TIMEOUT_S)
    )
    refused = assertions.assert_refused(items[0], reason_lib.Reason.NOT_FOUND)
    assert refused.run is run_state.RunState.UNKNOWN
    # The stand-in must not fill the memory with old events in long test runs.
    assert not server.batch.history["r1"].events
    assert server.record()["runs"]["r1"]["generated"] == _TOKENS


@pytest.mark.parametrize(
    ("fault", "reason", "tokens_seen"),
    [
        ({"truncate_after_events": 4}, "backend_lost", True),
        ({"truncate_after_events": _TOKENS + 3}, "backend_lost", True),
        ({"truncate_after_events": 0}, "backend_lost", False),
        ({"die_after_tokens": 4}, "backend_lost", True),
        ({"repeat_event": 3}, "backend_lost", True),
        ({"skip_event": 3}, "backend_lost", True),
        ({"wrong_request_id": True}, "backend_lost", False),
        ({"lose_replies": 1}, "backend_lost", False),
    ],
    ids=str,
)
async def test_a_damaged_stream_ends_with_a_refusal_and_never_finishes(
    engine, server, fault, reason, tokens_seen
):
    await server.inject(**fault)
    items = await engine_calls.run(engine)
    _assert_interrupted(
        items, reason_lib.Reason(reason), tokens_seen=tokens_seen
    )
    assert server.record()["runs"]["r1"]["starts"] == 1


async def test_events_before_a_gap_are_relayed(engine, server):
    await server.inject(skip_event=3)
    events = _assert_interrupted(
        await engine_calls.run(engine), reason_lib.Reason.BACKEND_LOST
    )
    assert [i.index for i in events] == [0, 1, 2]


@pytest.mark.parametrize(
    "fault", [{"frozen": True}, {"silence_open_connections": True}], ids=str
)
async def test_a_stalled_stream_ends_and_a_resume_completes_it(
    engine, server, fault
):
    server.batch.on_token = lambda run: (
        asyncio.ensure_future(server.inject(**fault))
        if run.generated == 3
        else None
    )
    items = await engine_calls.run(engine, idle_timeout_s=_SHORT_IDLE_S)
    events = _assert_interrupted(items, reason_lib.Reason.BACKEND_TIMEOUT)
    await server.inject(frozen=False)
    rest = await engine_calls.collect(
        engine.resume("r1", len(events), idle_timeout_s=engine_calls.TIMEOUT_S)
    )
    _assert_complete([*events, *rest])
    assert server.record()["runs"]["r1"]["starts"] == 1


async def test_a_refused_connection_means_not_run(engine, server):
    await server.inject(outage="refuse")
    items = await engine_calls.run(engine)
    refused = assertions.assert_refused(
        items[0], reason_lib.Reason.BACKEND_UNREACHABLE
    )
    assert refused.run is run_state.RunState.NO
    assert len(items) == 1
    assert not server.record()["runs"]


async def test_a_resume_never_reports_that_the_request_did_not_run(
    engine, server
):
    await engine_calls.run(engine)
    await engine.close()
    await server.inject(outage="refuse")
    items = await engine_calls.collect(
        engine.resume("r1", 0, idle_timeout_s=engine_calls.TIMEOUT_S)
    )
    refused = assertions.assert_refused(
        items[0], reason_lib.Reason.BACKEND_UNREACHABLE
    )
    assert refused.run is run_state.RunState.UNKNOWN


async def test_a_hanging_engine_leaves_the_outcome_unknown(engine, server):
    await server.inject(outage="hang")
    items = await engine_calls.run(engine, idle_timeout_s=_SHORT_IDLE_S)
    refused = assertions.assert_refused(
        items[0], reason_lib.Reason.BACKEND_TIMEOUT
    )
    assert refused.run is run_state.RunState.UNKNOWN


@pytest.mark.parametrize(
    ("prepare", "req", "reason"),
    [
        ({"drain": True}, engine_calls.make_request(), "backend_refused"),
        ({}, engine_calls.make_request(model="other"), "backend_refused"),
        ({}, engine_calls.make_request(""), "invalid_request"),
    ],
)
async def test_a_refusal_with_proof_means_not_run(
    engine, server, prepare, req, reason
):
    await server.inject(**prepare)
    items = await engine_calls.run(engine, req)
    refused = assertions.assert_refused(items[0], reason_lib.Reason(reason))
    assert refused.run is run_state.RunState.NO
    assert not server.record()["runs"]
    assert server.record()["refused"] == {req.request_id: 1}


async def test_a_full_engine_refuses_and_suggests_a_delay(started):
    server = await started(
        engine_stand_in.EngineStandIn(
            settings=engine_batch.BatchSettings(max_batch=0, max_queue=0)
        )
    )
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    refused = (await engine_calls.run(engine))[0]
    assert refused.run is run_state.RunState.NO
    assert refused.retry_after_s == 1.0


async def test_a_refusal_without_proof_leaves_the_outcome_unknown(
    engine, server
):
    await engine_calls.run(engine)
    # The engine refuses the known id, but does not say that it did not run it.
    items = await engine_calls.run(engine)
    refused = assertions.assert_refused(
        items[0], reason_lib.Reason.BACKEND_LOST
    )
    assert refused.run is run_state.RunState.UNKNOWN
    assert server.record()["runs"]["r1"]["starts"] == 1


async def test_higher_priority_runs_first(started):
    server = await started(
        engine_stand_in.EngineStandIn(
            settings=engine_batch.BatchSettings(
                max_batch=1, token_interval_s=0.0, output_tokens=2
            )
        )
    )
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    await server.inject(frozen=True)
    order = []
    server.batch.on_token = lambda run: order.append(run.priority)
    for priority in (1, 9, 5):
        server.batch.submit(
            str(priority), {"prompt": "x"}, chat=False, priority=priority
        )
    await server.inject(frozen=False)
    items = await engine_calls.run(
        engine, engine_calls.make_request(priority=0)
    )
    _assert_complete(items)
    assert order[2:] == [9, 9, 5, 5, 1, 1, 0, 0][2:]


async def test_one_request_per_connection_at_a_time(engine, server):
    ids = [f"request-{i}" for i in range(20)]
    streams = await asyncio.gather(
        *(engine_calls.run(engine, engine_calls.make_request(i)) for i in ids)
    )
    for request_id, items in zip(ids, streams, strict=True):
        _assert_complete(items, request_id)


async def test_the_connection_of_a_finished_stream_is_reused(engine, server):
    for number in range(5):
        _assert_complete(
            await engine_calls.run(
                engine, engine_calls.make_request(f"r{number}")
            ),
            f"r{number}",
        )
    assert len(server._protocols()) == 1


async def test_an_abandoned_stream_closes_its_connection_and_keeps_running(
    engine, server
):
    stream = engine.complete(
        engine_calls.make_request(), idle_timeout_s=engine_calls.TIMEOUT_S
    )
    await anext(stream)
    await stream.aclose()
    items = await engine_calls.collect(
        engine.resume("r1", 0, idle_timeout_s=engine_calls.TIMEOUT_S)
    )
    _assert_complete(items)


async def test_a_cancelled_request_ends_with_usage(engine, server):
    server.batch.on_token = lambda run: (
        server.batch.cancel("r1") if run.generated == 3 else None
    )
    items = await engine_calls.run(engine)
    _assert_complete(items)
    assert items[-1].usage.output_tokens == 3
    assert await engine.cancel("r1", timeout_s=engine_calls.TIMEOUT_S) is None
    assert (
        await engine.cancel("never seen", timeout_s=engine_calls.TIMEOUT_S)
        is None
    )


async def test_a_slow_reader_does_not_cause_an_idle_timeout(started):
    # The first answer must arrive within the timeout on a busy machine too.
    idle_timeout_s = 1.0
    server = await started(
        engine_stand_in.EngineStandIn(
            settings=engine_batch.BatchSettings(
                token_interval_s=0.01, output_tokens=_TOKENS
            )
        )
    )
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    stream = engine.complete(
        engine_calls.make_request(), idle_timeout_s=idle_timeout_s
    )
    items = [await anext(stream)]
    # A slow caller delays the next read for longer than the idle timeout.
    await asyncio.sleep(3 * idle_timeout_s)
    _assert_complete([*items, *await engine_calls.collect(stream)])


async def test_a_refused_resume_does_not_mean_that_the_request_did_not_run(
    started,
):
    async def refuse(request):
        return web.Response(status=503, headers={"X-Not-Run": "1"})

    app = web.Application()
    app.router.add_get("/v1/requests/r1/stream", refuse)
    server = test_utils.TestServer(app)
    await server.start_server()
    engine = await started(
        openai_engine.OpenAiEngine("e1", str(server.make_url("")))
    )
    (refused,) = await engine_calls.collect(
        engine.resume("r1", 0, idle_timeout_s=engine_calls.TIMEOUT_S)
    )
    assert refused.run is run_state.RunState.UNKNOWN
    await server.close()
