"""Brings engines to their desired state during one term of leadership."""

from collections.abc import Mapping
import enum
from typing import Any

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.placement import actions
from hibiscuspass.core.placement import desired

RECORD_PREFIX = "placement/"

# Delay before a failed read or write of records is retried, and a refused load
# reservation without a delay of its own. Failed engine calls are retried after
# the check interval.
_RETRY_S = 0.5
# Time without actions for an engine that reported a larger fencing token than
# the leader's.
_STALE_PAUSE_S = 10.0
# Limits the control traffic of the leader in large fleets, by a longer check
# interval.
_MAX_CHECKS_PER_S = 20.0


class _Step(enum.Enum):
    """What to do next for a backend server; a needed write comes first."""

    # Wait to repeat a write of the record that was refused or timed out.
    WRITE = "write"
    # Read the state that the engine reports.
    CHECK = "check"
    # Reserve the missing loads, then send the order.
    LOAD = "load"
    # Send the order.
    ORDER = "order"


@attrs.define
class _Backend:
    """Record and next action of one backend server."""

    revision: int = 0
    record: desired.PlacementRecord | None = None
    step: _Step = _Step.CHECK
    next_action_s: float = float("-inf")
    action_pending: bool = False
    # Model versions whose load the weight store has granted and that the
    # engine doesn't report as loaded yet.
    reserved_loads: set[tuple[str, str]] = attrs.field(factory=set)
    # Model versions to reserve a load for before the next order.
    missing_loads: list[tuple[str, str]] = attrs.field(factory=list)


class Reconciler:
    """Writes records, compares reported with desired states, sends orders.

    An order is sent only after its record was written by compare-and-swap.
    Records of other terms are first rewritten with the fencing token of this
    term, so that a pending write of an earlier leader fails.

    Attributes:
      is_stale: Whether a record or an engine had a larger fencing token. No
        action is returned until the leadership is verified.
    """

    def __init__(self, fence: int, check_interval_s: float) -> None:
        self.is_stale = False
        self._fence = fence
        self._check_interval_s = check_interval_s
        self._scaled_interval_s = check_interval_s
        self._backends: dict[str, _Backend] = {}
        self._plan: Mapping[str, desired.DesiredState] | None = None
        self._has_read_records = False
        self._read_pending = False
        self._next_read_s = float("-inf")
        self._next_reservation_s = float("-inf")

    def set_plan(self, plan: Mapping[str, desired.DesiredState]) -> None:
        """Sets the desired states; records of other servers are deleted."""
        self._plan = plan
        self._scaled_interval_s = max(
            self._check_interval_s, len(plan) / _MAX_CHECKS_PER_S
        )
        for name in plan:
            self._backends.setdefault(name, _Backend())

    def records(self) -> dict[str, desired.PlacementRecord]:
        """Returns the records by backend server, as last read or written."""
        return {
            n: b.record
            for n, b in self._backends.items()
            if b.record is not None
        }

    def resume(self) -> None:
        """Resumes reconciliation after the leadership was verified."""
        self.is_stale = False

    @property
    def has_records(self) -> bool:
        """Whether the records have been read."""
        return self._has_read_records

    def next_action(self, now_s: float) -> actions.Action | None:
        """Returns the next action that is due, or None.

        At most one action per backend server is in progress.
        """
        if self.is_stale:
            return None
        if not self._has_read_records:
            if self._read_pending or now_s < self._next_read_s:
                return None
            self._read_pending = True
            return actions.ReadRecords()
        if self._plan is None:
            return None
        for name, backend in self._backends.items():
            if backend.action_pending:
                continue
            action = self._next_backend_action(name, backend, now_s)
            if action is not None:
                backend.action_pending = True
                return action
        return None

    def on_result(
        self, action: actions.Action, result: Any, now_s: float
    ) -> None:
        """Processes the outcome of an action."""
        if isinstance(action, actions.ReadRecords):
            self._on_records_read(result, now_s)
            return
        assert isinstance(
            action,
            actions.WriteRecord
            | actions.ReadState
            | actions.ReserveLoad
            | actions.SendOrder,
        )
        name = action.backend
        backend = self._backends.get(name)
        if backend is None:
            return
        backend.action_pending = False
        match action:
            case actions.WriteRecord():
                self._on_record_written(name, backend, action, result, now_s)
            case actions.ReadState():
                self._on_engine_state(backend, result, now_s)
            case actions.ReserveLoad():
                self._on_load_reserved(backend, action, result, now_s)
            case actions.SendOrder():
                self._on_order_sent(backend, result, now_s)

    def _next_backend_action(
        self, name: str, backend: _Backend, now_s: float
    ) -> actions.Action | None:
        assert self._plan is not None
        if now_s < backend.next_action_s and not self._needs_write(
            name, backend
        ):
            return None
        if self._needs_write(name, backend):
            return self._make_write(name, backend, now_s)
        if backend.record is None:
            return None
        match backend.step:
            case _Step.LOAD if backend.missing_loads:
                if now_s < self._next_reservation_s:
                    return None
                return actions.ReserveLoad(name, *backend.missing_loads[0])
            case _Step.LOAD | _Step.ORDER:
                return actions.SendOrder(name, backend.record.order())
            case _:
                return actions.ReadState(name)

    def _needs_write(self, name: str, backend: _Backend) -> bool:
        assert self._plan is not None
        target, record = self._plan.get(name), backend.record
        if target is None:
            return backend.revision > 0
        return (
            record is None
            or record.fence != self._fence
            or record.desired != target
        )

    def _make_write(
        self, name: str, backend: _Backend, now_s: float
    ) -> actions.Action | None:
        assert self._plan is not None
        if backend.step is _Step.WRITE and now_s < backend.next_action_s:
            return None
        target, record = self._plan.get(name), backend.record
        value = None
        if target is not None:
            generation = record.generation + 1 if record else 1
            value = desired.encode(
                desired.PlacementRecord(self._fence, generation, target)
            )
        return actions.WriteRecord(name, backend.revision, value)

    def _on_records_read(
        self, result: kv_store.ReadResult | refusal.Refusal, now_s: float
    ) -> None:
        self._read_pending = False
        if isinstance(result, refusal.Refusal):
            self._next_read_s = now_s + _RETRY_S
            return
        self._has_read_records = True
        entries = {e.key.removeprefix(RECORD_PREFIX): e for e in result.entries}
        for name, backend in self._backends.items():
            if name not in entries:
                self._adopt_entry(backend, None)
        for name, entry in entries.items():
            backend = self._backends.setdefault(name, _Backend())
            self._adopt_entry(backend, entry)

    def _adopt_entry(
        self, backend: _Backend, entry: kv_store.KeyValue | None
    ) -> None:
        """Sets the record of a backend server from its stored entry."""
        backend.revision = entry.revision if entry else 0
        backend.record = desired.decode(entry.value) if entry else None
        if backend.record is not None and backend.record.fence > self._fence:
            self.is_stale = True

    def _on_record_written(
        self,
        name: str,
        backend: _Backend,
        action: actions.WriteRecord,
        result: kv_store.CasResult | refusal.Refusal,
        now_s: float,
    ) -> None:
        if isinstance(result, refusal.Refusal):
            # The write may have taken effect. In that case the next attempt
            # fails and returns the stored entry.
            backend.step = _Step.WRITE
            backend.next_action_s = now_s + _RETRY_S
            return
        if not result.succeeded:
            self._adopt_entry(backend, result.current)
            backend.next_action_s = now_s
            return
        if action.value is None:
            del self._backends[name]
            return
        backend.revision = result.revision
        backend.record = desired.decode(action.value)
        backend.step = _Step.CHECK
        backend.next_action_s = now_s

    def _on_engine_state(
        self,
        backend: _Backend,
        result: engine.EngineState | refusal.Refusal,
        now_s: float,
    ) -> None:
        record = backend.record
        if isinstance(result, refusal.Refusal) or record is None:
            backend.next_action_s = now_s + self._scaled_interval_s
            return
        if result.fence > self._fence:
            self._pause_for_verification(backend, now_s)
            return
        desired_versions = {(m, v) for m, v in record.desired.models.items()}
        loaded_versions = {(m, v) for m, v in result.models.items()}
        backend.reserved_loads &= desired_versions - loaded_versions
        if record.desired.matches(result):
            backend.next_action_s = now_s + self._scaled_interval_s
            return
        backend.missing_loads = sorted(
            desired_versions - loaded_versions - backend.reserved_loads
        )
        backend.step = _Step.LOAD
        backend.next_action_s = now_s

    def _on_load_reserved(
        self,
        backend: _Backend,
        action: actions.ReserveLoad,
        result: refusal.Refusal | None,
        now_s: float,
    ) -> None:
        if result is not None:
            # The weight store limits loads for the whole fleet, so the
            # reservations for all backend servers wait.
            self._next_reservation_s = now_s + (
                result.retry_after_s or _RETRY_S
            )
            return
        weights = (action.model, action.version)
        backend.reserved_loads.add(weights)
        backend.missing_loads = [
            w for w in backend.missing_loads if w != weights
        ]

    def _on_order_sent(
        self, backend: _Backend, result: refusal.Refusal | None, now_s: float
    ) -> None:
        backend.step = _Step.CHECK
        backend.next_action_s = now_s + self._scaled_interval_s
        if result is not None and result.reason is reason_lib.Reason.STALE:
            self._pause_for_verification(backend, now_s)

    def _pause_for_verification(self, backend: _Backend, now_s: float) -> None:
        """Pauses all actions until the leadership is verified.

        If this process still leads, the larger fencing token of the engine
        dates from before the key-value service was restored. Then only this
        engine stays paused, for `_STALE_PAUSE_S`.
        """
        self.is_stale = True
        backend.next_action_s = now_s + _STALE_PAUSE_S
