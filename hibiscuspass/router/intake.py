"""First steps of each call: authentication, readiness, body, admission."""

import asyncio

from aiohttp import web
import attrs

from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.admission import controller
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.router import authentication
from hibiscuspass.router import body_hold
from hibiscuspass.router import call_context
from hibiscuspass.router import parts as parts_lib
from hibiscuspass.router import request_body


@attrs.frozen
class ReceivedCall:
    """The workspace and the complete body of an authenticated call.

    Attributes:
      workspace: Workspace of the access key.
      body: Complete body.
      hold: Counts the body until the response has ended.
    """

    workspace: workspace_lib.Workspace
    body: bytes
    hold: body_hold.BodyHold


async def receive(
    req: web.Request, ctx: call_context.CallContext, parts: parts_lib.Parts
) -> ReceivedCall | refusal.Refusal:
    """Authenticates a call, checks that it is accepted and reads its body."""
    workspace = await authenticate(req, ctx, parts)
    if isinstance(workspace, refusal.Refusal):
        return workspace
    parts.recorder.emit(
        "request.received",
        request_id=ctx.request_id,
        workspace=ctx.workspace,
        attempt_id=ctx.attempt_id,
        keyed=bool(ctx.key),
    )
    refused = parts.lifecycle.check_accepts() or _check_key(ctx.key)
    if refused is not None:
        return refused
    hold = body_hold.BodyHold(parts.bodies.open(workspace.name))
    ctx.after_response.append(hold.release)
    raw = await request_body.read(req, parts.limits, hold.holding)
    if hold.holding.refused is not None:
        parts.metrics.refused_bodies.labels(hold.holding.refused.value).inc()
    if isinstance(raw, refusal.Refusal):
        return raw
    return ReceivedCall(workspace, raw, hold)


async def authenticate(
    req: web.Request, ctx: call_context.CallContext, parts: parts_lib.Parts
) -> workspace_lib.Workspace | refusal.Refusal:
    """Returns the caller's workspace and stores its name in `ctx`."""
    workspace = await authentication.authenticate(
        req.headers.get("Authorization", ""), parts.config
    )
    if isinstance(workspace, workspace_lib.Workspace):
        ctx.set_workspace(workspace.name)
    return workspace


def _check_key(key: str) -> refusal.Refusal | None:
    if len(key) <= call_context.MAX_IDEMPOTENCY_KEY_CHARS:
        return None
    return refusal.Refusal(
        reason.Reason.INVALID_REQUEST,
        f"'Idempotency-Key' has {len(key)} characters, at most"
        f" {call_context.MAX_IDEMPOTENCY_KEY_CHARS} are allowed",
    )


async def wait_for_admission(
    parts: parts_lib.Parts,
    ctx: call_context.CallContext,
    workspace: workspace_lib.Workspace,
) -> refusal.Refusal | None:
    """Waits until a call is admitted.

    Returns:
      None if the call is admitted, or a refusal with run state `no`.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    refused = await parts.admission.enter(
        controller.AdmissionRequest(
            request_id=ctx.attempt_id,
            workspace=workspace.name,
            priority=workspace.priority,
            max_concurrency=workspace.max_concurrency,
            deadline_s=workspace.first_token_deadline_s,
        )
    )
    parts.recorder.emit(
        "admission.admitted" if refused is None else "admission.refused",
        request_id=ctx.request_id,
        workspace=ctx.workspace,
        waited_s=round(loop.time() - start_s, 4),
    )
    if refused is None:
        return None
    return attrs.evolve(refused, run=run_state.RunState.NO)


def abort_connection(
    req: web.Request, started_response: web.StreamResponse | None
) -> web.StreamResponse:
    """Closes the connection of a caller that left or reads too slowly.

    Args:
      req: The caller's request.
      started_response: The response, if it has begun.

    Returns:
      A response for aiohttp, which can't be sent on the closed connection.
    """
    if req.transport is not None:
        req.transport.abort()
    return started_response if started_response is not None else web.Response()
