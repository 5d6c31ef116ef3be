"""HTTP handlers for templates."""

from typing import Any

from aiohttp import web
import attrs

from hibiscuspass.admin import access
from hibiscuspass.admin import context
from hibiscuspass.admin import replies
from hibiscuspass.core.configuration import template as template_lib
from hibiscuspass.settings import structure


@attrs.frozen
class PutTemplateBody:
    """Request body that creates or changes a template.

    Attributes:
      revision: Revision last seen by the operator, 0 to create.
      template: The new template.
    """

    revision: int
    template: template_lib.Template


class TemplateApi:
    """Handlers that list, read, create, change and delete templates."""

    def __init__(self, ctx: context.AdminContext) -> None:
        self._ctx = ctx

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this part of the API."""
        return [
            web.get("/v1/templates", self._list),
            web.get("/v1/templates/{name}", self._get),
            web.put("/v1/templates/{name}", self._put),
            web.delete("/v1/templates/{name}", self._delete),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        stored = context.check_outcome(
            await self._ctx.configs.templates.list(), "templates"
        )
        return replies.reply(
            {
                "templates": {
                    n: context.view_stored(s) for n, s in stored.items()
                }
            }
        )

    async def _get(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        stored = context.check_outcome(
            await self._ctx.configs.templates.get(name), f"template {name!r}"
        )
        return replies.reply(context.view_stored(stored))

    async def _put(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        body = await replies.parse_body(request, PutTemplateBody)
        if body.template.name != name:
            problem = structure.Problem(
                "template.name", body.template.name, f"{name!r} as in the path"
            )
            return replies.from_problems([problem])
        record = template_lib.TemplateRecord(
            body.template, request[access.OPERATOR]
        )
        stored = context.check_outcome(
            await self._ctx.configs.templates.put(name, body.revision, record),
            f"template {name!r}",
        )
        self._ctx.audit(
            request,
            "admin.template_changed",
            template=name,
            revision=stored.revision,
        )
        return replies.reply(context.view_stored(stored))

    async def _delete(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        seen_revision: Any = replies.integer_query(request, "revision")
        if seen_revision is None:
            problem = structure.Problem("revision", None, "the revision seen")
            return replies.from_problems([problem])
        stored = context.check_outcome(
            await self._ctx.configs.templates.delete(name, seen_revision),
            f"template {name!r}",
        )
        self._ctx.audit(
            request,
            "admin.template_deleted",
            template=name,
            revision=stored.revision,
        )
        return replies.reply({"revision": stored.revision, "deleted": True})
