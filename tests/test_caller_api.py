"""Tests the validation, outcomes and error format of the caller API."""

import asyncio
import pathlib
import re

import attrs
import msgspec
import pytest
import pytest_asyncio

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.dispatch import completion
from hibiscuspass.core.dispatch import model_spec
from hibiscuspass.router import http_response
from hibiscuspass.router import limits
from tests import assertions
from tests import backend_fakes
from tests import router_fakes as fakes

_LIMITS = limits.Limits(max_body_bytes=2000, body_stall_s=0.05)
_CHAT = "/v1/chat/completions"
_MESSAGES = [{"role": "user", "content": "hi"}]


@pytest_asyncio.fixture
async def router():
    started = await fakes.start_router(_LIMITS)
    yield started
    await started.close()


async def _error(resp) -> dict[str, object]:
    body = await resp.json()
    assert set(body) == {"error"}
    assert resp.headers["X-Request-Id"] == body["error"]["request_id"]
    assert resp.headers["X-Run"] == body["error"]["run"]
    return body["error"]


def _assert_no_cost(router: fakes.Router) -> None:
    assert not router.budget.requests
    assert not any(e.calls for e in router.engines.values())


async def test_unstreamed_answer_joins_all_events(router):
    router.engines["e1"].completions = [
        backend_fakes.complete_stream("Hel", "lo")
    ]
    async with router.chat() as resp:
        body = await resp.json()
    assert resp.status == 200
    assert resp.headers["X-Run"] == "yes"
    assert body["choices"][0]["message"]["content"] == "Hello"
    assert body["usage"]["completion_tokens"] == 2
    assert router.budget.settlements == [(5, permit_lib.CostKind.REPORTED)]


async def test_stream_ends_with_usage_and_done(router):
    router.engines["e1"].completions = [
        backend_fakes.complete_stream("Hel", "lo")
    ]
    async with router.chat(stream=True) as resp:
        lines = (await resp.text()).split("\n\n")
    assert resp.headers["Content-Type"] == "text/event-stream"
    payloads = [line.removeprefix("data: ") for line in lines if line]
    assert payloads[-1] == "[DONE]"
    assert msgspec.json.decode(payloads[-2])["usage"]
    assert "Hel" in payloads[0]


async def test_usage_above_the_hold_is_capped(router):
    router.engines["e1"].completions = [
        [backend_fakes.final_event(0, 10**6, 10**6)]
    ]
    async with router.chat() as resp:
        assert resp.status == 200
    ((cost, _),) = router.budget.settlements
    assert cost == router.budget.requests[0].worst_case


@pytest.mark.parametrize(
    ("header", "status", "code"),
    [
        ("", 401, "unauthenticated"),
        ("Bearer ", 401, "unauthenticated"),
        ("Bearer hp.ws", 401, "unauthenticated"),
        (f"Bearer {fakes.ACCESS_KEY}x", 401, "unauthenticated"),
        ("Bearer hp.ws.00.secret", 401, "unauthenticated"),
        ("Bearer hp.other.00.secret", 401, "unauthenticated"),
        (f"Basic {fakes.ACCESS_KEY}", 401, "unauthenticated"),
        ("Bearer hp.ws.00.\u00e9", 401, "unauthenticated"),
    ],
    # Keys are random, and all workers of a parallel run need the same ids.
    ids=[
        "no key",
        "empty key",
        "key without id",
        "wrong secret",
        "unknown id",
        "other workspace",
        "other scheme",
        "not ASCII",
    ],
)
async def test_wrong_keys_are_refused(router, header, status, code):
    headers = {"Authorization": header}
    async with router.post(_CHAT, {}, headers=headers) as resp:
        error = await _error(resp)
    assert (resp.status, error["code"]) == (status, code)
    assert error["run"] == "no"
    _assert_no_cost(router)


@pytest.mark.parametrize(
    ("raw", "status", "code"),
    [
        (b"{", 400, "invalid_request"),
        (b"[]", 400, "invalid_request"),
        (b"\xff\xfe", 400, "invalid_request"),
        (b"[" * 1500, 400, "invalid_request"),
        (b'{"model": "m", "messages": []}', 400, "invalid_request"),
        (b"x" * 3000, 413, "body_too_large"),
    ],
)
async def test_broken_bodies_cost_nothing(router, raw, status, code):
    async with router.post(_CHAT, data=raw) as resp:
        error = await _error(resp)
    assert (resp.status, error["code"]) == (status, code)
    assert error["run"] == "no"
    _assert_no_cost(router)


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"model": "nope"}, "unknown_model"),
        ({"model": "x"}, "model_not_allowed"),
        ({"adapter": "a"}, "model_not_allowed"),
        ({"max_tokens": -1}, "invalid_request"),
        ({"max_tokens": 0}, "invalid_request"),
        ({"max_tokens": True}, "invalid_request"),
        ({"max_tokens": 1.5}, "invalid_request"),
        ({"max_tokens": 10**30}, "forbidden"),
        ({"max_tokens": 101}, "forbidden"),
        ({"max_tokens": 5, "max_completion_tokens": -2}, "invalid_request"),
        ({"n": 2}, "invalid_request"),
        ({"best_of": 2}, "invalid_request"),
        ({"messages": [{"role": "user", "content": 7}]}, "invalid_request"),
        (
            {
                "messages": [
                    {"role": "user", "content": [{"type": "image_url"}]}
                ]
            },
            "invalid_request",
        ),
        ({"stream_options": 3}, "invalid_request"),
        ({"messages": [{"role": "x" * 17}]}, "invalid_request"),
    ],
)
async def test_invalid_fields_cost_nothing(router, fields, code):
    async with router.chat(**fields) as resp:
        assert (await _error(resp))["code"] == code
    _assert_no_cost(router)


async def test_worst_case_follows_the_text(router):
    """Guards against holds above the documented bound.

    Workspaces with a small budget would be refused requests they can afford.
    """
    router.engines["e1"].completions = [backend_fakes.complete_stream("a")]
    async with router.chat(max_tokens=7) as resp:
        assert resp.status == 200
    overhead = router.parts.models["m"].message_overhead_tokens
    # One message, and one for the start of the answer.
    assert router.budget.requests[0].worst_case == len("hi") + 2 * overhead + 7


@pytest.mark.parametrize("count", [8193])
def test_many_text_parts_are_refused(count):
    """Guards other callers against delays by bodies that are slow to check."""
    parts = [{"type": "text", "text": ""}] * count
    body = {"model": "m", "messages": [{"role": "user", "content": parts}]}
    assertions.assert_refused(
        completion.parse(
            _CHAT,
            msgspec.json.encode(body),
            fakes.WORKSPACE,
            {"m": model_spec.ModelSpec("m")},
        ),
        reason.Reason.INVALID_REQUEST,
    )


async def test_stalled_body_is_refused_and_the_next_caller_served(router):
    router.engines["e1"].completions = [backend_fakes.complete_stream("a")]
    reader, writer = await asyncio.open_connection("127.0.0.1", router.api.port)
    writer.write(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        + f"Authorization: Bearer {fakes.ACCESS_KEY}\r\n".encode()
        + b"Content-Length: 100\r\n\r\n{"
    )
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 408")
    assert b'"body_timeout"' in answer
    async with router.chat() as resp:
        assert resp.status == 200


async def test_too_long_chunked_body_is_refused(router):
    async def chunks():
        for _ in range(30):
            yield b"x" * 100

    async with router.post(_CHAT, data=chunks()) as resp:
        assert resp.status == 413


@pytest.mark.parametrize(("key", "run"), [("", "no"), ("k", "unknown")])
async def test_refusal_before_the_lookup_is_accurate(router, key, run):
    """Guards against telling a retry `not run` although its first attempt ran.

    A refusal that comes before the idempotency key was looked up can't know.
    """
    router.lifecycle.begin_stop()
    async with router.chat(key=key) as resp:
        error = await _error(resp)
    assert (resp.status, error["code"]) == (503, "shutting_down")
    assert error["run"] == run


async def test_budget_refusal_of_an_unkeyed_request_was_not_run(router):
    router.budget.reply = lambda req: refusal.Refusal(
        reason.Reason.BUDGET_EXHAUSTED, "", run_state.RunState.UNKNOWN
    )
    async with router.chat() as resp:
        error = await _error(resp)
    assert (resp.status, error["run"]) == (402, "no")
    assert not router.admission.admitted_ids


async def test_admission_refusal_settles_the_permit_of_a_keyed_request(router):
    router.admission.decision = refusal.Refusal(reason.Reason.OVERLOADED)
    async with router.chat(key="k") as resp:
        assert (await _error(resp))["run"] == "no"
    assert router.budget.settlements == [(0, permit_lib.CostKind.COUNTED)]


async def test_queued_call_is_refused_at_its_deadline(router):
    router.admission.decision = fakes.controller.Queued()
    router.config.ws = attrs.evolve(
        fakes.WORKSPACE, first_token_deadline_s=0.01
    )
    async with router.chat() as resp:
        assert (await _error(resp))["code"] == "deadline"
    assert not router.budget.requests


async def test_keyed_attempts_share_the_request_id(router):
    router.engines["e1"].completions = [
        backend_fakes.complete_stream("a"),
        backend_fakes.complete_stream("a"),
    ]
    ids = set()
    for _ in range(2):
        async with router.chat(key="k") as resp:
            ids.add(resp.headers["X-Request-Id"])
    first, second = router.budget.requests
    assert ids == {first.request_id} == {second.request_id}
    assert first.attempt_id != second.attempt_id
    assert first.keyed


@pytest.mark.parametrize("why", list(reason.Reason))
def test_every_reason_has_an_error_status(why):
    assert 400 <= http_response.http_status(why) < 600


async def test_models_lists_the_allowed_ones(router):
    url = router.url("/v1/models")
    async with router.session.get(url, headers=fakes.AUTH) as resp:
        body = await resp.json()
    assert [m["id"] for m in body["data"]] == ["m"]


async def test_probes_and_metrics(router):
    router.engines["e1"].completions = [backend_fakes.complete_stream("a")]
    async with router.chat() as resp:
        await resp.read()
    async with router.session.get(router.url("/metrics")) as resp:
        text = await resp.text()
    assert 'outcome="completed"' in text
    assert "hibiscuspass_output_tokens_total 1.0" in text
    for path, stopping, status in (
        ("/healthz", False, 200),
        ("/readyz", False, 200),
        ("/readyz", True, 503),
    ):
        if stopping:
            router.lifecycle.begin_stop()
        async with router.session.get(router.url(path)) as resp:
            assert resp.status == status


async def test_unknown_path_has_the_error_format(router):
    async with router.post("/v2/nothing", {}) as resp:
        assert (await _error(resp))["code"] == "not_found"


def test_reference_lists_every_code_with_its_status():
    """Guards against error codes or statuses missing in the reference page."""
    page = pathlib.Path(__file__).parents[1] / "docs" / "callers.md"
    listed = {
        code.strip(" `"): int(status)
        for codes, status in re.findall(
            r"^\| (`.+?`) \| (\d+) \|", page.read_text(), re.MULTILINE
        )
        for code in codes.split(",")
    }
    assert listed == {
        why.value: http_response.http_status(why) for why in reason.Reason
    }
