"""Measures the cost of heartbeats and of the fleet view."""

import random

import msgspec

from benchmarks.slopes import slope
from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation
from hibiscuspass.core.membership import config
from hibiscuspass.core.membership import messages
from hibiscuspass.core.membership import tracker

_ROUNDS = 50
# After these steps the initial records of all routers have been disseminated,
# so heartbeats have their usual size.
_WARM_UP_STEPS = 20
_ROUTERS = 390
_ENGINES = 667


def _record(number: int) -> messages.MemberRecord:
    return messages.MemberRecord(
        incarnation.Incarnation(f"router-{number}", f"{number:016x}"),
        f"192.0.2.{number % 250}:7001",
        f"fd-{number % 18}",
        f"region-{number % 6}",
    )


def _vms(routers: int, engines: int) -> tuple[vm_list.Vm, ...]:
    live = vm_list.VmState.LIVE
    return (
        *(
            vm_list.Vm(
                f"router-{i}",
                f"192.0.2.{i % 250}:7001",
                f"fd-{i % 18}",
                f"region-{i % 6}",
                vm_list.VmRole.ROUTER,
                live,
            )
            for i in range(routers)
        ),
        *(
            vm_list.Vm(
                f"engine-{i}",
                f"192.0.2.{i % 250}:8001",
                f"fd-{i % 18}",
                f"region-{i % 6}",
                vm_list.VmRole.ENGINE,
                live,
            )
            for i in range(engines)
        ),
    )


def _make_tracker(routers: int, engines: int) -> tracker.Tracker:
    member_tracker = tracker.Tracker(
        config.MembershipConfig(), _record(0), random.Random(1)
    )
    member_tracker.on_vm_list(_vms(routers, engines), 0.0)
    for i in range(1, routers):
        beat = messages.Heartbeat(sender=_record(i), marks_digest=0)
        member_tracker.on_heartbeat(beat, 0.0, is_reply=True)
    return member_tracker


def _round_us(routers: int) -> tuple[float, float, float]:
    """Returns CPU time in microseconds, messages and bytes of one round."""
    member_tracker = _make_tracker(routers, 0)
    answer = messages.Heartbeat(sender=_record(1), marks_digest=0)
    now_s = 1.0
    sent = size = 0

    def step() -> None:
        nonlocal now_s, sent, size
        for _ in range(_ROUNDS):
            now_s += 1.0
            for _target in member_tracker.start_round(now_s):
                msg = member_tracker.make_heartbeat(now_s)
                member_tracker.on_heartbeat(answer, now_s, is_reply=True)
                sent += 1
                size += len(msgspec.msgpack.encode(msg))
            member_tracker.view(now_s)

    for _ in range(_WARM_UP_STEPS):
        step()
    sent = size = 0
    cpu = slope.cpu_us(step, _ROUNDS)
    rounds = _ROUNDS * slope.RUNS
    return cpu, sent / rounds, size / rounds


def measure() -> list[slope.Slope]:
    """Returns the costs of membership."""
    cpu_9, messages_9, _ = _round_us(9)
    cpu_n, messages_n, bytes_n = _round_us(_ROUTERS)
    return [
        slope.Slope("fleet.round.cpu_at_9", cpu_9, "us", "round"),
        slope.Slope("fleet.round.messages_at_9", messages_9, "1", "round"),
        slope.Slope(f"fleet.round.cpu_at_{_ROUTERS}", cpu_n, "us", "round"),
        slope.Slope(
            f"fleet.round.messages_at_{_ROUTERS}", messages_n, "1", "round"
        ),
        slope.Slope(
            f"fleet.round.body_bytes_at_{_ROUTERS}", bytes_n, "B", "round"
        ),
        slope.Slope(
            "fleet.view.cpu_per_vm",
            slope.cpu_us(
                lambda: _make_tracker(1, _ENGINES).view(1.0), _ENGINES
            ),
            "us",
            "VM and list read",
        ),
        slope.Slope(
            "fleet.vm.bytes",
            slope.retained_bytes(
                lambda: _make_tracker(_ROUTERS, _ENGINES),
                _ROUTERS + _ENGINES,
            ),
            "B",
            "VM",
        ),
    ]
