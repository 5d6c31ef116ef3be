"""Handles completion calls from validation to permit settlement."""

import asyncio

from aiohttp import web
import attrs

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.dispatch import completion
from hibiscuspass.core.dispatch import completion_progress
from hibiscuspass.core.dispatch import early_refusal
from hibiscuspass.router import call_context
from hibiscuspass.router import caller_sinks
from hibiscuspass.router import completion_run
from hibiscuspass.router import intake
from hibiscuspass.router import interrupt
from hibiscuspass.router import parts as parts_lib
from hibiscuspass.router import permit_settler
from hibiscuspass.router import relay
from hibiscuspass.router import sink as sink_lib

CallResult = web.StreamResponse | refusal.Refusal

_ATTACH_RETRY_S = 1.0


@attrs.frozen(eq=False)
class _Call:
    """A validated call and its HTTP request."""

    req: web.Request
    ctx: call_context.CallContext
    workspace: workspace_lib.Workspace
    body: completion.CompletionCall


class CompletionHandler:
    """Serves `/v1/chat/completions` and `/v1/completions`."""

    def __init__(self, parts: parts_lib.Parts) -> None:
        self._parts = parts

    async def handle(
        self, req: web.Request, ctx: call_context.CallContext
    ) -> CallResult:
        """Returns the response or refusal of one call."""
        call = await self._validate(req, ctx)
        if isinstance(call, refusal.Refusal):
            return early_refusal.with_run_state(call, bool(ctx.key))
        self._parts.retries.on_request()
        if call.body.worst_case == 0:
            return await self._run_unpriced(call)
        if ctx.key:
            return await self._handle_keyed(call)
        return await self._handle_unkeyed(call)

    async def _validate(
        self, req: web.Request, ctx: call_context.CallContext
    ) -> _Call | refusal.Refusal:
        received = await intake.receive(req, ctx, self._parts)
        if isinstance(received, refusal.Refusal):
            return received
        parsed = completion.parse(
            req.path, received.body, received.workspace, self._parts.models
        )
        if isinstance(parsed, refusal.Refusal):
            return parsed
        return _Call(req, ctx, received.workspace, parsed)

    async def _run_unpriced(self, call: _Call) -> CallResult:
        """Runs a call of a model without prices, which needs no permit.

        Without a permit there is no record of earlier attempts with the same
        idempotency key.
        """
        keyed = bool(call.ctx.key)
        # The attempt id replaces the id derived from the key, because an engine
        # runs each request id only once and a retry can't attach here.
        call.ctx.request_id = call.ctx.attempt_id
        refused = await intake.wait_for_admission(
            self._parts, call.ctx, call.workspace
        )
        if refused is not None:
            return early_refusal.with_run_state(refused, keyed)
        try:
            answer = await self._run_on_engines(call, None)
        finally:
            self._parts.admission.leave(call.ctx.attempt_id)
        if isinstance(answer, refusal.Refusal) and keyed:
            return early_refusal.with_run_state(answer, keyed)
        return answer

    async def _handle_unkeyed(self, call: _Call) -> CallResult:
        refused = await intake.wait_for_admission(
            self._parts, call.ctx, call.workspace
        )
        if refused is not None:
            return refused
        try:
            permit = await self._acquire_permit(call)
            if isinstance(permit, refusal.Refusal):
                return attrs.evolve(permit, run=run_state.RunState.NO)
            if isinstance(permit, permit_lib.Attach):
                # The request id is new, so this is a fault of the grant holder.
                return _attach_refusal(permit)
            settler = permit_settler.PermitSettler(self._parts.budget, permit)
            return await self._run_on_engines(call, settler)
        finally:
            self._parts.admission.leave(call.ctx.attempt_id)

    async def _handle_keyed(self, call: _Call) -> CallResult:
        permit = await self._acquire_permit(call)
        if isinstance(permit, refusal.Refusal):
            return permit
        if isinstance(permit, permit_lib.Attach):
            return await self._attach_to_earlier_attempt(call, permit)
        if permit.backend:
            # The request already runs on this backend and needs no admission.
            settler = permit_settler.PermitSettler(self._parts.budget, permit)
            settler.mark_used(permit.backend)
            return await self._run_on_engines(call, settler)
        call.ctx.run = run_state.RunState.NO
        return await self._admit_and_run(call, permit)

    async def _admit_and_run(
        self, call: _Call, permit: permit_lib.Permit
    ) -> CallResult:
        settler = permit_settler.PermitSettler(self._parts.budget, permit)
        admitted = False
        try:
            refused = await intake.wait_for_admission(
                self._parts, call.ctx, call.workspace
            )
            if refused is not None:
                return refused
            admitted = True
            return await self._run_on_engines(call, settler)
        finally:
            if admitted:
                self._parts.admission.leave(call.ctx.attempt_id)
            else:
                call.ctx.after_response.append(
                    lambda: settler.settle(0, permit_lib.CostKind.COUNTED)
                )

    async def _acquire_permit(
        self, call: _Call
    ) -> permit_lib.Permit | permit_lib.Attach | refusal.Refusal:
        ctx = call.ctx
        outcome = await self._parts.budget.acquire(
            permit_lib.PermitRequest(
                request_id=ctx.request_id,
                attempt_id=ctx.attempt_id,
                workspace=call.workspace.name,
                worst_case=call.body.worst_case,
                keyed=bool(ctx.key),
                model=call.body.model.name,
            ),
            timeout_s=self._parts.limits.permit_timeout_s,
        )
        self._parts.recorder.emit(
            f"permit.{type(outcome).__name__.lower()}",
            request_id=ctx.request_id,
            workspace=ctx.workspace,
            grant_id=getattr(outcome, "grant_id", ""),
            worst_case=call.body.worst_case,
        )
        return outcome

    async def _attach_to_earlier_attempt(
        self, call: _Call, attach: permit_lib.Attach
    ) -> CallResult:
        refused = _attach_refusal(attach)
        if not attach.backend:
            return refused
        progress = completion_progress.CompletionProgress(
            call.body.output_limit, attached=refused
        )
        progress.on_earlier_run(attach.backend)
        call.ctx.run = refused.run
        sink = caller_sinks.make_sink(call.req, call.ctx, call.body)
        run = self._make_run(call, progress, sink, None)
        return await self._execute_and_respond(
            call, run, sink, completion_progress.Resume(attach.backend, 0)
        )

    async def _run_on_engines(
        self,
        call: _Call,
        settler: permit_settler.PermitSettler | None,
    ) -> CallResult:
        progress = completion_progress.CompletionProgress(
            call.body.output_limit,
            max_dispatches=self._parts.limits.max_dispatches,
            max_resumes=self._parts.limits.max_resumes,
        )
        action: completion_progress.Action = completion_progress.Dispatch(
            frozenset(), False
        )
        if settler is not None and settler.permit.backend:
            progress.on_earlier_run(settler.permit.backend)
            action = completion_progress.Resume(settler.permit.backend, 0)
        sink = caller_sinks.make_sink(call.req, call.ctx, call.body)
        run = self._make_run(call, progress, sink, settler)
        try:
            return await self._execute_and_respond(call, run, sink, action)
        finally:
            self._clean_up(call, run)

    def _make_run(
        self,
        call: _Call,
        progress: completion_progress.CompletionProgress,
        sink: sink_lib.Sink,
        settler: permit_settler.PermitSettler | None,
        interrupter: interrupt.Interrupter | None = None,
    ) -> completion_run.CompletionRun:
        return completion_run.CompletionRun(
            self._parts,
            call.ctx,
            call.workspace,
            call.body,
            progress=progress,
            sink=sink,
            settler=settler,
            interrupter=interrupter or call.ctx.interrupter,
        )

    async def _execute_and_respond(
        self,
        call: _Call,
        run: completion_run.CompletionRun,
        sink: caller_sinks.CallerSink,
        action: completion_progress.Action,
    ) -> CallResult:
        self._parts.metrics.open_streams += 1
        try:
            result = await run.execute(action)
        finally:
            self._parts.metrics.open_streams -= 1
            self._parts.metrics.tokens += run.progress.output_tokens
        if isinstance(result, refusal.Refusal):
            if await sink.fail(result) and sink.response is not None:
                call.ctx.failure = result
                return sink.response
            return result
        if result is relay.StreamEnd.CALLER_GONE:
            return intake.abort_connection(call.req, sink.response)
        run.settle()
        usage = run.usage()
        await sink.finish(usage, limited=result is relay.StreamEnd.LIMITED)
        assert sink.response is not None
        return sink.response

    def _clean_up(self, call: _Call, run: completion_run.CompletionRun) -> None:
        """Settles or cancels what is still open when a call ends."""
        spawn = self._parts.lifecycle.spawn
        progress = run.progress
        if (
            run.caller_gone
            and call.ctx.key
            and run.has_permit
            and progress.maybe_received
        ):
            # A retry with the same key attaches to this request, so it must run
            # to its end.
            spawn(
                asyncio.create_task(self._consume_remaining_events(call, run))
            )
            return
        if progress.maybe_received:
            run.settle()
        else:
            # Settling allows another attempt to run, so it must wait until the
            # response was sent.
            call.ctx.after_response.append(run.settle)
        if run.should_cancel_backend(
            keyed=bool(call.ctx.key) and run.has_permit
        ):
            spawn(asyncio.create_task(run.cancel_backend(progress.backend)))

    async def _consume_remaining_events(
        self, call: _Call, run: completion_run.CompletionRun
    ) -> None:
        """Reads a request without a caller to its end to learn its usage."""
        follow = run.continue_with(sink_lib.NullSink(), interrupt.Interrupter())
        try:
            await follow.execute(
                completion_progress.Resume(
                    run.progress.backend, run.progress.next_index
                )
            )
        finally:
            follow.settle()
        if follow.should_cancel_backend(keyed=True):
            await follow.cancel_backend(follow.progress.backend)


def _attach_refusal(attach: permit_lib.Attach) -> refusal.Refusal:
    if attach.settled:
        return refusal.Refusal(
            reason.Reason.ALREADY_COMPLETED,
            "a request with this idempotency key has completed and its answer"
            " is no longer kept",
            run_state.RunState.YES,
        )
    return refusal.Refusal(
        reason.Reason.IN_PROGRESS,
        "a request with this idempotency key is in progress",
        run_state.RunState.UNKNOWN,
        retry_after_s=_ATTACH_RETRY_S,
    )
