"""Handlers for top-ups, reports and amounts in doubt."""

from aiohttp import web
import attrs

from hibiscuspass.admin import budget_report
from hibiscuspass.admin import context
from hibiscuspass.admin import ledger_store
from hibiscuspass.admin import replies
from hibiscuspass.admin import report_gatherer
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import checks


@attrs.frozen
class TopUp:
    """Body of a top-up.

    Attributes:
      id: Id chosen by the caller; the same id adds its amount once.
      amount: Budget units to add.
    """

    id: str = attrs.field(
        validator=checks.matches(
            r"[A-Za-z0-9._:-]{1,100}",
            "1 to 100 characters of A-Z, a-z, 0-9 and . _ : -",
        )
    )
    amount: int = attrs.field(
        validator=checks.in_range(1, workspace_lib.MAX_AMOUNT)
    )


@attrs.frozen
class Decide:
    """Body of a decision; `charge` is in budget units."""

    charge: int = attrs.field(
        validator=checks.in_range(0, workspace_lib.MAX_AMOUNT)
    )


class BudgetApi:
    """Top-ups, reports and decisions."""

    def __init__(
        self,
        ctx: context.AdminContext,
        ledgers: ledger_store.LedgerStore,
        reports: report_gatherer.ReportGatherer,
    ) -> None:
        self._ctx = ctx
        self._ledgers = ledgers
        self._reports = reports

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this part of the API."""
        one = "/v1/workspaces/{name}"
        return [
            web.post(f"{one}/top-ups", self._top_up),
            web.get(f"{one}/report", self._report),
            web.get(f"{one}/in-doubt", self._list_in_doubt),
            web.post(f"{one}/in-doubt/{{grant_id}}", self._decide),
        ]

    async def _top_up(self, request: web.Request) -> web.Response:
        name = context.name_of(request)
        body = await replies.body_of(request, TopUp)
        # A mistyped name must not get a ledger of its own.
        context.check_outcome(
            await self._ctx.configs.workspaces.get(name), f"workspace {name!r}"
        )
        outcome = await self._ledgers.top_up(name, body.id, body.amount)
        if isinstance(outcome, refusal.Refusal):
            return replies.of_refusal(outcome)
        self._ctx.audit(
            request,
            "admin.top_up",
            workspace=name,
            top_up=body.id,
            amount=body.amount,
        )
        return replies.reply(
            {
                "workspace": name,
                "id": body.id,
                "amount": body.amount,
                "prepaid": outcome.prepaid,
                "free": outcome.free,
            }
        )

    async def _gather(self, name: str) -> budget_report.BudgetReport:
        report = await self._reports.report(name)
        if isinstance(report, refusal.Refusal):
            raise replies.ReplyError(replies.of_refusal(report))
        return report

    async def _report(self, request: web.Request) -> web.Response:
        report = await self._gather(context.name_of(request))
        if request.query.get("format", "json") == "text":
            return web.Response(text=budget_report.to_text(report))
        return replies.reply(budget_report.to_plain(report))

    async def _list_in_doubt(self, request: web.Request) -> web.Response:
        report = await self._gather(context.name_of(request))
        listed = budget_report.to_plain(report)
        return replies.reply(
            {
                "workspace": report.workspace,
                "in_doubt": report.in_doubt,
                "grants": [
                    g for g in listed["grants"] if g["state"] == "in_doubt"
                ],
                "warnings": listed["warnings"],
            }
        )

    async def _decide(self, request: web.Request) -> web.Response:
        name = context.name_of(request)
        grant_id = request.match_info["grant_id"]
        body = await replies.body_of(request, Decide)
        grant = self._find(await self._gather(name), grant_id)
        await self._check_unknown_to_routers(name, grant)
        outcome = await self._ledgers.decide(
            name, grant_id, grant.operation, body.charge
        )
        if isinstance(outcome, refusal.Refusal):
            return replies.of_refusal(outcome)
        self._ctx.audit(
            request,
            "admin.decided",
            workspace=name,
            grant_id=grant_id,
            charged=outcome.charged,
            freed=outcome.freed,
        )
        return replies.reply(attrs.asdict(outcome))

    async def _check_unknown_to_routers(
        self, name: str, grant: budget_report.GrantView
    ) -> None:
        # A router without registration may run on a VM that is not listed
        # yet; then other routers name it.
        status = await self._ctx.tracker.check(name)
        if isinstance(status, refusal.Refusal):
            raise replies.ReplyError(replies.of_refusal(status))
        named = {r.process for r in status.routers}
        known = named & {grant.holder, grant.witness}
        if known or status.unknown:
            raise replies.ReplyError(
                replies.error(
                    reason.Reason.CONFLICT,
                    f"grant {grant.grant_id!r} can't be decided:"
                    f" {', '.join((*sorted(known), *status.unknown))}; routers"
                    " that others still name may run",
                )
            )

    def _find(
        self, report: budget_report.BudgetReport, grant_id: str
    ) -> budget_report.GrantView:
        found = {g.grant_id: g for g in report.grants}.get(grant_id)
        if found is None:
            raise replies.ReplyError(
                replies.error(
                    reason.Reason.NOT_FOUND,
                    f"workspace {report.workspace!r} has no open grant"
                    f" {grant_id!r}",
                )
            )
        if found.state != "in_doubt":
            # A router that still runs would go on spending what is freed.
            raise replies.ReplyError(
                replies.error(
                    reason.Reason.CONFLICT,
                    f"grant {grant_id!r} is {found.state}: only a grant whose"
                    " holder and witness are certainly gone can be decided"
                    f" (holder {found.holder}, witness"
                    f" {found.witness or 'none'})",
                )
            )
        return found
