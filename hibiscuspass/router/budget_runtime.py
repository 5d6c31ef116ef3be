"""Runs a budget node on asyncio.

Executes the node's actions at the key-value service and the peer transport,
and passes their results back to the node as events.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from reactivex import abc as rx_abc
from reactivex import disposable
from reactivex.scheduler import eventloop
import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import events
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node as node_lib
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import timing as timing_lib
from hibiscuspass.peers import codec
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.router import budget_service
from hibiscuspass.router import config_source
from hibiscuspass.router import fleet_source
from hibiscuspass.settings import budgets
from hibiscuspass.telemetry import recorder as recorder_lib

_logger = structlog.get_logger(__name__)

# The node repeats requests that still matter, so a longer timeout would only
# occupy resources.
_REQUEST_TIMEOUT_S = 1.0
_KV_TIMEOUT_S = 2.0
# Added to the expiry of a permit request, for the transfer of the reply.
_ASK_REPLY_MARGIN_S = 0.2
# Sender of the report requests that this process makes to itself.
_LOCAL_SENDER = incarnation.Incarnation("local", "report")

for _type in messages.MESSAGE_TYPES:
    codec.DEFAULT.add(_type)

_ReplyKey = tuple[incarnation.Incarnation, int]


class BudgetRuntime(budget_service.BudgetService):
    """Executes the actions of a budget node.

    All methods are called on the event loop's thread.
    """

    def __init__(
        self,
        node: node_lib.BudgetNode,
        *,
        kv: kv_store.KvStore,
        transport: transport_lib.Transport,
        fleet: fleet_source.FleetSource,
        recorder: recorder_lib.Recorder,
    ) -> None:
        self._node = node
        self._process = node.ctx.own
        self._kv = kv
        self._transport = transport
        self._fleet = fleet
        self._recorder = recorder
        self._pending_acquires: dict[str, asyncio.Future[actions.Outcome]] = {}
        self._pending_replies: dict[
            _ReplyKey, list[asyncio.Future[message.Message]]
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._drained = asyncio.Event()
        self._subscription: rx_abc.DisposableBase | None = None
        self._timer = disposable.SerialDisposable()
        self._wake_at_s: float | None = None
        for msg_type in messages.REQUEST_TYPES:
            transport.register(msg_type, self._handle_request)

    def start(self) -> None:
        """Subscribes to changes of the fleet; call it inside the event loop."""
        self._scheduler = eventloop.AsyncIOScheduler(asyncio.get_running_loop())
        self._subscription = self._fleet.changes().subscribe(
            on_next=lambda view: self._handle_event(events.FleetChanged(view))
        )

    async def close(self) -> None:
        """Stops all activity without returning grants; see `drain`."""
        if self._subscription is not None:
            self._subscription.dispose()
        self._timer.dispose()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Implementation of `BudgetService`.

    async def acquire(
        self, req: permit_lib.PermitRequest, *, timeout_s: float
    ) -> actions.Outcome:
        """See `BudgetService.acquire`.

        Raises:
          ValueError: An acquisition with this attempt id is in progress.
        """
        if req.attempt_id in self._pending_acquires:
            raise ValueError(
                f"attempt id {req.attempt_id!r} is in use; each must be new"
            )
        fut = asyncio.get_running_loop().create_future()
        self._pending_acquires[req.attempt_id] = fut
        try:
            self._handle_event(events.Acquire(req, self._now_s() + timeout_s))
            return await fut
        except asyncio.CancelledError:
            self._handle_event(events.Cancel(req.attempt_id))
            raise
        finally:
            del self._pending_acquires[req.attempt_id]

    def mark_used(self, permit: permit_lib.Permit, backend: str) -> None:
        """See `BudgetService.mark_used`."""
        self._handle_event(events.MarkUsed(permit, backend))

    def settle(
        self,
        permit: permit_lib.Permit,
        cost: int,
        kind: permit_lib.CostKind,
    ) -> None:
        """See `BudgetService.settle`."""
        self._handle_event(events.Settle(permit, cost, kind))

    async def drain(self, *, timeout_s: float) -> bool:
        """See `BudgetService.drain`."""
        self._handle_event(events.Drain())
        try:
            await asyncio.wait_for(self._drained.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    # Further operations.

    def keep_reserves(self, workspaces: Iterable[str]) -> None:
        """Sets the workspaces whose standing reserves the node maintains."""
        self._handle_event(events.KeepReserves(tuple(workspaces)))

    async def report(self, workspace: str) -> messages.Report | None:
        """Returns the current state of a workspace's budget.

        Returns None if the report is not complete in time.
        """
        msg = messages.ReportRequest(self._node.ctx.next_id(), workspace)
        reply = await self._handle_request(_LOCAL_SENDER, msg)
        return reply if isinstance(reply, messages.Report) else None

    # Internals.

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _handle_event(self, event: events.Event) -> None:
        for action in self._node.handle(event, self._now_s()):
            self._execute(action)
        self._schedule()

    def _schedule(self) -> None:
        at_s = self._node.next_wake_s()
        if at_s == self._wake_at_s:
            return
        self._wake_at_s = at_s
        if at_s is None:
            self._timer.disposable = disposable.Disposable()
            return
        self._timer.disposable = self._scheduler.schedule_relative(
            max(0.0, at_s - self._now_s()), self._tick
        )

    def _tick(self, *_: Any) -> None:
        self._wake_at_s = None
        self._handle_event(events.Tick())

    def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.Send):
            self._send(action)
        elif isinstance(action, actions.KvCas):
            self._spawn(self._compare_and_swap(action))
        elif isinstance(action, actions.KvRead):
            self._spawn(self._read_key(action))
        elif isinstance(action, actions.FinishAcquire):
            fut = self._pending_acquires.get(action.attempt_id)
            if fut is not None and not fut.done():
                fut.set_result(action.outcome)
        elif isinstance(action, actions.Drained):
            self._drained.set()
        else:
            self._recorder.emit(
                action.kind,
                request_id=action.request_id,
                workspace=action.workspace,
                grant_id=action.grant_id,
                **action.fields,
            )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error("budget task failed", exc_info=task.exception())

    def _send(self, action: actions.Send) -> None:
        if isinstance(action.msg, message.Reply):
            key = (action.to, action.msg.ask_id)
            for fut in self._pending_replies.pop(key, ()):
                if not fut.done():
                    fut.set_result(action.msg)
        elif isinstance(action.msg, message.Request):
            self._spawn(self._send_request(action.to, action.msg))

    async def _send_request(
        self, to: incarnation.Incarnation, msg: message.Request
    ) -> None:
        address = self._node.ctx.fleet.address(to)
        if address is None:
            self._handle_event(events.SendFailed(to, msg))
            return
        timeout_s = _REQUEST_TIMEOUT_S
        if isinstance(msg, messages.Ask):
            timeout_s = self._node.ctx.timing.ask_expiry_s + _ASK_REPLY_MARGIN_S
        reply = await self._transport.request(address, msg, timeout_s=timeout_s)
        if not isinstance(reply, refusal.Refusal):
            self._handle_event(events.Received(to, reply))
        elif reply.reason is reason_lib.Reason.UNAVAILABLE:
            self._handle_event(events.SendFailed(to, msg))

    async def _handle_request(
        self, sender: incarnation.Incarnation, msg: Any
    ) -> message.Message:
        """Handles a request and waits until the node replies.

        The node may reply during a later event.

        Returns:
          The reply; `Done` if there was none in time or the request is for an
          earlier incarnation of this process.
        """
        if isinstance(msg, message.Request) and msg.to != self._process:
            # The earlier incarnation that it was sent to has lost its state.
            return messages.Done(msg.ask_id)
        fut: asyncio.Future[message.Message]
        fut = asyncio.get_running_loop().create_future()
        waiting = self._pending_replies.setdefault((sender, msg.ask_id), [])
        waiting.append(fut)
        self._handle_event(events.Received(sender, msg))
        timeout_s = self._node.ctx.timing.ask_expiry_s + _ASK_REPLY_MARGIN_S
        try:
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError:
            return messages.Done(msg.ask_id)
        finally:
            # After a reply the list is already removed; after a timeout or a
            # cancellation it may contain other requests.
            remaining = self._pending_replies.get((sender, msg.ask_id))
            if remaining is not None and fut in remaining:
                remaining.remove(fut)
                if not remaining:
                    del self._pending_replies[sender, msg.ask_id]

    async def _read_key(self, action: actions.KvRead) -> None:
        result: kv_store.ReadResult | refusal.Refusal
        try:
            result = await self._kv.get(action.key, timeout_s=_KV_TIMEOUT_S)
        except Exception as exc:  # An adapter error must not stop the node.
            _logger.error("key-value read failed", key=action.key, exc_info=exc)
            result = refusal.Refusal(reason_lib.Reason.TIMEOUT)
        self._handle_event(events.KvReadDone(action.token, result))

    async def _compare_and_swap(self, action: actions.KvCas) -> None:
        result: kv_store.CasResult | refusal.Refusal
        try:
            result = await self._kv.compare_and_swap(
                action.key,
                action.expected_revision,
                action.value,
                timeout_s=_KV_TIMEOUT_S,
            )
        except Exception as exc:  # The outcome of the write is unknown.
            _logger.error(
                "key-value write failed", key=action.key, exc_info=exc
            )
            result = refusal.Refusal(reason_lib.Reason.TIMEOUT)
        self._handle_event(events.KvCasDone(action.token, result))


def make_budget_runtime(
    own: incarnation.Incarnation,
    *,
    kv: kv_store.KvStore,
    transport: transport_lib.Transport,
    fleet: fleet_source.FleetSource,
    config: config_source.ConfigSource,
    recorder: recorder_lib.Recorder,
    timing: timing_lib.BudgetTiming | None = None,
) -> BudgetRuntime:
    """Returns a runtime that has not been started.

    Create it before the transport starts, because it registers the handlers of
    `messages.REQUEST_TYPES`.
    """
    node = node_lib.BudgetNode(own, config.workspace, timing)
    return BudgetRuntime(
        node, kv=kv, transport=transport, fleet=fleet, recorder=recorder
    )


def make_timing(settings: budgets.BudgetSettings) -> timing_lib.BudgetTiming:
    """Returns the timing of a budget node from its settings."""
    return timing_lib.BudgetTiming(
        flush_interval_s=settings.flush_interval_s,
        ask_timeout_s=settings.permit_timeout_s,
        # Below the permit timeout, so that the answer, also after a recall,
        # arrives while the entry router still waits.
        ask_expiry_s=settings.permit_timeout_s * 0.9,
        recall_wait_s=settings.permit_timeout_s / 4,
        orphan_window_s=settings.orphan_window_s,
        dedup_retention_s=settings.dedup_retention_s,
    )
