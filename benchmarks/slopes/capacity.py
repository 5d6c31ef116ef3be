"""Computes the control load of a node and of the key-value service.

The load at target size is computed from the measured costs per unit. Run
`python -m benchmarks.slopes.capacity`; docs/CAPACITY.md contains the result.
"""

from collections.abc import Mapping

import attrs
import defopt

from benchmarks.slopes import measure
from benchmarks.slopes import routing

_NODES = 390
_REGIONS = 6
_RUNNERS = 4_000
# Each runner serves one model at a time.
_MODELS = 18
_REQUESTS_PER_S = 4_800.0
_TOKENS_PER_S = 2_200_000.0
_BUDGETS = 710_000
_WORKSPACES_IN_USE = 2_700
_CHANGES_PER_DAY = 15_000
_REPLACEMENTS_PER_DAY = 310
_SECONDS_PER_DAY = 86_400.0

# Bounds for the control load per node.
_MAX_CONTROL_CPU_US_PER_S = 16_000.0
_MAX_CONTROL_BYTES_PER_S = 6_000.0
_MAX_CONTROL_MEMORY_BYTES = 128e6

# Intervals and limits of the current code at target size.
_HEARTBEAT_INTERVAL_S = 1.0
# `router.engine_monitor` polls engines in turn and limits the total rate.
_LOAD_POLLS_PER_S = 8.0
_CACHE_SUBSCRIPTIONS = 64
_INDEX_ENTRIES = 100_000
_VMS_PER_LIST_SECOND = 25
_CONFIG_POLL_INTERVAL_S = 5.0
# Sizes that are not measured here: one load report and one VM list entry.
_LOAD_REPORT_BYTES = 700.0
_LISTED_VM_BYTES = 150.0
_CACHE_BLOCKS_PER_REQUEST = 16
_CACHE_BLOCK_BYTES = 9.0
_PERMIT_MESSAGE_BYTES = 350.0
# Open permits per request/s: a request of 460 tokens at 27 ms each takes 12 s.
_REQUEST_DURATION_S = _TOKENS_PER_S / _REQUESTS_PER_S * 0.027


@attrs.frozen
class Load:
    """Control load on one node.

    Attributes:
      part: Subsystem that causes it.
      cpu_us_per_s: Processor time in microseconds per second.
      bytes_per_s: Bytes sent per second.
      memory_bytes: Resident memory in bytes.
      mechanism: Mechanism that keeps it bounded.
    """

    part: str
    cpu_us_per_s: float
    bytes_per_s: float
    memory_bytes: float
    mechanism: str


def _permits(s: Mapping[str, float]) -> Load:
    rate = _REQUESTS_PER_S / _NODES
    # Each message costs CPU time at its sender and at its receiver.
    messages = rate * s["budget.target.messages"]
    open_permits = rate * _REQUEST_DURATION_S
    return Load(
        "permits and settlement",
        messages * s["peer.message.cpu"] + rate * s["budget.target.cpu"],
        messages * _PERMIT_MESSAGE_BYTES,
        open_permits * s["budget.open_permit.bytes"],
        "one holder and witness per grant; state only for budgets in use",
    )


def _membership(s: Mapping[str, float]) -> Load:
    rounds = 1.0 / _HEARTBEAT_INTERVAL_S
    exchanges = s["fleet.round.messages_at_390"] * rounds
    vms = _NODES + _RUNNERS
    list_interval_s = vms / _VMS_PER_LIST_SECOND
    list_cpu = vms * s["fleet.view.cpu_per_vm"] / list_interval_s
    return Load(
        "membership",
        # On average a node starts as many exchanges as it answers.
        exchanges * 2 * 2 * s["peer.message.cpu"] / 2
        + rounds * s["fleet.round.cpu_at_390"]
        + list_cpu,
        2 * s["fleet.round.body_bytes_at_390"] * rounds
        + 2 * exchanges * s["peer.heartbeat.bytes"],
        vms * s["fleet.vm.bytes"],
        "bounded number of heartbeats; the list is read more rarely as it"
        " grows",
    )


def _load_reports(s: Mapping[str, float], runners: int) -> Load:
    age_s = runners / _LOAD_POLLS_PER_S
    return Load(
        f"load reports of {runners:,} runners, {age_s:.0f} s old",
        _LOAD_POLLS_PER_S * s["route.report.cpu"],
        _LOAD_POLLS_PER_S * _LOAD_REPORT_BYTES,
        runners * s["route.engine.bytes"],
        "polled in turn at a bounded rate; own dispatches correct them",
    )


def _cache_events(s: Mapping[str, float], runners: int) -> Load:
    # Each request stores its blocks on one runner only.
    followed = min(runners, _CACHE_SUBSCRIPTIONS)
    events = _REQUESTS_PER_S * followed / _RUNNERS
    share = _CACHE_BLOCKS_PER_REQUEST / routing.BLOCKS_PER_EVENT
    return Load(
        f"cache events of {followed:,} runners",
        events * s["route.cache_event.cpu"] * share,
        events * _CACHE_BLOCKS_PER_REQUEST * _CACHE_BLOCK_BYTES,
        _INDEX_ENTRIES * s["route.index_entry.bytes"],
        "bounded subscriptions and prefix index; shared home engines",
    )


def _routing(s: Mapping[str, float], runners: int) -> Load:
    rate = _REQUESTS_PER_S / _NODES
    of_model = runners / _MODELS
    cost = s["route.choose.cpu"] + of_model * s["route.choose.cpu_per_engine"]
    return Load(
        f"choice among {of_model:.0f} runners of the model",
        rate * cost,
        0.0,
        0.0,
        "expected time to first token, power of two choices",
    )


def _configuration(s: Mapping[str, float]) -> Load:
    rate = _CHANGES_PER_DAY / _SECONDS_PER_DAY
    cost = s["config.change.cpu"] + 2 * s["peer.message.cpu"]
    per_node = _WORKSPACES_IN_USE
    return Load(
        "configuration",
        rate * cost,
        rate * (s["config.workspace.bytes"] + 200.0),
        per_node * s["config.workspace.memory"],
        "watch and announcement of each change; loaded on first use",
    )


def node_loads(s: Mapping[str, float], runners: int) -> list[Load]:
    """Returns the control load of one node that routes to `runners` runners."""
    return [
        _permits(s),
        _membership(s),
        _load_reports(s, runners),
        _cache_events(s, runners),
        _routing(s, runners),
        _configuration(s),
    ]


def key_value_calls(s: Mapping[str, float]) -> dict[str, float]:
    """Returns the calls per second to the key-value service by purpose."""
    return {
        "ledger and bill writes": _WORKSPACES_IN_USE
        * s["budget.target.kv_writes"],
        "ledger reads": _WORKSPACES_IN_USE * s["budget.target.kv_reads"],
        "configuration polls": _NODES / _CONFIG_POLL_INTERVAL_S,
        "configuration changes": 2 * _CHANGES_PER_DAY / _SECONDS_PER_DAY,
        "registrations": 2 * _REPLACEMENTS_PER_DAY / _SECONDS_PER_DAY,
        "waiting watches (number, not rate)": float(_NODES),
    }


def _print_loads(loads: list[Load]) -> None:
    print("| part | CPU ms/s | KB/s | MB | mechanism |")
    print("|---|---|---|---|---|")
    for load in loads:
        print(
            f"| {load.part} | {load.cpu_us_per_s / 1e3:.2f} |"
            f" {load.bytes_per_s / 1e3:.2f} | {load.memory_bytes / 1e6:.1f} |"
            f" {load.mechanism} |"
        )
    cpu = sum(x.cpu_us_per_s for x in loads)
    sent = sum(x.bytes_per_s for x in loads)
    memory = sum(x.memory_bytes for x in loads)
    print(
        f"| **sum** | {cpu / 1e3:.2f} | {sent / 1e3:.2f} | {memory / 1e6:.1f}"
        " | |"
    )
    print(
        f"| bound | {_MAX_CONTROL_CPU_US_PER_S / 1e3:.2f} |"
        f" {_MAX_CONTROL_BYTES_PER_S / 1e3:.2f} |"
        f" {_MAX_CONTROL_MEMORY_BYTES / 1e6:.1f} | |"
    )


def main(*, runners: tuple[int, ...] = (4_000, 667)) -> None:
    """Prints the tables of docs/CAPACITY.md.

    Args:
      runners: Numbers of runners that one node routes to.
    """
    slopes = {s.name: s.value for s in measure.measure_all()}
    for count in runners:
        print(f"\nOne node that routes to {count:,} runners:\n")
        _print_loads(node_loads(slopes, count))
    print("\nKey-value service, whole fleet:\n\n| purpose | per second |")
    print("|---|---|")
    for purpose, rate in key_value_calls(slopes).items():
        print(f"| {purpose} | {rate:.1f} |")
    stored = _BUDGETS * (slopes["ledger.bytes"] + slopes["ledger.grant.bytes"])
    print(f"\nLedgers of {_BUDGETS:,} budgets: {stored / 1e6:.0f} MB stored.")
    for name, value in slopes.items():
        print(f"| `{name}` | {value:.3f} |")


if __name__ == "__main__":
    defopt.run(main)
