"""Handlers for the routers' registrations."""

from aiohttp import web

from hibiscuspass.admin import context
from hibiscuspass.admin import replies
from hibiscuspass.core import reason
from hibiscuspass.core import refusal


class RouterApi:
    """List registrations; end one by an operator's decision."""

    def __init__(self, ctx: context.AdminContext) -> None:
        self._ctx = ctx

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this part of the API."""
        return [
            web.get("/v1/routers", self._list),
            web.delete("/v1/routers/{name}/{start_id}", self._forget),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        found = await self._ctx.registrations.list()
        if isinstance(found, refusal.Refusal):
            return replies.of_refusal(found)
        return replies.reply({"routers": found})

    async def _forget(self, request: web.Request) -> web.Response:
        info = request.match_info
        process = f"{info['name']}/{info['start_id']}"
        outcome = await self._ctx.registrations.forget(process)
        if isinstance(outcome, refusal.Refusal):
            return replies.of_refusal(outcome)
        if not outcome:
            return replies.error(
                reason.Reason.NOT_FOUND,
                f"router {process!r} is not registered",
            )
        self._ctx.audit(request, "admin.router_forgotten", router=process)
        return replies.reply({"forgotten": process})
