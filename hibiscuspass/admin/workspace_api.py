"""HTTP handlers for workspaces and the status of their changes."""

from typing import Any

from aiohttp import web
import attrs

from hibiscuspass.admin import access
from hibiscuspass.admin import change_status
from hibiscuspass.admin import config_store
from hibiscuspass.admin import context
from hibiscuspass.admin import replies
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import record as record_lib
from hibiscuspass.core.configuration import template as template_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import structure


@attrs.frozen
class PutWorkspaceBody:
    """Request body that creates or changes a workspace.

    Attributes:
      revision: Revision last seen by the operator, 0 to create.
      template: Name of the template to expand, empty if `workspace` is given.
      parameters: Values for the parameters of the template.
      workspace: Fields of the workspace, given instead of a template.
    """

    revision: int
    template: str = ""
    parameters: dict[str, Any] = attrs.field(factory=dict)
    workspace: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class RevisionBody:
    """Request body with only the revision last seen by the operator."""

    revision: int


def view_status(
    status: change_status.ChangeStatus | refusal.Refusal,
) -> dict[str, Any]:
    """Returns the status of a change as JSON data."""
    if isinstance(status, refusal.Refusal):
        return {
            "status": "pending",
            "missing": [],
            "unknown": [
                f"the key-value service can't be read: {status.detail}"
            ],
            "routers": {},
        }
    return {
        "status": "accepted" if status.accepted else "pending",
        "revision": status.revision,
        "missing": list(status.missing),
        "unknown": list(status.unknown),
        "routers": {r.process: r.revision for r in status.routers},
    }


class WorkspaceApi:
    """Handlers that read and change workspaces."""

    def __init__(self, ctx: context.AdminContext) -> None:
        self._ctx = ctx

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this part of the API."""
        workspace_path = "/v1/workspaces/{name}"
        return [
            web.get("/v1/workspaces", self._list),
            web.get(workspace_path, self._get),
            web.put(workspace_path, self._put),
            web.delete(workspace_path, self._delete),
            web.post(f"{workspace_path}/disable", self._disable),
            web.post(f"{workspace_path}/enable", self._enable),
            web.get(f"{workspace_path}/status", self._status),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        stored = context.check_outcome(
            await self._ctx.configs.workspaces.list(
                request.query.get("prefix", "")
            ),
            "workspaces",
        )
        return replies.reply(
            {"workspaces": {n: _summary(s) for n, s in stored.items()}}
        )

    async def _get(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        return replies.reply(context.view_stored(await self._read(name)))

    async def _put(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        body = await replies.parse_body(request, PutWorkspaceBody)
        current = await self._ctx.configs.workspaces.get(name)
        if isinstance(current, refusal.Refusal):
            return replies.from_refusal(current)
        new_workspace = await self._build_workspace(name, body)
        if isinstance(current, config_store.Stored) and current.record:
            # If the keys were read from a revision other than the one the
            # operator saw, the write below fails with a conflict, so that
            # no key is lost.
            new_workspace = attrs.evolve(
                new_workspace, access_keys=current.record.workspace.access_keys
            )
        return await self._write(request, new_workspace, body.revision)

    async def _build_workspace(
        self, name: str, body: PutWorkspaceBody
    ) -> workspace_lib.Workspace:
        if bool(body.template) == bool(body.workspace):
            raise replies.ReplyError(
                replies.from_problems(
                    [
                        structure.Problem(
                            "template",
                            body.template,
                            "either template or workspace, not both",
                        )
                    ]
                )
            )
        new_workspace = (
            await self._expand_template(name, body)
            if body.template
            else _workspace_from_fields(name, body.workspace)
        )
        problems = (
            new_workspace
            if isinstance(new_workspace, tuple)
            else template_lib.check_names(
                new_workspace, self._ctx.models, self._ctx.services
            )
        )
        if isinstance(new_workspace, tuple) or problems:
            raise replies.ReplyError(replies.from_problems(problems))
        return new_workspace

    async def _expand_template(
        self, name: str, body: PutWorkspaceBody
    ) -> workspace_lib.Workspace | tuple[structure.Problem, ...]:
        template = context.check_outcome(
            await self._ctx.configs.templates.get(body.template),
            f"template {body.template!r}",
        )
        return template_lib.expand(
            template.record.template, name, body.parameters
        )

    async def _disable(self, request: web.Request) -> web.Response:
        return await self._set_enabled(request, False)

    async def _enable(self, request: web.Request) -> web.Response:
        return await self._set_enabled(request, True)

    async def _set_enabled(
        self, request: web.Request, enabled: bool
    ) -> web.Response:
        name = context.name_from_path(request)
        body = await replies.parse_body(request, RevisionBody)
        current: Any = await self._read(name)
        changed = attrs.evolve(current.record.workspace, enabled=enabled)
        return await self._write(request, changed, body.revision)

    async def _delete(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        seen_revision = replies.integer_query(request, "revision")
        if seen_revision is None:
            problem = structure.Problem("revision", None, "the revision seen")
            return replies.from_problems([problem])
        stored = context.check_outcome(
            await self._ctx.configs.workspaces.delete(name, seen_revision),
            f"workspace {name!r}",
        )
        return await self.answer_change(
            request, name, "admin.workspace_deleted", stored
        )

    async def _status(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        revision = replies.integer_query(request, "revision")
        status = await self._ctx.tracker.check(name, revision)
        if isinstance(status, refusal.Refusal):
            return replies.from_refusal(status)
        return replies.reply(view_status(status))

    async def _read(self, name: str) -> config_store.Stored[Any]:
        stored: config_store.Stored[Any] = context.check_outcome(
            await self._ctx.configs.workspaces.get(name), f"workspace {name!r}"
        )
        return stored

    async def _write(
        self,
        request: web.Request,
        ws: workspace_lib.Workspace,
        seen_revision: int,
    ) -> web.Response:
        record = record_lib.Record(ws, request[access.OPERATOR])
        stored = context.check_outcome(
            await self._ctx.configs.workspaces.put(
                ws.name, seen_revision, record
            ),
            f"workspace {ws.name!r}",
        )
        return await self.answer_change(
            request, ws.name, "admin.workspace_changed", stored
        )

    async def answer_change(
        self,
        request: web.Request,
        name: str,
        kind: str,
        stored: config_store.Stored[Any],
        **extra: Any,
    ) -> web.Response:
        """Announces a stored change; returns a response with its status."""
        self._ctx.audit(request, kind, workspace=name, revision=stored.revision)
        status = await self._ctx.tracker.check(name, stored.revision)
        return replies.reply(
            {
                **context.view_stored(stored),
                "change": view_status(status),
                **extra,
            }
        )


def _workspace_from_fields(
    name: str, fields: dict[str, Any]
) -> workspace_lib.Workspace | tuple[structure.Problem, ...]:
    reserved = [
        structure.Problem(n, fields[n], "absence; it is set otherwise")
        for n in ("name", "access_keys")
        if n in fields
    ]
    if reserved:
        return tuple(reserved)
    return structure.structure(
        {**fields, "name": name}, workspace_lib.Workspace
    )


def _summary(
    stored: config_store.Stored[Any] | config_store.Malformed,
) -> dict[str, Any]:
    summary = context.view_stored(stored)
    ws = summary.pop("workspace", None)
    if ws is not None:
        summary |= {
            k: ws[k] for k in ("template", "priority", "models", "enabled")
        }
    return summary
