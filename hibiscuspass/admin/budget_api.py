"""HTTP handlers for top-ups, budget reports and grants in doubt."""

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
class TopUpBody:
    """Request body of a top-up.

    Attributes:
      id: Idempotency key chosen by the operator; a repeated top-up with the
        same id is added only once.
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
class DecisionBody:
    """Request body of a decision on a grant in doubt.

    Attributes:
      charge: Budget units to charge to the workspace.
    """

    charge: int = attrs.field(
        validator=checks.in_range(0, workspace_lib.MAX_AMOUNT)
    )


class BudgetApi:
    """Handlers for top-ups, reports and decisions on grants in doubt."""

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
        workspace_path = "/v1/workspaces/{name}"
        return [
            web.post(f"{workspace_path}/top-ups", self._top_up),
            web.get(f"{workspace_path}/report", self._report),
            web.get(f"{workspace_path}/in-doubt", self._list_in_doubt),
            web.post(f"{workspace_path}/in-doubt/{{grant_id}}", self._decide),
        ]

    async def _top_up(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        body = await replies.parse_body(request, TopUpBody)
        # Without this check, a mistyped name would create a new ledger.
        context.check_outcome(
            await self._ctx.configs.workspaces.get(name), f"workspace {name!r}"
        )
        outcome = await self._ledgers.top_up(name, body.id, body.amount)
        if isinstance(outcome, refusal.Refusal):
            return replies.from_refusal(outcome)
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
            raise replies.ReplyError(replies.from_refusal(report))
        return report

    async def _report(self, request: web.Request) -> web.Response:
        report = await self._gather(context.name_from_path(request))
        if request.query.get("format", "json") == "text":
            return web.Response(text=budget_report.to_text(report))
        return replies.reply(budget_report.to_json_data(report))

    async def _list_in_doubt(self, request: web.Request) -> web.Response:
        report = await self._gather(context.name_from_path(request))
        report_data = budget_report.to_json_data(report)
        return replies.reply(
            {
                "workspace": report.workspace,
                "in_doubt": report.in_doubt,
                "grants": [
                    g for g in report_data["grants"] if g["state"] == "in_doubt"
                ],
                "warnings": report_data["warnings"],
            }
        )

    async def _decide(self, request: web.Request) -> web.Response:
        name = context.name_from_path(request)
        grant_id = request.match_info["grant_id"]
        body = await replies.parse_body(request, DecisionBody)
        grant = self._find_grant_in_doubt(await self._gather(name), grant_id)
        await self._check_unknown_to_routers(name, grant)
        outcome = await self._ledgers.decide(
            name, grant_id, grant.operation, body.charge
        )
        if isinstance(outcome, refusal.Refusal):
            return replies.from_refusal(outcome)
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
        # A router that is not registered may run on a VM that is missing from
        # the lagging VM list. Other routers then still name it.
        status = await self._ctx.tracker.check(name)
        if isinstance(status, refusal.Refusal):
            raise replies.ReplyError(replies.from_refusal(status))
        router_names = {r.process for r in status.routers}
        still_named = router_names & {grant.holder, grant.witness}
        if still_named or status.unknown:
            raise replies.ReplyError(
                replies.error(
                    reason.Reason.CONFLICT,
                    f"grant {grant.grant_id!r} can't be decided:"
                    f" {', '.join((*sorted(still_named), *status.unknown))};"
                    " routers that others still name may run",
                )
            )

    def _find_grant_in_doubt(
        self, report: budget_report.BudgetReport, grant_id: str
    ) -> budget_report.GrantView:
        grant = {g.grant_id: g for g in report.grants}.get(grant_id)
        if grant is None:
            raise replies.ReplyError(
                replies.error(
                    reason.Reason.NOT_FOUND,
                    f"workspace {report.workspace!r} has no open grant"
                    f" {grant_id!r}",
                )
            )
        if grant.state != "in_doubt":
            # A router that is still running could spend the freed amount, which
            # would then be spent twice.
            raise replies.ReplyError(
                replies.error(
                    reason.Reason.CONFLICT,
                    f"grant {grant_id!r} is {grant.state}: only a grant whose"
                    " holder and witness are certainly gone can be decided"
                    f" (holder {grant.holder}, witness"
                    f" {grant.witness or 'none'})",
                )
            )
        return grant
