"""Subcommands for top-ups, budget reports and grants in doubt."""

from urllib import parse

from hibiscuspass.ctl import invoke


def top_up(
    workspace: str,
    amount: int,
    *,
    id: str,  # noqa: A002
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Adds prepaid budget; repeating it with the same id adds it once.

    Args:
      workspace: Name of the workspace.
      amount: Budget units to add.
      id: Unique id of the payment, for example the invoice number.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = invoke.workspace_path(workspace, "/top-ups")
    return invoke.call_and_print(
        settings, json, "POST", path, {"id": id, "amount": amount}
    )


def report(
    workspace: str,
    *,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Shows what a workspace has spent and has left.

    Args:
      workspace: Name of the workspace.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    report_format = "json" if json else "text"
    path = invoke.workspace_path(workspace, f"/report?format={report_format}")
    return invoke.call_and_print(settings, json, "GET", path)


def in_doubt_list(
    workspace: str,
    *,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Lists grants whose remainder nobody can account for.

    Args:
      workspace: Name of the workspace.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = invoke.workspace_path(workspace, "/in-doubt")
    return invoke.call_and_print(settings, json, "GET", path)


def in_doubt_decide(
    workspace: str,
    grant_id: str,
    charge: int,
    *,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Decides how much of a grant in doubt is charged; the rest is free.

    Args:
      workspace: Name of the workspace.
      grant_id: Id of the grant.
      charge: Budget units to charge.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = invoke.workspace_path(
        workspace, f"/in-doubt/{parse.quote(grant_id, safe='')}"
    )
    return invoke.call_and_print(
        settings, json, "POST", path, {"charge": charge}
    )
