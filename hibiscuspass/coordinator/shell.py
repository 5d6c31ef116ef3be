"""Carries out the coordinator's actions on asyncio."""

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

_MAX_CONCURRENT = 16
_IDLE_S = 0.1


class Shell:
    """Runs one `Coordinator` machine."""

    def __init__(
        self,
        machine: coordinator.Coordinator,
        store: kv_store.KvStore,
        weights: weight_store_lib.WeightStore,
        engines: Mapping[str, engine_lib.Engine],
        recorder: recorder_lib.Recorder,
        *,
        kv_timeout_s: float,
        timeout_s: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._machine = machine
        self._store = store
        self._weights = weights
        self._engines = engines
        self._recorder = recorder
        self._kv_timeout_s = kv_timeout_s
        self._timeout_s = timeout_s
        self._monotonic = monotonic
        self._fence: int | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            while True:
                self._start_due()
                if self._tasks:
                    await asyncio.wait(
                        self._tasks,
                        timeout=_IDLE_S,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                else:
                    await asyncio.sleep(_IDLE_S)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_due(self) -> None:
        while len(self._tasks) < _MAX_CONCURRENT:
            action = self._machine.next_action(self._monotonic())
            if action is None:
                return
            task = asyncio.create_task(self._carry_out(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, action: actions.Action) -> None:
        try:
            result = await self._execute(action)
        except Exception:
            # A fault of an adapter must not stop the other actions.
            _log.exception("coordinator action failed", action=repr(action))
            result = refusal.Refusal(reason_lib.Reason.UNAVAILABLE)
        self._machine.on_result(action, result, self._monotonic())
        self._note(action, result)

    def _note(self, action: actions.Action, result: Any) -> None:
        fence = self._machine.fence
        if fence != self._fence:
            self._fence = fence
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
                return await self._weights.reserve_load(
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
