"""HTTP handlers for the registrations of routers."""

from aiohttp import web

from hibiscuspass.admin import context
from hibiscuspass.admin import replies
from hibiscuspass.core import reason
from hibiscuspass.core import refusal


class RouterApi:
    """Handlers that list registrations and delete one."""

    def __init__(self, ctx: context.AdminContext) -> None:
        self._ctx = ctx

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this part of the API."""
        return [
            web.get("/v1/routers", self._list),
            web.delete("/v1/routers/{name}/{start_id}", self._forget),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        registered = await self._ctx.registrations.list()
        if isinstance(registered, refusal.Refusal):
            return replies.from_refusal(registered)
        return replies.reply({"routers": registered})

    async def _forget(self, request: web.Request) -> web.Response:
        info = request.match_info
        process = f"{info['name']}/{info['start_id']}"
        outcome = await self._ctx.registrations.forget(process)
        if isinstance(outcome, refusal.Refusal):
            return replies.from_refusal(outcome)
        if not outcome:
            return replies.error(
                reason.Reason.NOT_FOUND,
                f"router {process!r} is not registered",
            )
        self._ctx.audit(request, "admin.router_forgotten", router=process)
        return replies.reply({"forgotten": process})
