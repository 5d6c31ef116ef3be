"""Guards against calls that run twice or are wrongly reported as not run."""

import asyncio

import pytest

from hibiscuspass.backends import http_service
from hibiscuspass.backends import service as service_lib
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state
from standins import service as service_stand_in
from tests import assertions

_TIMEOUT_S = 10.0
_SHORT_TIMEOUT_S = 0.2


@pytest.fixture
async def server(started):
    return await started(service_stand_in.ServiceStandIn())


@pytest.fixture
async def service(started, server):
    return await started(
        http_service.make_http_service("orders-1", server.address)
    )


def _request(request_id="r1", method="POST", **headers):
    return service_lib.ServiceRequest(
        request_id, method, "/orders?day=1", headers, b'{"count":3}'
    )


async def test_a_call_passes_on_body_headers_and_status(service, server):
    headers = {
        "Idempotency-Key": "k1",
        "Connection": "close",
        "X-Request-Id": "forged",
        "Host": "elsewhere",
    }
    outcome = await service.call(_request(**headers), timeout_s=_TIMEOUT_S)
    assert isinstance(outcome, service_lib.ServiceResponse)
    assert outcome.status == 200
    assert outcome.headers["X-Service"] == "orders"
    assert server.record()["runs"] == [
        {
            "number": 1,
            "request_id": "r1",
            "method": "POST",
            "path": "/orders?day=1",
            "idempotency_key": "k1",
            "body": '{"count":3}',
        }
    ]


async def test_a_server_error_is_returned_as_the_response(service, server):
    await server.inject(fail_after_run=1)
    outcome = await service.call(_request(), timeout_s=_TIMEOUT_S)
    assert outcome.status == 500


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
@pytest.mark.parametrize("mode", ["close", "hang"])
async def test_a_lost_reply_is_unknown_and_the_call_runs_once(
    service, server, method, mode
):
    # The HTTP library resends PUT and DELETE only on a reused connection, so
    # the connection is opened by an earlier call.
    await service.call(_request("r0", "GET"), timeout_s=_TIMEOUT_S)
    await server.inject(lose_replies=1, lost_reply=mode)
    outcome = await service.call(
        _request("r1", method), timeout_s=_SHORT_TIMEOUT_S
    )
    reason = {
        "close": reason_lib.Reason.BACKEND_LOST,
        "hang": reason_lib.Reason.BACKEND_TIMEOUT,
    }[mode]
    refused = assertions.assert_refused(outcome, reason)
    assert refused.run is run_state.RunState.UNKNOWN
    assert [r["request_id"] for r in server.runs] == ["r1"]


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_a_connection_that_died_unnoticed_is_never_reported_as_not_run(
    service, server, method
):
    await service.call(_request("r0"), timeout_s=_TIMEOUT_S)
    # The client's event loop has not yet processed the end of the idle
    # connection, so the request is written to it.
    server._abort_connections()
    outcome = await service.call(_request("r1", method), timeout_s=_TIMEOUT_S)
    refused = assertions.assert_refused(outcome, reason_lib.Reason.BACKEND_LOST)
    assert refused.run is run_state.RunState.UNKNOWN
    assert [r["request_id"] for r in server.runs] == ["r0"]


async def test_a_refused_connection_is_not_run(service, server):
    await server.inject(outage="refuse")
    refused = assertions.assert_refused(
        await service.call(_request(), timeout_s=_TIMEOUT_S),
        reason_lib.Reason.BACKEND_UNREACHABLE,
    )
    assert refused.run is run_state.RunState.NO
    assert not server.runs


async def test_a_draining_service_proves_that_the_call_did_not_run(
    service, server
):
    await server.inject(drain=True)
    refused = assertions.assert_refused(
        await service.call(_request(), timeout_s=_TIMEOUT_S),
        reason_lib.Reason.BACKEND_REFUSED,
    )
    assert refused.run is run_state.RunState.NO
    assert refused.retry_after_s == 1.0
    assert not server.runs


async def test_an_answer_to_another_request_is_not_delivered(service, server):
    await server.inject(wrong_request_id=True)
    refused = assertions.assert_refused(
        await service.call(_request(), timeout_s=_TIMEOUT_S),
        reason_lib.Reason.BACKEND_LOST,
    )
    assert refused.run is run_state.RunState.UNKNOWN


async def test_a_timed_out_connection_is_closed_and_its_late_answer_dropped(
    service, server
):
    await server.inject(delay_s=_SHORT_TIMEOUT_S * 2)
    assertions.assert_refused(
        await service.call(_request("late"), timeout_s=_SHORT_TIMEOUT_S),
        reason_lib.Reason.BACKEND_TIMEOUT,
    )
    outcome = await service.call(_request("next"), timeout_s=_TIMEOUT_S)
    assert b'"request_id":"next"' in outcome.body


async def test_connections_that_stopped_responding_are_never_used_again(
    service, server
):
    await asyncio.gather(
        *(
            service.call(_request(f"a{i}"), timeout_s=_TIMEOUT_S)
            for i in range(5)
        )
    )
    await server.inject(silence_open_connections=True)
    assertions.assert_refused(
        await service.call(_request("b"), timeout_s=_SHORT_TIMEOUT_S),
        reason_lib.Reason.BACKEND_TIMEOUT,
    )
    for number in range(5):
        outcome = await service.call(
            _request(f"c{number}"), timeout_s=_TIMEOUT_S
        )
        assert isinstance(outcome, service_lib.ServiceResponse)


async def test_concurrent_calls_use_one_connection_each(service, server):
    await server.inject(delay_s=0.05)
    outcomes = await asyncio.gather(
        *(
            service.call(_request(f"r{i}"), timeout_s=_TIMEOUT_S)
            for i in range(5)
        )
    )
    assert [b'"request_id":"r%d"' % i in o.body for i, o in enumerate(outcomes)]
    assert len(server._protocols()) == 5
