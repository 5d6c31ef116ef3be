"""Tests of the memory of a process whose settings name none."""

import math
import resource

import prometheus_client
import pytest

from hibiscuspass.core.admission import byte_budget
from hibiscuspass.gateway import caller_connections
from hibiscuspass.gateway import gateway_metrics
from hibiscuspass.settings import gateway as settings_lib
from hibiscuspass.settings import machine_memory

_VM_BYTES = 160e6
_BODY_BYTES = 4 << 20


def _make_callers() -> caller_connections.CallerConnections:
    cfg = settings_lib.GatewaySettings(
        settings_lib.GatewayProcess("router-0"),
        settings_lib.GatewayListen(*(f"127.0.0.1:{n}" for n in range(1, 5))),
        "127.0.0.1:5",
    )
    return caller_connections.CallerConnections(
        cfg,
        gateway_metrics.GatewayMetrics(prometheus_client.CollectorRegistry()),
        lambda: None,
    )


def test_gateway_without_memory_in_its_settings_bounds_bodies(monkeypatch):
    """A crowd of uploads could use up any machine."""
    monkeypatch.setattr(machine_memory, "read_bytes", lambda: _VM_BYTES)
    budget = _make_callers().budget
    outcomes = [
        budget.open(f"key-{n}").add_upload(_BODY_BYTES, 0.0) for n in range(60)
    ]
    assert outcomes[0] is byte_budget.Outcome.GRANTED
    assert outcomes[-1] is byte_budget.Outcome.TOTAL
    assert budget.held < _VM_BYTES


def test_setting_goes_before_the_machine(monkeypatch):
    monkeypatch.setattr(machine_memory, "read_bytes", lambda: _VM_BYTES)
    assert machine_memory.limit_bytes(300.0) == 300e6
    assert machine_memory.limit_bytes(None) == _VM_BYTES


@pytest.mark.parametrize(
    ("text", "expected"),
    [("170000000\n", 170e6), ("max\n", math.inf), ("", math.inf)],
)
def test_limit_of_a_control_group_counts(tmp_path, text, expected):
    """A container may have less memory than its machine."""
    path = tmp_path / "memory.max"
    path.write_text(text)
    machine = machine_memory.read_bytes([tmp_path / "missing"])
    assert machine_memory.read_bytes([path]) == min(machine, expected)


def test_limit_of_the_address_space_counts(monkeypatch):
    monkeypatch.setattr(
        resource, "getrlimit", lambda _: (100_000_000, resource.RLIM_INFINITY)
    )
    assert machine_memory.read_bytes([]) == 100e6
