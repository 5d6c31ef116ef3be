"""Runs one completion on one or more engines."""

import asyncio
from typing import Any

from hibiscuspass.backends import engine
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.dispatch import completion
from hibiscuspass.core.dispatch import completion_progress
from hibiscuspass.core.dispatch import settlement
from hibiscuspass.core.routing import policy
from hibiscuspass.router import call_context
from hibiscuspass.router import interrupt
from hibiscuspass.router import parts as parts_lib
from hibiscuspass.router import permit_settler
from hibiscuspass.router import relay
from hibiscuspass.router import sink as sink_lib

Result = relay.StreamEnd | refusal.Refusal
# `Fail` is final; a `Refusal` may be followed by a resume or a retry.
_StepResult = Result | completion_progress.Fail


class CompletionRun:
    """Runs one completion from its first dispatch to its last event.

    Attributes:
      progress: Progress so far.
      caller_gone: Whether the caller disconnected, or stopped reading, before
        the end.
    """

    def __init__(
        self,
        parts: parts_lib.Parts,
        ctx: call_context.CallContext,
        workspace: workspace_lib.Workspace,
        call: completion.CompletionCall,
        *,
        progress: completion_progress.CompletionProgress,
        sink: sink_lib.Sink,
        settler: permit_settler.PermitSettler | None,
        interrupter: interrupt.Interrupter,
    ) -> None:
        self._parts = parts
        self._ctx = ctx
        self._workspace = workspace
        self._call = call
        self._sink = sink
        self._settler = settler
        self._interrupter = interrupter
        self._retries = 0
        self._dispatch_open = False
        self._limited = False
        self._failed = False
        self._relay = relay.Relay(
            progress,
            sink,
            interrupter,
            parts.limits,
            on_first_event=self._on_first_event,
            observe_gap=parts.metrics.observe_gap,
        )
        self.progress = progress
        self.caller_gone = False

    async def execute(self, action: completion_progress.Action) -> Result:
        """Executes actions, starting with `action`, until the run ends."""
        # Stays true if the task is cancelled because the caller disconnects.
        self.caller_gone = True
        result = await self._execute(action)
        self.caller_gone = result is relay.StreamEnd.CALLER_GONE
        self._limited = result is relay.StreamEnd.LIMITED
        self._failed = isinstance(result, refusal.Refusal)
        return result

    @property
    def has_permit(self) -> bool:
        """Whether the run has a permit."""
        return self._settler is not None

    def should_cancel_backend(self, *, keyed: bool) -> bool:
        """Returns whether the engine may generate output that nobody reads.

        A retry of a keyed request can still attach to the run on its engine,
        which is therefore cancelled only at the output limit.
        """
        if not self.progress.maybe_received:
            return False
        unused = self.caller_gone or self._failed
        return self._limited or (unused and not keyed)

    def continue_with(
        self, sink: sink_lib.Sink, interrupter: interrupt.Interrupter
    ) -> "CompletionRun":
        """Returns a run that continues the completion with another sink."""
        return CompletionRun(
            self._parts,
            self._ctx,
            self._workspace,
            self._call,
            progress=self.progress,
            sink=sink,
            settler=self._settler,
            interrupter=interrupter,
        )

    def usage(self) -> engine.Usage:
        """Returns the usage reported by the engine, or else a count."""
        return self.progress.usage or engine.Usage(
            prompt_tokens=self._call.prompt_tokens,
            output_tokens=self.progress.output_tokens,
        )

    async def _execute(self, action: completion_progress.Action) -> Result:
        while True:
            try:
                result: _StepResult | completion_progress.Action
                result = await self._step(action)
            except asyncio.CancelledError:
                cause = self._interrupter.take_cause()
                if cause is None:
                    self._record_finish(succeeded=True)
                    raise
                result = self._on_interrupt(cause)
            if isinstance(result, relay.StreamEnd):
                # A lost caller does not count as a failure of the backend.
                self._record_finish(succeeded=True)
                return result
            if isinstance(result, refusal.Refusal):
                result = self._next_action(result)
            if isinstance(result, completion_progress.Fail):
                # An invalid request does not count as a failure of the engine,
                # or one caller could get it ejected from routing.
                self._record_finish(
                    succeeded=completion_progress.is_fault_of_request(
                        result.refused
                    )
                )
                return result.refused
            action = result

    def settle(self) -> None:
        """Settles the permit, if any, with the cost known now."""
        if self._settler is None or self._settler.settled:
            return
        cost, kind = settlement.final_cost(
            self._call, self.progress, self._settler.permit.hold
        )
        self._settler.settle(cost, kind)
        self._emit(
            "permit.settled",
            grant_id=self._settler.permit.grant_id,
            cost=cost,
            cost_kind=kind.value,
        )

    async def cancel_backend(self, backend: str) -> None:
        """Asks an engine to cancel the request, if the engine is known."""
        client = self._parts.backends.engine(backend)
        if client is not None:
            self._emit("dispatch.cancelled", backend=backend)
            await client.cancel(
                self._ctx.request_id,
                timeout_s=self._parts.limits.cancel_timeout_s,
            )

    def _emit(self, kind: str, **fields: Any) -> None:
        self._parts.recorder.emit(
            kind,
            request_id=self._ctx.request_id,
            workspace=self._ctx.workspace,
            **fields,
        )

    def _on_interrupt(self, cause: interrupt.Cause) -> _StepResult:
        if cause is interrupt.Cause.SLOW_CALLER:
            return relay.StreamEnd.CALLER_GONE
        if cause is interrupt.Cause.SHUTDOWN:
            return completion_progress.Fail(self.shutdown_refusal())
        return refusal.Refusal(
            reason.Reason.BACKEND_TIMEOUT,
            f"backend {self.progress.backend!r} sent nothing for too long",
            run_state.RunState.UNKNOWN,
        )

    def shutdown_refusal(self) -> refusal.Refusal:
        """Returns the refusal of a call that the shutdown interrupted."""
        run = run_state.RunState.NO
        if self.progress.maybe_received:
            run = run_state.RunState.UNKNOWN
        if self.progress.has_output:
            run = run_state.RunState.YES
        return refusal.Refusal(
            reason.Reason.SHUTTING_DOWN,
            "the router stopped before the answer was complete",
            run,
        )

    def _next_action(
        self, refused: refusal.Refusal
    ) -> completion_progress.Action:
        failed = self.progress.backend
        action = self.progress.on_refusal(refused)
        self._retries += 1
        if isinstance(action, completion_progress.Resume):
            self._parts.metrics.resumes.labels(refused.reason.value).inc()
            self._emit(
                "stream.interrupted",
                backend=failed,
                reason=refused.reason.value,
                offset=action.offset,
            )
            return action
        if isinstance(action, completion_progress.Dispatch):
            return self._redispatch(action, failed, refused)
        return action

    def _redispatch(
        self,
        action: completion_progress.Dispatch,
        failed: str,
        refused: refusal.Refusal,
    ) -> completion_progress.Action:
        self._record_finish(succeeded=False)
        if not self._parts.retries.allow_retry():
            return self.progress.on_no_route(refused)
        self._parts.metrics.retries.inc()
        self._emit(
            "dispatch.retried", backend=failed, reason=refused.reason.value
        )
        if action.restart:
            self._sink.restart()
        if refused.run is not run_state.RunState.NO:
            task = asyncio.create_task(self.cancel_backend(failed))
            self._parts.lifecycle.spawn(task)
        return action

    async def _step(self, action: completion_progress.Action) -> _StepResult:
        if self._retries > 1:
            delay_s = self._parts.retries.delay_s(self._retries - 1)
            await asyncio.sleep(delay_s)
        if isinstance(action, completion_progress.Resume):
            return await self._resume(action)
        assert isinstance(action, completion_progress.Dispatch)
        return await self._dispatch(action)

    async def _resume(self, action: completion_progress.Resume) -> Result:
        client = self._parts.backends.engine(action.backend)
        if client is None:
            return refusal.Refusal(
                reason.Reason.NOT_FOUND,
                f"backend {action.backend!r} is not known",
            )
        prompt_pending = not self.progress.has_output
        return await self._relay.run(
            client.resume(
                self._ctx.request_id,
                action.offset,
                idle_timeout_s=self._relay.initial_timeout_s(
                    prompt_pending=prompt_pending
                ),
            ),
            prompt_pending=prompt_pending,
        )

    async def _dispatch(
        self, action: completion_progress.Dispatch
    ) -> _StepResult:
        query = self._query(action.excluded)
        now_s = asyncio.get_running_loop().time()
        route = self._parts.routing.choose(query, now_s)
        if isinstance(route, refusal.Refusal):
            return self.progress.on_no_route(route)
        client = self._parts.backends.engine(route.backend)
        if client is None:
            return self.progress.on_no_route(
                refusal.Refusal(
                    reason.Reason.NO_BACKEND,
                    f"backend {route.backend!r} left the fleet",
                )
            )
        self._record_dispatch(query, route, now_s)
        return await self._relay.run(
            client.complete(
                engine.EngineRequest(
                    request_id=self._ctx.request_id,
                    path=self._call.path,
                    body=self._call.body,
                    priority=self._workspace.priority,
                    output_limit=self._call.output_limit,
                ),
                idle_timeout_s=self._relay.initial_timeout_s(
                    prompt_pending=True
                ),
            ),
            prompt_pending=True,
        )

    def _query(self, excluded: frozenset[str]) -> policy.RouteQuery:
        return policy.RouteQuery(
            request_id=self._ctx.attempt_id,
            workspace=self._workspace.name,
            model=self._call.model.name,
            adapter=self._call.adapter,
            prompt_blocks=tuple(self._parts.hash_prefix(self._call.body)),
            prompt_tokens=self._call.likely_prompt_tokens,
            output_limit=self._call.output_limit,
            priority=self._workspace.priority,
            first_token_deadline_s=self._workspace.first_token_deadline_s,
            excluded=excluded,
        )

    def _record_dispatch(
        self, query: policy.RouteQuery, route: policy.Route, now_s: float
    ) -> None:
        if self._settler is not None:
            self._settler.mark_used(route.backend)
        self.progress.on_dispatch(route.backend)
        self._parts.routing.on_dispatch(query, route, now_s)
        self._dispatch_open = True
        self._ctx.run = run_state.RunState.UNKNOWN
        self._emit(
            "dispatch.sent",
            backend=route.backend,
            expected_first_token_s=route.expected_first_token_s,
        )

    def _record_finish(self, *, succeeded: bool) -> None:
        if self._dispatch_open:
            self._dispatch_open = False
            now_s = asyncio.get_running_loop().time()
            self._parts.routing.on_finish(
                self._ctx.attempt_id, succeeded, now_s
            )

    def _on_first_event(self, now_s: float) -> None:
        elapsed_s = now_s - self._ctx.started_s
        self._parts.routing.on_first_token(self._ctx.attempt_id, now_s)
        self._parts.metrics.first_token.observe(elapsed_s)
        self._emit(
            "stream.first_token",
            backend=self.progress.backend,
            elapsed_s=round(elapsed_s, 4),
        )
