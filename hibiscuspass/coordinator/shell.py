"""Executes the actions of the coordinator state machine on asyncio."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import Any

from hibiscuspass.backends import engine as engine_lib
from hibiscuspass.backends import kv_store
from hibiscuspass.backends import weight_store as weight_store_lib
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.placement import actions
from hibiscuspass.core.placement import coordinator
from hibiscuspass.core.placement import leadership
from hibiscuspass.core.placement import reconciler
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib

_log = logs.get_logger(__name__)

_MAX_CONCURRENT_ACTIONS = 16
_POLL_INTERVAL_S = 0.1


class ActionExecutor:
    """Executes the actions of a `Coordinator` and reports their outcomes."""

    def __init__(
        self,
        state_machine: coordinator.Coordinator,
        store: kv_store.KvStore,
        weight_store: weight_store_lib.WeightStore,
        engines: Mapping[str, engine_lib.Engine],
        recorder: recorder_lib.Recorder,
        *,
        kv_timeout_s: float,
        timeout_s: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state_machine = state_machine
        self._store = store
        self._weight_store = weight_store
        self._engines = engines
        self._recorder = recorder
        self._kv_timeout_s = kv_timeout_s
        self._timeout_s = timeout_s
        self._monotonic = monotonic
        self._last_fence: int | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Executes due actions until cancelled."""
        try:
            while True:
                self._start_due_actions()
                if self._tasks:
                    await asyncio.wait(
                        self._tasks,
                        timeout=_POLL_INTERVAL_S,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                else:
                    await asyncio.sleep(_POLL_INTERVAL_S)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_due_actions(self) -> None:
        while len(self._tasks) < _MAX_CONCURRENT_ACTIONS:
            action = self._state_machine.next_action(self._monotonic())
            if action is None:
                return
            task = asyncio.create_task(self._execute_and_report(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _execute_and_report(self, action: actions.Action) -> None:
        try:
            result = await self._execute(action)
        except Exception:
            # An exception in an adapter must not stop the other actions.
            _log.exception("coordinator action failed", action=repr(action))
            result = refusal.Refusal(reason_lib.Reason.UNAVAILABLE)
        self._state_machine.on_result(action, result, self._monotonic())
        self._record_outcome(action, result)

    def _record_outcome(self, action: actions.Action, result: Any) -> None:
        fence = self._state_machine.fence
        if fence != self._last_fence:
            self._last_fence = fence
            _log.info("leadership changed", leads=fence is not None)
            self._recorder.emit("coordinator.term", fence=fence or 0)
        if isinstance(action, actions.SendOrder):
            failed = isinstance(result, refusal.Refusal)
            self._recorder.emit(
                "coordinator.order",
                backend=action.backend,
                fence=action.order.fence,
                generation=action.order.generation,
                outcome=result.reason.value if failed else "sent",
            )

    async def _execute(self, action: actions.Action) -> Any:
        match action:
            case actions.ReadState(name) | actions.SendOrder(name, _):
                engine = self._engines.get(name)
                if engine is None:
                    return refusal.Refusal(
                        reason_lib.Reason.NOT_FOUND,
                        f"engine {name!r} is not listed",
                    )
                if isinstance(action, actions.SendOrder):
                    return await engine.send_order(
                        action.order, timeout_s=self._timeout_s
                    )
                return await engine.state(timeout_s=self._timeout_s)
            case actions.ReserveLoad(_, model, version):
                return await self._weight_store.reserve_load(
                    model, version, timeout_s=self._timeout_s
                )
            case _:
                return await self._execute_kv(action)

    async def _execute_kv(self, action: actions.Action) -> Any:
        timeout_s = self._kv_timeout_s
        match action:
            case actions.ReadLeader():
                return await self._store.get(
                    leadership.LEADER_KEY, timeout_s=timeout_s
                )
            case actions.ReadRecords():
                return await self._store.get_prefix(
                    reconciler.RECORD_PREFIX, timeout_s=timeout_s
                )
            case actions.GrantLease(ttl_s):
                return await self._store.grant_lease(ttl_s, timeout_s=timeout_s)
            case actions.CreateLeader(lease_id, value):
                return await self._store.compare_and_swap(
                    leadership.LEADER_KEY,
                    0,
                    value,
                    lease_id=lease_id,
                    timeout_s=timeout_s,
                )
            case actions.KeepAlive(lease_id):
                return await self._store.keep_alive(
                    lease_id, timeout_s=timeout_s
                )
            case actions.WriteRecord(backend, revision, value):
                return await self._store.compare_and_swap(
                    reconciler.RECORD_PREFIX + backend,
                    revision,
                    value,
                    timeout_s=timeout_s,
                )
        raise AssertionError(f"unknown action {action!r}")
