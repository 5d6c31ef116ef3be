"""Guards against effects of a cancelled engine stream on other streams."""

import asyncio

import pytest

from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import openai_engine
from standins import engine as engine_stand_in
from standins import engine_batch
from tests import engine_calls

_SHORT_TIMEOUT_S = 0.2
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


async def _cancel_when_stalled(stream, stalled):
    """Reads until `stalled` is set, then cancels the read.

    Returns:
      The items read before the cancellation.
    """
    items = []

    async def read():
        async for item in stream:
            items.append(item)

    task = asyncio.create_task(read())
    async with asyncio.timeout(engine_calls.TIMEOUT_S):
        await stalled.wait()
    # Events that were sent before the fault still arrive.
    await asyncio.sleep(_SHORT_TIMEOUT_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await stream.aclose()
    assert task.cancelled()
    return items


async def test_a_cancelled_stream_retires_idle_connections(engine, server):
    """Guards against a resume on a connection that no longer responds.

    The router cancels a stream after its own idle timeout. The idle
    connections to the same engine may have stopped responding as well.
    """
    await asyncio.gather(
        *(
            engine_calls.run(engine, engine_calls.make_request(f"idle-{i}"))
            for i in range(4)
        )
    )
    assert len(server._protocols()) > 1
    stalled = asyncio.Event()

    async def stall():
        await server.inject(silence_open_connections=True)
        stalled.set()

    server.batch.on_token = lambda run: (
        asyncio.ensure_future(stall()) if run.generated == 3 else None
    )
    events = await _cancel_when_stalled(
        engine.complete(
            engine_calls.make_request(), idle_timeout_s=engine_calls.TIMEOUT_S
        ),
        stalled,
    )
    rest = await engine_calls.collect(
        engine.resume("r1", len(events), idle_timeout_s=_SHORT_TIMEOUT_S)
    )
    _assert_complete([*events, *rest])
    assert server.record()["runs"]["r1"]["starts"] == 1


async def test_a_cancelled_stream_leaves_other_streams_open(started):
    """Guards against a cancellation that ends the streams of other callers.

    Retiring the idle connections must not close connections in use.
    """
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
