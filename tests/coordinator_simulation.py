"""Simulated key-value service, engines and weight store for coordinator tests.

The simulation runs in virtual time and executes one action after the other, so
that a test can delay an action and execute it later.
"""

from collections.abc import Mapping
from typing import Any

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.placement import actions
from hibiscuspass.core.placement import coordinator
from hibiscuspass.core.placement import desired
from hibiscuspass.core.placement import leadership
from hibiscuspass.core.placement import reconciler

LEASE_TTL_S = 10


@attrs.define
class FakeEngine:
    """An engine that checks or ignores fencing tokens."""

    checks_fence: bool
    state: engine.EngineState = attrs.field(
        factory=lambda: engine.EngineState(0, 0, {}, (), "serve")
    )
    loads: int = 0

    def apply(self, order: engine.Order) -> refusal.Refusal | None:
        """Applies an order, or refuses it if its fencing token is stale."""
        new = (order.fence, order.generation)
        if self.checks_fence and new < (
            self.state.fence,
            self.state.generation,
        ):
            return refusal.Refusal(reason_lib.Reason.STALE)
        self.loads += len(order.models.items() - self.state.models.items())
        self.state = engine.EngineState(
            order.fence,
            order.generation,
            dict(order.models),
            order.adapters,
            order.role,
        )
        return None


class Simulation:
    """Services and engines that the coordinators use, and the virtual time."""

    def __init__(self, checks_fence: bool, engines: int = 3) -> None:
        self.now_s = 0.0
        self.engines = {
            f"e{n}": FakeEngine(checks_fence) for n in range(engines)
        }
        self.is_kv_down = False
        self.lose_replies = False
        self.reservations: list[float] = []
        self._revision = 0
        self._keys: dict[str, kv_store.KeyValue] = {}
        self._leader_lease = 0
        self._leases: dict[int, float] = {}

    def execute(self, action: actions.Action) -> Any:
        """Executes an action now and returns its outcome."""
        if isinstance(action, actions.ReadState):
            return self.engines[action.backend].state
        if isinstance(action, actions.SendOrder):
            return self.engines[action.backend].apply(action.order)
        if isinstance(action, actions.ReserveLoad):
            return self._reserve()
        if self.is_kv_down:
            return refusal.Refusal(reason_lib.Reason.UNAVAILABLE)
        self._expire_leases()
        outcome = self._execute_kv(action)
        if self.lose_replies:
            return refusal.Refusal(reason_lib.Reason.TIMEOUT)
        return outcome

    def records(self) -> dict[str, desired.PlacementRecord | None]:
        """Returns the stored placement records by backend server."""
        prefix = reconciler.RECORD_PREFIX
        return {
            k.removeprefix(prefix): desired.decode(v.value)
            for k, v in self._keys.items()
            if k.startswith(prefix)
        }

    def _execute_kv(self, action: actions.Action) -> Any:
        match action:
            case actions.ReadLeader():
                return self._read(leadership.LEADER_KEY)
            case actions.ReadRecords():
                return self._read(reconciler.RECORD_PREFIX)
            case actions.GrantLease(ttl_s):
                self._leases[len(self._leases) + 1] = self.now_s + ttl_s
                return len(self._leases)
            case actions.CreateLeader(lease_id, value):
                result = self._swap(leadership.LEADER_KEY, 0, value)
                if result.succeeded:
                    self._leader_lease = lease_id
                return result
            case actions.KeepAlive(lease_id):
                if self._leases.get(lease_id, -1.0) <= self.now_s:
                    return refusal.Refusal(reason_lib.Reason.NOT_FOUND)
                self._leases[lease_id] = self.now_s + LEASE_TTL_S
                return LEASE_TTL_S
            case actions.WriteRecord(backend, expected, value):
                key = reconciler.RECORD_PREFIX + backend
                return self._swap(key, expected, value)
        raise AssertionError(action)

    def _expire_leases(self) -> None:
        if self._leases.get(self._leader_lease, 0.0) <= self.now_s:
            self._keys.pop(leadership.LEADER_KEY, None)

    def _read(self, prefix: str) -> kv_store.ReadResult:
        matching = [
            v for k, v in sorted(self._keys.items()) if k.startswith(prefix)
        ]
        return kv_store.ReadResult(tuple(matching), self._revision)

    def _swap(
        self, key: str, expected: int, value: bytes | None
    ) -> kv_store.CasResult:
        current = self._keys.get(key)
        if (current.revision if current else 0) != expected:
            return kv_store.CasResult(False, 0, current)
        self._revision += 1
        if value is None:
            self._keys.pop(key, None)
        else:
            self._keys[key] = kv_store.KeyValue(key, value, self._revision)
        return kv_store.CasResult(True, self._revision)

    def _reserve(self) -> refusal.Refusal | None:
        """Grants at most one load per second."""
        if self.reservations and self.now_s - self.reservations[-1] < 1.0:
            return refusal.Refusal(
                reason_lib.Reason.RATE_LIMITED, retry_after_s=1.0
            )
        self.reservations.append(self.now_s)
        return None


class SimulatedProcess:
    """One coordinator process with a fixed plan."""

    def __init__(
        self,
        simulation: Simulation,
        name: str,
        plan: Mapping[str, desired.DesiredState],
    ) -> None:
        self.state_machine = coordinator.Coordinator(name, LEASE_TTL_S, 1.0)
        self.state_machine.set_plan(plan)
        self.actions = 0
        self._simulation = simulation

    def next_action(self) -> actions.Action | None:
        """Returns the next action that is due without executing it."""
        return self.state_machine.next_action(self._simulation.now_s)

    def execute_action(self, action: actions.Action) -> None:
        """Executes an action that was returned earlier."""
        outcome = self._simulation.execute(action)
        self.state_machine.on_result(action, outcome, self._simulation.now_s)
        self.actions += 1

    def run_due_actions(self) -> None:
        """Executes all actions that are due."""
        while (action := self.next_action()) is not None:
            self.execute_action(action)


def run(
    simulation: Simulation, processes: list[SimulatedProcess], length_s: float
) -> None:
    """Runs processes concurrently for `length_s` seconds of virtual time."""
    end_s = simulation.now_s + length_s
    while simulation.now_s < end_s:
        for process in processes:
            process.run_due_actions()
        simulation.now_s += 0.25
