"""Assembles the web application of the administration API."""

from collections.abc import Callable

from aiohttp import web

from hibiscuspass.admin import access
from hibiscuspass.admin import budget_api
from hibiscuspass.admin import context
from hibiscuspass.admin import key_api
from hibiscuspass.admin import ledger_store
from hibiscuspass.admin import report_gatherer
from hibiscuspass.admin import router_api
from hibiscuspass.admin import template_api
from hibiscuspass.admin import workspace_api
from hibiscuspass.settings import admin as admin_settings
from hibiscuspass.telemetry import http

_MAX_BODY_BYTES = 1_048_576


def make_app(
    ctx: context.AdminContext,
    ledgers: ledger_store.LedgerStore,
    reports: report_gatherer.ReportGatherer,
    operators: tuple[admin_settings.OperatorToken, ...],
    is_ready: Callable[[], bool] = lambda: True,
) -> web.Application:
    """Returns the web application of the administration API.

    Args:
      ctx: Services that the handlers share.
      ledgers: Reads and changes the ledgers of the workspaces.
      reports: Builds budget reports.
      operators: Accepted operator tokens.
      is_ready: Returns whether `/readyz` reports the program as ready.
    """
    app = web.Application(
        middlewares=[
            access.answer_errors,
            access.make_middleware(operators),
        ],
        client_max_size=_MAX_BODY_BYTES,
    )
    http.add_routes(app, is_ready)
    workspaces = workspace_api.WorkspaceApi(ctx)
    app.add_routes(workspaces.routes())
    app.add_routes(key_api.KeyApi(ctx, workspaces).routes())
    app.add_routes(template_api.TemplateApi(ctx).routes())
    app.add_routes(budget_api.BudgetApi(ctx, ledgers, reports).routes())
    app.add_routes(router_api.RouterApi(ctx).routes())
    return app
