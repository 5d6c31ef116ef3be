"""Tests completions with lost or silent engines, limits and lost callers."""

import asyncio

import attrs
import msgspec
import pytest
import pytest_asyncio

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.router import limits
from tests import backend_fakes
from tests import router_fakes as fakes

_LIMITS = limits.Limits(first_event_s=0.05, min_idle_s=0.05, max_idle_s=0.05)
_COUNTED = permit_lib.CostKind.COUNTED


@pytest_asyncio.fixture
async def router():
    started = await fakes.start_router(_LIMITS)
    yield started
    await started.close()


def _payloads(text: str) -> list[str]:
    return [part for part in text.split("\n\n") if part]


def _content(text: str) -> str:
    chunks = [
        msgspec.json.decode(part.removeprefix("data: "))
        for part in _payloads(text)
        if part.startswith("data: {")
    ]
    return "".join(
        choice["delta"].get("content", "")
        for chunk in chunks
        for choice in chunk["choices"]
    )


def _assert_complete(text: str, content: str) -> None:
    assert _content(text) == content
    assert _payloads(text)[-1] == "data: [DONE]"


@pytest.mark.parametrize(
    "end",
    [backend_fakes.connection_lost_refusal(), backend_fakes.HANG],
    ids=str,
)
async def test_cut_or_silent_stream_is_resumed_under_one_permit(router, end):
    first = router.engines["e1"]
    first.completions = [
        [*backend_fakes.complete_stream("a", "b", "c")[:2], end]
    ]
    first.resumes = [backend_fakes.complete_stream("a", "b", "c")[2:]]
    async with router.chat(stream=True) as resp:
        _assert_complete(await resp.text(), "abc")
    assert [call[0] for call in first.calls] == ["complete", "resume"]
    assert first.calls[1] == ("resume", 2)
    assert len(router.budget.requests) == 1
    assert router.budget.settlements == [(6, permit_lib.CostKind.REPORTED)]


async def test_repeated_events_are_dropped_and_gaps_resumed(router):
    full = backend_fakes.complete_stream("a", "b", "c")
    first = router.engines["e1"]
    first.completions = [[full[0], full[0], full[2]]]
    first.resumes = [full[1:]]
    async with router.chat(stream=True) as resp:
        _assert_complete(await resp.text(), "abc")


async def test_lost_engine_ends_a_begun_stream_with_an_error_event(router):
    """Guards against mixing the texts of two engines and a false `[DONE]`.

    The caller has received events when the engine loses the request, so that
    no other engine can continue the stream.
    """
    first = router.engines["e1"]
    first.completions = [
        [
            *backend_fakes.complete_stream("a")[:1],
            backend_fakes.connection_lost_refusal(),
        ]
    ]
    first.resumes = [[refusal.Refusal(reason.Reason.NOT_FOUND)]]
    async with router.chat(stream=True) as resp:
        text = await resp.text()
    assert "[DONE]" not in text
    last = _payloads(text)[-1]
    assert last.startswith("event: error\ndata: ")
    error = msgspec.json.decode(last.split("data: ")[1])["error"]
    assert (error["code"], error["run"]) == ("backend_lost", "yes")
    assert not router.engines["e2"].calls
    hold = router.budget.requests[0].worst_case
    assert router.budget.settlements == [(hold - 100 + 1, _COUNTED)]


@pytest.mark.parametrize("stream", [False, True])
async def test_lost_engine_is_replaced_before_the_first_event(router, stream):
    router.engines["e1"].completions = [
        [backend_fakes.connection_lost_refusal()]
    ]
    router.engines["e1"].resumes = [[refusal.Refusal(reason.Reason.NOT_FOUND)]]
    router.engines["e1"].completions.append(backend_fakes.complete_stream("z"))
    async with router.chat(stream=stream) as resp:
        assert "z" in await resp.text()
    assert router.budget.used_backends == ["e1", "e1"]
    assert len(router.budget.settlements) == 1


async def test_unstreamed_answer_is_restarted_on_another_engine(router):
    """Guards against an answer that joins the texts of two engines."""
    first = router.engines["e1"]
    first.completions = [
        [
            *backend_fakes.complete_stream("a", "b")[:2],
            backend_fakes.connection_lost_refusal(),
        ]
    ]
    first.resumes = [[backend_fakes.unreachable_refusal()] for _ in range(4)]
    router.engines["e2"].completions = [backend_fakes.complete_stream("x", "y")]
    async with router.chat() as resp:
        body = await resp.json()
    assert body["choices"][0]["message"]["content"] == "xy"
    assert len(router.budget.settlements) == 1


async def test_refused_dispatch_moves_to_the_next_engine(router):
    router.engines["e1"].completions = [[backend_fakes.unreachable_refusal()]]
    router.engines["e2"].completions = [backend_fakes.complete_stream("x")]
    async with router.chat() as resp:
        assert resp.status == 200
    assert router.budget.used_backends == ["e1", "e2"]
    assert router.routing.finished == [False, True]


async def test_refusals_by_all_engines_are_not_run_and_free(router):
    for engine in router.engines.values():
        engine.completions = [[backend_fakes.unreachable_refusal()]]
    async with router.chat() as resp:
        error = (await resp.json())["error"]
    assert error["run"] == "no"
    assert router.budget.settlements == [(0, _COUNTED)]


async def test_spent_retry_budget_stops_retries(router):
    router.retries.retries_left = 0
    router.engines["e1"].completions = [[backend_fakes.unreachable_refusal()]]
    async with router.chat() as resp:
        error = (await resp.json())["error"]
    assert (error["code"], error["run"]) == ("backend_unreachable", "no")
    assert not router.engines["e2"].calls


async def test_output_limit_is_enforced_on_the_stream(router):
    """Guards against costs above the hold if an engine ignores `max_tokens`."""
    first = router.engines["e1"]
    first.completions = [backend_fakes.complete_stream(*"abcdef")]
    async with router.chat(stream=True, max_tokens=3) as resp:
        text = await resp.text()
    _assert_complete(text, "abc")
    assert '"finish_reason":"length"' in text
    hold = router.budget.requests[0].worst_case
    assert router.budget.settlements == [(hold, _COUNTED)]
    await router.lifecycle.finish(timeout_s=5, cut_s=0)
    assert first.cancelled == [router.budget.requests[0].request_id]


async def _leave_mid_stream(router, key: str) -> None:
    resp = await router.chat(stream=True, key=key)
    await resp.content.readuntil(b"\n\n")
    await router.engines["e1"].hanging.wait()
    resp.close()
    await router.budget.settlement_recorded.wait()


async def test_lost_caller_stops_the_engine_and_pays_counted_tokens(router):
    first = router.engines["e1"]
    first.completions = [
        [*backend_fakes.complete_stream("a")[:1], backend_fakes.HANG]
    ]
    first.resumes = [[backend_fakes.HANG] for _ in range(9)]
    await _leave_mid_stream(router, "")
    hold = router.budget.requests[0].worst_case
    assert router.budget.settlements == [(hold - 100 + 1, _COUNTED)]
    await router.lifecycle.finish(timeout_s=5, cut_s=0)
    assert first.cancelled
    assert not router.admission.admitted_ids


async def test_keyed_request_continues_without_its_caller(router):
    """Guards against retries that attach to a cancelled request."""
    first = router.engines["e1"]
    first.completions = [
        [*backend_fakes.complete_stream("a", "b")[:1], backend_fakes.HANG]
    ]
    first.resumes = [backend_fakes.complete_stream("a", "b")[1:]]
    await _leave_mid_stream(router, "k")
    assert router.budget.settlements == [(5, permit_lib.CostKind.REPORTED)]
    assert not first.cancelled


@pytest.mark.parametrize("settled", [False, True])
async def test_attach_resumes_from_the_start_and_settles_nothing(
    router, settled
):
    router.budget.reply = lambda req: permit_lib.Attach(
        req.request_id, "e2", settled
    )
    router.engines["e2"].resumes = [backend_fakes.complete_stream("a", "b")]
    async with router.chat(stream=True, key="k") as resp:
        _assert_complete(await resp.text(), "ab")
    assert router.engines["e2"].calls == [("resume", 0)]
    assert not router.budget.settlements


@pytest.mark.parametrize(
    ("settled", "code", "run"),
    [
        (False, "in_progress", "unknown"),
        (True, "already_completed", "yes"),
    ],
)
@pytest.mark.parametrize("backend", ["", "e1", "gone"])
async def test_attach_never_runs_again(router, settled, code, run, backend):
    router.budget.reply = lambda req: permit_lib.Attach(
        req.request_id, backend, settled
    )
    router.engines["e1"].resumes = [[refusal.Refusal(reason.Reason.NOT_FOUND)]]
    async with router.chat(key="k") as resp:
        error = (await resp.json())["error"]
    assert (resp.status, error["code"], error["run"]) == (409, code, run)
    for engine in router.engines.values():
        assert all(call[0] == "resume" for call in engine.calls)
    assert not router.budget.settlements


async def test_model_without_prices_runs_without_a_permit(router):
    models = router.parts.models
    models["m"] = attrs.evolve(models["m"], prompt_price=0, output_price=0)
    router.engines["e1"].completions = [backend_fakes.complete_stream("a")]
    async with router.chat(key="k") as resp:
        assert resp.status == 200
    assert not router.budget.requests
    assert not router.budget.settlements


async def test_taken_over_permit_resumes_at_its_backend(router):
    router.budget.reply = lambda req: fakes.permit(req, "e2")
    router.engines["e2"].resumes = [backend_fakes.complete_stream("a")]
    async with router.chat(key="k") as resp:
        assert resp.status == 200
    assert router.engines["e2"].calls == [("resume", 0)]
    assert router.budget.used_backends == ["e2"]
    assert router.budget.settlements == [(4, permit_lib.CostKind.REPORTED)]


async def test_shutdown_bound_cuts_a_stream_with_an_error_event(router):
    first = router.engines["e1"]
    first.completions = [
        [*backend_fakes.complete_stream("a")[:1], backend_fakes.HANG]
    ]
    first.resumes = [[backend_fakes.HANG] for _ in range(9)]
    resp = await router.chat(stream=True)
    await resp.content.readuntil(b"\n\n")
    router.lifecycle.begin_stop()
    assert not await router.lifecycle.finish(timeout_s=0, cut_s=5)
    text = await resp.text()
    assert "[DONE]" not in text
    assert '"code":"shutting_down"' in text
    assert '"run":"yes"' in text
    assert len(router.budget.settlements) == 1


async def test_missing_first_event_is_reported_as_run_unknown(router):
    for engine in router.engines.values():
        engine.completions = [[backend_fakes.HANG]]
        engine.resumes = [[backend_fakes.HANG] for _ in range(9)]
    async with router.chat() as resp:
        error = (await resp.json())["error"]
    assert error["run"] == "unknown"
    assert len(router.budget.settlements) == 1
    assert router.budget.settlements[0][0] > 0


async def test_concurrent_streams_are_not_mixed(router):
    async def one(n: int) -> None:
        async with router.chat(stream=True) as resp:
            text = await resp.text()
        contents.append(_content(text))

    texts = [f"{n}-" for n in range(20)]
    router.engines["e1"].completions = [
        backend_fakes.complete_stream(*[text] * 5) for text in texts
    ]
    contents: list[str] = []
    await asyncio.gather(*(one(n) for n in range(20)))
    assert sorted(contents) == sorted(text * 5 for text in texts)


async def test_request_refused_as_invalid_does_not_eject_the_engine(router):
    """Guards against ejecting an engine due to one caller's bad requests."""
    router.engines["e1"].completions = [
        [refusal.Refusal(reason.Reason.INVALID_REQUEST, "prompt too long")]
    ]
    async with router.chat() as resp:
        error = (await resp.json())["error"]
    assert (resp.status, error["run"]) == (400, "no")
    assert router.routing.finished == [True]
    assert not router.engines["e2"].calls
    assert router.budget.settlements == [(0, _COUNTED)]
