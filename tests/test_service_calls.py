"""Tests calls of plain services, in particular non-repeatable ones."""

import asyncio

import attrs
import pytest
import pytest_asyncio

from hibiscuspass.backends import service
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.dispatch import service_path
from tests import backend_fakes
from tests import router_fakes as fakes

_KEY = {"Idempotency-Key": "k"}
_PRINT = "/services/orders/print"
_TIMEOUT = refusal.Refusal(
    reason.Reason.TIMEOUT, run=run_state.RunState.UNKNOWN
)


@pytest_asyncio.fixture
async def router():
    started = await fakes.start_router()
    yield started
    await started.close()


def _runs(*routers: fakes.Router) -> int:
    return sum(len(s.calls) for r in routers for s in r.services.values())


async def _print(router: fakes.Router, body: object, key: str = "k"):
    headers = {"Idempotency-Key": key}
    async with router.post(_PRINT, body, headers=headers) as resp:
        return resp.status, await resp.read(), resp.headers


async def test_method_path_query_and_body_are_forwarded(router):
    url = router.url("/services/orders/a%20b/c?x=1&y=%26")
    headers = {**fakes.AUTH, "X-Extra": "1"}
    async with router.session.put(url, data=b"raw", headers=headers) as resp:
        assert (resp.status, await resp.read()) == (201, b"raw")
        assert resp.headers["X-Run"] == "yes"
    (call,) = [c for s in router.services.values() for c in s.calls]
    assert (call.method, call.path) == ("PUT", "/a%20b/c?x=1&y=%26")
    assert call.headers["X-Extra"] == "1"
    assert "Authorization" not in call.headers


@pytest.mark.parametrize(
    "path",
    ["//print", "/x/%2e%2e/print", "/x%2Fprint", "/print;x", "/x%5cprint"],
)
async def test_ambiguous_paths_are_refused(router, path):
    """Guards non-repeatable rules against other spellings of their paths."""
    reader, writer = await asyncio.open_connection("127.0.0.1", router.api.port)
    writer.write(
        f"POST /services/orders{path} HTTP/1.1\r\nHost: x\r\n"
        "Connection: close\r\n"
        f"Authorization: Bearer {fakes.ACCESS_KEY}\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 400")
    assert not _runs(router)


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/print", True),
        ("POST", "/PRINT/7", True),
        ("post", "/print/", True),
        ("GET", "/print", False),
        ("POST", "/other", False),
    ],
)
def test_rules_match_method_and_prefix(method, path, expected):
    assert (
        service_path.is_non_repeatable(fakes.WORKSPACE, "orders", method, path)
        is expected
    )


async def test_unknown_service_is_refused(router):
    async with router.post("/services/other/x", {}) as resp:
        assert (await resp.json())["error"]["code"] == "unknown_service"


async def test_missing_key_is_refused_before_anything_runs(router):
    async with router.post(_PRINT, {"n": 1}) as resp:
        error = (await resp.json())["error"]
    assert (resp.status, error["code"]) == (400, "idempotency_key_required")
    assert not _runs(router)


async def test_duplicate_on_another_router_gets_the_stored_answer(router):
    other = await fakes.start_router(kv=router.kv)
    first = await _print(router, {"n": 1})
    second = await _print(other, {"n": 1})
    await other.close()
    assert first[:2] == second[:2] == (201, b'{"n": 1}')
    assert second[2]["X-Echo"] == "/print"
    assert _runs(router, other) == 1


async def test_same_key_with_another_body_is_refused(router):
    await _print(router, {"n": 1})
    status, body, _ = await _print(router, {"n": 2})
    assert status == 422
    assert b"idempotency_key_reused" in body
    assert _runs(router) == 1


async def test_duplicate_during_the_first_call_is_in_progress(router):
    gate = asyncio.Event()
    for server in router.services.values():
        server.gate = gate
    first = asyncio.create_task(_print(router, {"n": 1}))
    started = [
        asyncio.create_task(s.started.wait()) for s in router.services.values()
    ]
    await asyncio.wait(started, return_when=asyncio.FIRST_COMPLETED)
    status, body, headers = await _print(router, {"n": 1})
    assert (status, headers["X-Run"]) == (409, "unknown")
    assert b"in_progress" in body
    gate.set()
    assert (await first)[0] == 201
    for task in started:
        task.cancel()
    assert _runs(router) == 1


async def test_lost_claim_reply_is_resolved_by_the_operation_id(router):
    router.kv.failures = [(True, _TIMEOUT)]
    assert (await _print(router, {"n": 1}))[0] == 201
    assert _runs(router) == 1


@pytest.mark.parametrize(
    "failure",
    [
        (False, _TIMEOUT),
        (False, refusal.Refusal(reason.Reason.UNAVAILABLE)),
        (False, refusal.Refusal(reason.Reason.RATE_LIMITED)),
    ],
    ids=["timeout", "unavailable", "rate_limited"],
)
async def test_uncertain_claim_never_runs(router, failure):
    router.kv.failures = [failure]
    status, body, headers = await _print(router, {"n": 1})
    assert (status, headers["X-Run"]) == (503, "unknown")
    assert b"claim_uncertain" in body
    assert not _runs(router)


async def test_refused_connection_releases_the_claim(router):
    for server in router.services.values():
        server.outcomes = [backend_fakes.unreachable_refusal()]
    status, _, headers = await _print(router, {"n": 1})
    assert (status, headers["X-Run"]) == (502, "no")
    assert _runs(router) == 2
    assert not router.kv.entries
    assert (await _print(router, {"n": 1}))[0] == 201


async def test_refusing_server_is_reported_to_membership(router):
    refused = refusal.Refusal(reason.Reason.BACKEND_REFUSED, "draining")
    router.services["s1"].outcomes = [refused] * 9
    while not router.services["s1"].calls:
        async with router.post("/services/orders/list", {}) as resp:
            assert resp.status == 201
    assert router.reported_servers == ["s1"]


async def test_lost_answer_is_unknown_and_never_repeated(router):
    for server in router.services.values():
        server.outcomes = [backend_fakes.connection_lost_refusal()]
    for _ in range(2):
        _, body, headers = await _print(router, {"n": 1})
        assert headers["X-Run"] == "unknown"
        assert b"backend_lost" in body
    assert _runs(router) == 1


async def test_lost_caller_does_not_lose_the_outcome(router):
    gate = asyncio.Event()
    for server in router.services.values():
        server.gate = gate
    first = asyncio.create_task(_print(router, {"n": 1}))
    started = [
        asyncio.create_task(s.started.wait()) for s in router.services.values()
    ]
    await asyncio.wait(started, return_when=asyncio.FIRST_COMPLETED)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    for task in started:
        task.cancel()
    gate.set()
    await router.lifecycle.finish(timeout_s=5, cut_s=0)
    assert (await _print(router, {"n": 1}))[:2] == (201, b'{"n": 1}')
    assert _runs(router) == 1


async def test_answer_too_long_to_store_is_still_not_repeated(router):
    long = service.ServiceResponse(200, {}, b"x" * 700_000)
    for server in router.services.values():
        server.outcomes = [long]
    assert (await _print(router, {"n": 1}))[0] == 200
    status, body, headers = await _print(router, {"n": 1})
    assert (status, headers["X-Run"]) == (409, "yes")
    assert b"already_completed" in body
    assert _runs(router) == 1


async def test_budget_refusal_releases_the_claim(router):
    _price(router, 7)
    router.budget.reply = lambda req: refusal.Refusal(
        reason.Reason.BUDGET_EXHAUSTED
    )
    status, _, headers = await _print(router, {"n": 1})
    assert (status, headers["X-Run"]) == (402, "no")
    assert not router.kv.entries
    assert not _runs(router)


@pytest.mark.parametrize(
    ("outcome", "cost"),
    [
        (None, 7),
        (backend_fakes.connection_lost_refusal(), 7),
        (backend_fakes.unreachable_refusal(), 0),
    ],
    ids=["answered", "lost", "unreached"],
)
async def test_priced_calls_are_billed_unless_not_run(router, outcome, cost):
    _price(router, 7)
    for server in router.services.values():
        server.outcomes = [outcome] if outcome is not None else []
    await _print(router, {"n": 1})
    assert router.budget.settlements == [(cost, permit_lib.CostKind.COUNTED)]


async def test_keyed_refusal_without_a_record_is_unknown(router):
    for server in router.services.values():
        server.outcomes = [backend_fakes.unreachable_refusal()]
    async with router.post("/services/orders/list", {}, headers=_KEY) as resp:
        assert (await resp.json())["error"]["run"] == "unknown"


def _price(router: fakes.Router, cost: int) -> None:
    specs = router.parts.services
    assert isinstance(specs, dict)
    specs["orders"] = attrs.evolve(specs["orders"], call_cost=cost)
