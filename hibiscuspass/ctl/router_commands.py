"""Subcommands for the registrations of routers."""

from urllib import parse

from hibiscuspass.ctl import invoke


def router_list(
    *, settings: str = invoke.DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Lists registered routers.

    Args:
      settings: Settings file of the command line.
      json: Print JSON.
    """
    return invoke.call_and_print(settings, json, "GET", "/v1/routers")


def router_forget(
    process: str, *, settings: str = invoke.DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Ends the registration of a router that certainly does not run.

    Args:
      process: Router as `name/start_id`.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = f"/v1/routers/{parse.quote(process)}"
    return invoke.call_and_print(settings, json, "DELETE", path)
