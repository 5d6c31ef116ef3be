"""Guards what a cancelled engine stream leaves behind."""

import asyncio

import pytest

from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import openai_engine
from standins import engine as engine_stand_in
from standins import engine_batch
from tests import engine_calls

_SILENCE_S = 0.2
_SETTINGS = engine_batch.BatchSettings(token_interval_s=0.0, output_tokens=8)


@pytest.fixture
async def server(started):
    return await started(engine_stand_in.EngineStandIn(settings=_SETTINGS))


@pytest.fixture
async def engine(started, server):
    return await started(openai_engine.make_openai_engine("e1", server.address))


def _assert_complete(items):
    assert all(isinstance(i, engine_lib.TokenEvent) for i in items), items[-1]
    assert [i.index for i in items] == list(range(len(items)))
    assert items[-1].finished


async def _cancel_while_silent(stream, silence):
    """Reads until `silence` is set, then cancels the wait for an event."""
    items = []

    async def read():
        async for item in stream:
            items.append(item)

    task = asyncio.create_task(read())
    async with asyncio.timeout(engine_calls.TIMEOUT_S):
        await silence.wait()
    # Events that were sent before the silence arrive first.
    await asyncio.sleep(_SILENCE_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await stream.aclose()
    assert task.cancelled()
    return items


async def test_a_cancelled_stream_gives_up_idle_connections(engine, server):
    """Guards a resume after the router's own silence limit.

    Connections that idled next to the silent one may be silent as well.
    """
    await asyncio.gather(
        *(
            engine_calls.run(engine, engine_calls.make_request(f"idle-{i}"))
            for i in range(4)
        )
    )
    assert len(server._protocols()) > 1
    silence = asyncio.Event()

    async def go_silent():
        await server.inject(silence_open_connections=True)
        silence.set()

    server.batch.on_token = lambda run: (
        asyncio.ensure_future(go_silent()) if run.generated == 3 else None
    )
    events = await _cancel_while_silent(
        engine.complete(
            engine_calls.make_request(), idle_timeout_s=engine_calls.TIMEOUT_S
        ),
        silence,
    )
    rest = await engine_calls.collect(
        engine.resume("r1", len(events), idle_timeout_s=_SILENCE_S)
    )
    _assert_complete([*events, *rest])
    assert server.record()["runs"]["r1"]["starts"] == 1


async def test_a_cancelled_stream_leaves_other_streams_open(started):
    """Guards callers of the same engine against one caller that leaves."""
    server = await started(
        engine_stand_in.EngineStandIn(
            settings=engine_batch.BatchSettings(
                token_interval_s=0.02, output_tokens=8
            )
        )
    )
    engine = await started(
        openai_engine.make_openai_engine("e1", server.address)
    )
    other = engine.complete(
        engine_calls.make_request("other"),
        idle_timeout_s=engine_calls.TIMEOUT_S,
    )
    items = [await anext(other)]
    cancelled = engine.complete(
        engine_calls.make_request("cancelled"),
        idle_timeout_s=engine_calls.TIMEOUT_S,
    )
    await anext(cancelled)
    waiting = asyncio.create_task(engine_calls.collect(cancelled))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert waiting.cancelled()
    _assert_complete([*items, *await engine_calls.collect(other)])
