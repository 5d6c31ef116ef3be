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

# Time until a failed call is repeated, in seconds.
_RETRY_S = 0.5
# Time for which an engine with a larger token than the leader's is left alone.
_STALE_PAUSE_S = 10.0
# Bounds the control traffic of the leader in large fleets.
_MAX_CHECKS_PER_S = 20.0


class _Step(enum.Enum):
    """What a backend server waits for."""

    WRITE = "write"
    CHECK = "check"
    LOAD = "load"
    ORDER = "order"


@attrs.define
class _Backend:
    revision: int = 0
    record: desired.Record | None = None
    step: _Step = _Step.CHECK
    next_s: float = float("-inf")
    busy: bool = False
    # Loads that the weight store granted and the engine hasn't reported yet.
    reserved: set[tuple[str, str]] = attrs.field(factory=set)
    missing: list[tuple[str, str]] = attrs.field(factory=list)


class Reconciler:
    """Writes records, compares reported with desired states, sends orders.

    Only what was written by compare-and-swap is ordered. Records of other
    terms are rewritten with this term's fencing token first, so that a write
    that an earlier leader has prepared fails.

    Attributes:
      is_stale: Whether something showed a larger fencing token; the leader
        must check its leadership.
    """

    def __init__(self, fence: int, check_interval_s: float) -> None:
        self.is_stale = False
        self._fence = fence
        self._check_interval_s = check_interval_s
        self._interval_s = check_interval_s
        self._backends: dict[str, _Backend] = {}
        self._plan: Mapping[str, desired.Desired] | None = None
        self._read = False
        self._reading = False
        self._next_read_s = float("-inf")
        self._store_next_s = float("-inf")

    def set_plan(self, plan: Mapping[str, desired.Desired]) -> None:
        """Sets the desired states; backend servers not in it are forgotten."""
        self._plan = plan
        self._interval_s = max(
            self._check_interval_s, len(plan) / _MAX_CHECKS_PER_S
        )
        for name in plan:
            self._backends.setdefault(name, _Backend())

    def records(self) -> dict[str, desired.Record]:
        """Returns the known records."""
        return {
            n: b.record
            for n, b in self._backends.items()
            if b.record is not None
        }

    def resume(self) -> None:
        """Goes on after the leadership was confirmed."""
        self.is_stale = False

    @property
    def has_records(self) -> bool:
        """Whether the records have been read."""
        return self._read

    def next_action(self, now_s: float) -> actions.Action | None:
        """Returns what to do now, None if nothing; one per backend server."""
        if self.is_stale:
            return None
        if not self._read:
            if self._reading or now_s < self._next_read_s:
                return None
            self._reading = True
            return actions.ReadRecords()
        if self._plan is None:
            return None
        for name, backend in self._backends.items():
            if backend.busy:
                continue
            action = self._action(name, backend, now_s)
            if action is not None:
                backend.busy = True
                return action
        return None

    def on_result(
        self, action: actions.Action, result: Any, now_s: float
    ) -> None:
        """Takes in the outcome of an action."""
        if isinstance(action, actions.ReadRecords):
            self._on_records(result, now_s)
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
        backend.busy = False
        match action:
            case actions.WriteRecord():
                self._on_written(name, backend, action, result, now_s)
            case actions.ReadState():
                self._on_state(backend, result, now_s)
            case actions.ReserveLoad():
                self._on_reserved(backend, action, result, now_s)
            case actions.SendOrder():
                self._on_ordered(backend, result, now_s)

    def _action(
        self, name: str, backend: _Backend, now_s: float
    ) -> actions.Action | None:
        assert self._plan is not None
        if now_s < backend.next_s and not self._must_write(name, backend):
            return None
        if self._must_write(name, backend):
            return self._write(name, backend, now_s)
        if backend.record is None:
            return None
        match backend.step:
            case _Step.LOAD if backend.missing:
                if now_s < self._store_next_s:
                    return None
                return actions.ReserveLoad(name, *backend.missing[0])
            case _Step.LOAD | _Step.ORDER:
                return actions.SendOrder(name, backend.record.order())
            case _:
                return actions.ReadState(name)

    def _must_write(self, name: str, backend: _Backend) -> bool:
        assert self._plan is not None
        wanted, record = self._plan.get(name), backend.record
        if wanted is None:
            return backend.revision > 0
        return (
            record is None
            or record.fence != self._fence
            or record.desired != wanted
        )

    def _write(
        self, name: str, backend: _Backend, now_s: float
    ) -> actions.Action | None:
        assert self._plan is not None
        if backend.step is _Step.WRITE and now_s < backend.next_s:
            return None
        wanted, record = self._plan.get(name), backend.record
        value = None
        if wanted is not None:
            generation = record.generation + 1 if record else 1
            value = desired.encode(
                desired.Record(self._fence, generation, wanted)
            )
        return actions.WriteRecord(name, backend.revision, value)

    def _on_records(
        self, result: kv_store.ReadResult | refusal.Refusal, now_s: float
    ) -> None:
        self._reading = False
        if isinstance(result, refusal.Refusal):
            self._next_read_s = now_s + _RETRY_S
            return
        self._read = True
        found = {e.key.removeprefix(RECORD_PREFIX): e for e in result.entries}
        for name, backend in self._backends.items():
            if name not in found:
                self._adopt(backend, None)
        for name, entry in found.items():
            backend = self._backends.setdefault(name, _Backend())
            self._adopt(backend, entry)

    def _adopt(
        self, backend: _Backend, entry: kv_store.KeyValue | None
    ) -> None:
        """Takes over what is stored for a backend server."""
        backend.revision = entry.revision if entry else 0
        backend.record = desired.decode(entry.value) if entry else None
        if backend.record is not None and backend.record.fence > self._fence:
            self.is_stale = True

    def _on_written(
        self,
        name: str,
        backend: _Backend,
        action: actions.WriteRecord,
        result: kv_store.CasResult | refusal.Refusal,
        now_s: float,
    ) -> None:
        if isinstance(result, refusal.Refusal):
            # It may have taken effect; the next attempt then fails and shows
            # what is stored.
            backend.step = _Step.WRITE
            backend.next_s = now_s + _RETRY_S
            return
        if not result.succeeded:
            self._adopt(backend, result.current)
            backend.next_s = now_s
            return
        if action.value is None:
            del self._backends[name]
            return
        backend.revision = result.revision
        backend.record = desired.decode(action.value)
        backend.step = _Step.CHECK
        backend.next_s = now_s

    def _on_state(
        self,
        backend: _Backend,
        result: engine.EngineState | refusal.Refusal,
        now_s: float,
    ) -> None:
        record = backend.record
        if isinstance(result, refusal.Refusal) or record is None:
            backend.next_s = now_s + self._interval_s
            return
        if result.fence > self._fence:
            self._suspect(backend, now_s)
            return
        wanted = {(m, v) for m, v in record.desired.models.items()}
        loaded = {(m, v) for m, v in result.models.items()}
        backend.reserved &= wanted - loaded
        if record.desired.matches(result):
            backend.next_s = now_s + self._interval_s
            return
        backend.missing = sorted(wanted - loaded - backend.reserved)
        backend.step = _Step.LOAD
        backend.next_s = now_s

    def _on_reserved(
        self,
        backend: _Backend,
        action: actions.ReserveLoad,
        result: refusal.Refusal | None,
        now_s: float,
    ) -> None:
        if result is not None:
            # The limit is the store's, so all backend servers wait.
            self._store_next_s = now_s + (result.retry_after_s or _RETRY_S)
            return
        weights = (action.model, action.version)
        backend.reserved.add(weights)
        backend.missing = [w for w in backend.missing if w != weights]

    def _on_ordered(
        self, backend: _Backend, result: refusal.Refusal | None, now_s: float
    ) -> None:
        backend.step = _Step.CHECK
        backend.next_s = now_s + self._interval_s
        if result is not None and result.reason is reason_lib.Reason.STALE:
            self._suspect(backend, now_s)

    def _suspect(self, backend: _Backend, now_s: float) -> None:
        """Stops until the leadership is checked.

        If this process still leads, the engine's token is from a service that
        was restored since; only this engine is left alone for a while.
        """
        self.is_stale = True
        backend.next_s = now_s + _STALE_PAUSE_S
