"""Handles calls of plain services; claims non-repeatable ones."""

import asyncio
from collections.abc import Mapping
import random
from typing import Any

from aiohttp import web
import attrs

from hibiscuspass.backends import service
from hibiscuspass.core import claim
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.dispatch import early_refusal
from hibiscuspass.core.dispatch import model_spec
from hibiscuspass.core.dispatch import service_path
from hibiscuspass.router import body_hold
from hibiscuspass.router import call_context
from hibiscuspass.router import claims as claims_lib
from hibiscuspass.router import http_response
from hibiscuspass.router import intake
from hibiscuspass.router import parts as parts_lib
from hibiscuspass.router import permit_settler

CallResult = web.StreamResponse | refusal.Refusal
_Outcome = service.ServiceResponse | refusal.Refusal

# Headers that are not forwarded: hop-by-hop fields (RFC 9110, section 7.6.1),
# the caller's secret, and fields that the HTTP library or the router sets.
_DROPPED_HEADERS = frozenset(
    {
        "authorization", "connection", "content-encoding", "content-length",
        "date", "expect", "host", "keep-alive", "proxy-authenticate",
        "proxy-authorization", "proxy-connection", "server", "te", "trailer",
        "transfer-encoding", "upgrade", "accept-encoding",
        "x-request-id", "x-run",
    }
)  # fmt: skip


@attrs.frozen(eq=False)
class _Call:
    """A validated service call."""

    ctx: call_context.CallContext
    workspace: workspace_lib.Workspace
    hold: body_hold.BodyHold
    spec: model_spec.ServiceSpec
    request: service.ServiceRequest
    non_repeatable: bool


class ServiceHandler:
    """Serves `/services/<service>/<path>`."""

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
        if call.non_repeatable:
            return await self._run_claimed(call)
        outcome = await self._run_admitted(call)
        if isinstance(outcome, refusal.Refusal):
            return self._refusal_without_claim(call, outcome)
        return _response(call, outcome.status, outcome.headers, outcome.body)

    async def _validate(
        self, req: web.Request, ctx: call_context.CallContext
    ) -> _Call | refusal.Refusal:
        received = await intake.receive(req, ctx, self._parts)
        if isinstance(received, refusal.Refusal):
            return received
        name = req.match_info["service"]
        spec = self._find_spec(name, received.workspace)
        if isinstance(spec, refusal.Refusal):
            return spec
        raw_path = _path_in_service(req.rel_url.raw_path_qs, req)
        if not service_path.is_unambiguous(raw_path.partition("?")[0]):
            return refusal.Refusal(
                reason.Reason.INVALID_REQUEST,
                f"path {raw_path[:200]!r} has empty, relative or encoded"
                " segments",
            )
        non_repeatable = service_path.is_non_repeatable(
            received.workspace,
            name,
            req.method,
            _path_in_service(req.path, req),
        )
        if non_repeatable and not ctx.key:
            return refusal.Refusal(
                reason.Reason.IDEMPOTENCY_KEY_REQUIRED,
                "this call must not be repeated and needs an"
                " 'Idempotency-Key' header",
            )
        return _Call(
            ctx,
            received.workspace,
            received.hold,
            spec,
            service.ServiceRequest(
                request_id=ctx.request_id,
                method=req.method,
                path=raw_path,
                headers=_forwardable_headers(req.headers),
                body=received.body,
            ),
            non_repeatable,
        )

    def _find_spec(
        self, name: str, workspace: workspace_lib.Workspace
    ) -> model_spec.ServiceSpec | refusal.Refusal:
        spec = self._parts.services.get(name)
        if spec is None or name not in workspace.services:
            return refusal.Refusal(
                reason.Reason.UNKNOWN_SERVICE,
                f"service {name[:100]!r} is not available to this workspace,"
                f" allowed: {', '.join(sorted(workspace.services)) or 'none'}",
            )
        return spec

    def _refusal_without_claim(
        self, call: _Call, refused: refusal.Refusal
    ) -> refusal.Refusal:
        # A call without a cost has no permit, hence no record of earlier
        # attempts with the same key.
        if call.ctx.key and call.spec.call_cost == 0:
            return early_refusal.with_run_state(refused, keyed=True)
        return refused

    async def _run_claimed(self, call: _Call) -> CallResult:
        ctx, request = call.ctx, call.request
        acquired = await self._parts.claims.acquire(
            claim.claim_key(call.workspace.name, ctx.key),
            ctx.attempt_id,
            claim.fingerprint(request.method, request.path, request.body),
        )
        if isinstance(acquired, refusal.Refusal):
            self._emit(call, "claim.refused", reason=acquired.reason.value)
            return acquired
        if isinstance(acquired, claim.Replay):
            self._emit(call, "claim.replayed", status=acquired.outcome.status)
            stored = acquired.outcome
            return _response(
                call, stored.status, stored.headers, stored.body or b""
            )
        self._emit(call, "claim.created")
        # Both tasks continue if the caller disconnects, so that the outcome is
        # stored for duplicates of the call.
        run_task = asyncio.create_task(self._run_after_claim(call))
        call.hold.retain()
        run_task.add_done_callback(lambda _: call.hold.release())
        response_sent = asyncio.Event()
        call.ctx.after_response.append(response_sent.set)
        store_task = asyncio.create_task(
            self._store_outcome(call, acquired, run_task, response_sent)
        )
        self._parts.lifecycle.spawn(store_task)
        outcome = await asyncio.shield(run_task)
        if isinstance(outcome, refusal.Refusal):
            if outcome.run is not run_state.RunState.NO:
                await asyncio.shield(store_task)
            return outcome
        await asyncio.shield(store_task)
        return _response(call, outcome.status, outcome.headers, outcome.body)

    async def _run_after_claim(self, call: _Call) -> _Outcome:
        call.ctx.run = run_state.RunState.NO
        return await self._run_admitted(call)

    async def _store_outcome(
        self,
        call: _Call,
        held_claim: claims_lib.Claim,
        run_task: asyncio.Task[_Outcome],
        response_sent: asyncio.Event,
    ) -> None:
        outcome = await run_task
        if isinstance(outcome, refusal.Refusal):
            self._emit(call, "claim.finished", run=outcome.run.value)
            await self._parts.claims.store_or_release(
                held_claim, outcome, response_sent
            )
            return
        self._emit(call, "claim.finished", run="yes", status=outcome.status)
        stored = claim.StoredOutcome(
            outcome.status, _forwardable_headers(outcome.headers), outcome.body
        )
        await self._parts.claims.store_or_release(
            held_claim, stored, response_sent
        )

    async def _run_admitted(self, call: _Call) -> _Outcome:
        refused = await intake.wait_for_admission(
            self._parts, call.ctx, call.workspace
        )
        if refused is not None:
            return refused
        try:
            if call.spec.call_cost == 0:
                return await self._dispatch(call, None)
            return await self._acquire_permit_and_run(call)
        finally:
            self._parts.admission.leave(call.ctx.attempt_id)

    async def _acquire_permit_and_run(self, call: _Call) -> _Outcome:
        # The claim already detects duplicates of a non-repeatable call.
        keyed = bool(call.ctx.key) and not call.non_repeatable
        permit = await self._parts.budget.acquire(
            permit_lib.PermitRequest(
                request_id=call.ctx.request_id,
                attempt_id=call.ctx.attempt_id,
                workspace=call.workspace.name,
                worst_case=call.spec.call_cost,
                keyed=keyed,
                model=call.spec.name,
            ),
            timeout_s=self._parts.limits.permit_timeout_s,
        )
        if isinstance(permit, permit_lib.Attach):
            return _attach_refusal(permit)
        if isinstance(permit, refusal.Refusal):
            if keyed:
                return permit
            return attrs.evolve(permit, run=run_state.RunState.NO)
        return await self._run_with_permit(call, permit)

    async def _run_with_permit(
        self, call: _Call, permit: permit_lib.Permit
    ) -> _Outcome:
        settler = permit_settler.PermitSettler(self._parts.budget, permit)
        # A call with an unknown outcome may have run and costs the full price.
        cost = call.spec.call_cost
        try:
            if permit.backend:
                # An earlier attempt was sent to a server, and plain services
                # can't resume a call.
                return refusal.Refusal(
                    reason.Reason.BACKEND_LOST,
                    "an earlier attempt was sent and never answered",
                    run_state.RunState.UNKNOWN,
                )
            outcome = await self._dispatch(call, settler)
            if (
                isinstance(outcome, refusal.Refusal)
                and outcome.run is run_state.RunState.NO
            ):
                cost = 0
            return outcome
        finally:
            settler.settle(cost, permit_lib.CostKind.COUNTED)

    async def _dispatch(
        self, call: _Call, settler: permit_settler.PermitSettler | None
    ) -> _Outcome:
        servers = list(self._parts.backends.available_servers(call.spec.name))
        random.shuffle(servers)
        outcome: _Outcome = refusal.Refusal(
            reason.Reason.NO_BACKEND,
            f"no server of service {call.spec.name!r} accepts work",
            retry_after_s=1.0,
        )
        for retry, server in enumerate(servers):
            if retry and not await self._wait_before_retry(retry):
                break
            outcome = await self._send(call, settler, server)
            if (
                not isinstance(outcome, refusal.Refusal)
                or outcome.run is not run_state.RunState.NO
            ):
                break
            call.ctx.run = run_state.RunState.NO
        return outcome

    async def _wait_before_retry(self, retry: int) -> bool:
        if not self._parts.retries.allow_retry():
            return False
        self._parts.metrics.retries.inc()
        await asyncio.sleep(self._parts.retries.delay_s(retry))
        return True

    async def _send(
        self,
        call: _Call,
        settler: permit_settler.PermitSettler | None,
        server: str,
    ) -> _Outcome:
        client = self._parts.backends.service(server)
        if client is None:
            return refusal.Refusal(
                reason.Reason.NO_BACKEND, f"server {server!r} left the fleet"
            )
        if settler is not None:
            settler.mark_used(server)
        call.ctx.run = run_state.RunState.UNKNOWN
        self._emit(call, "dispatch.sent", backend=server)
        outcome = await client.call(call.request, timeout_s=call.spec.timeout_s)
        if isinstance(outcome, refusal.Refusal):
            self._emit(
                call,
                "dispatch.failed",
                backend=server,
                reason=outcome.reason.value,
                run=outcome.run.value,
            )
            self._report_refusing_server(call, server, outcome)
        return outcome

    def _report_refusing_server(
        self, call: _Call, server: str, refused: refusal.Refusal
    ) -> None:
        """Reports a server that refuses work to all routers.

        The only available server is not reported and stays in use, because a
        server also refuses work when it is overloaded.
        """
        servers = self._parts.backends.available_servers(call.spec.name)
        if refused.reason is reason.Reason.BACKEND_REFUSED and set(servers) > {
            server
        }:
            self._parts.report_backend(server, True)

    def _emit(self, call: _Call, kind: str, **fields: Any) -> None:
        self._parts.recorder.emit(
            kind,
            request_id=call.ctx.request_id,
            workspace=call.ctx.workspace,
            **fields,
        )


def _attach_refusal(attach: permit_lib.Attach) -> refusal.Refusal:
    if attach.settled:
        return refusal.Refusal(
            reason.Reason.ALREADY_COMPLETED,
            "a call with this idempotency key has completed",
            run_state.RunState.YES,
        )
    return refusal.Refusal(
        reason.Reason.IN_PROGRESS,
        "a call with this idempotency key is in progress",
        run_state.RunState.UNKNOWN,
    )


def _path_in_service(path: str, req: web.Request) -> str:
    # The raw and the decoded path have the same prefix `/services/<service>`,
    # since service names need no encoding.
    return path[len("/services/") + len(req.match_info["service"]) :] or "/"


def _forwardable_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _DROPPED_HEADERS
    }


def _response(
    call: _Call, status: int, headers: Mapping[str, str], body: bytes
) -> web.Response:
    return web.Response(
        status=status,
        body=body,
        headers={
            **_forwardable_headers(headers),
            **http_response.identity_headers(
                call.ctx.request_id, run_state.RunState.YES
            ),
        },
    )
