"""Tests the control interface and command lines of the test servers."""

import asyncio
import sys

import aiohttp
import pytest

from standins import engine
from standins import kv
from standins import service


async def _call(method, address, path, body=None):
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{address}{path}", json=body) as reply,
    ):
        return reply.status, await reply.json()


async def test_faults_are_set_and_shown_over_http(started):
    server = await started(service.ServiceStandIn())
    status, shown = await _call(
        "POST", server.address, "/faults", {"drain": True, "delay_s": 0.5}
    )
    assert (status, shown["drain"], shown["delay_s"]) == (200, True, 0.5)
    # The control paths reply even while the faults are active.
    await server.inject(outage="hang", frozen=True)
    assert (await _call("GET", server.address, "/faults"))[1]["frozen"]
    assert (await _call("GET", server.address, "/record"))[0] == 200


async def test_an_unknown_fault_is_an_error_that_names_the_allowed_ones(
    started,
):
    server = await started(kv.KvStandIn())
    status, answer = await _call("POST", server.address, "/faults", {"x": 1})
    assert status == 400
    assert "drop_watches" in answer["error"]


async def test_an_outage_ends_through_the_control_port(
    started, unused_tcp_port
):
    server = await started(engine.EngineStandIn(control_port=unused_tcp_port))
    control = f"127.0.0.1:{unused_tcp_port}"
    address = server.address
    await _call("POST", control, "/faults", {"outage": "refuse"})
    with pytest.raises(aiohttp.ClientConnectorError):
        await _call("GET", address, "/v1/state")
    await _call("POST", control, "/faults", {"outage": ""})
    assert (await _call("GET", address, "/v1/state"))[0] == 200


@pytest.mark.parametrize("name", ["kv", "engine", "service", "platform"])
async def test_each_stand_in_is_a_program(name):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"standins.{name}",
        "--help",
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    assert b"--port" in output
