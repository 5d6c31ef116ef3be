"""Subcommands for templates, workspaces and access keys."""

from collections.abc import Mapping
from collections.abc import Sequence
import os
from urllib import parse

from hibiscuspass.ctl import client
from hibiscuspass.ctl import invoke
from hibiscuspass.ctl import output


def template_list(
    *, settings: str = invoke.DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Lists templates.

    Args:
      settings: Settings file of the command line.
      json: Print JSON.
    """
    return invoke.call_and_print(settings, json, "GET", "/v1/templates")


def template_apply(
    file: str,
    *,
    revision: int,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Creates or changes a template.

    Args:
      file: YAML file with the template.
      revision: Revision last seen, 0 to create.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    template = invoke.read_yaml(file)
    if not isinstance(template, Mapping) or "name" not in template:
        raise invoke.UsageError(
            f"{file}: expected a mapping with the field name"
        )
    body = {"revision": revision, "template": template}
    return invoke.call_and_print(
        settings, json, "PUT", invoke.template_path(str(template["name"])), body
    )


def template_delete(
    name: str,
    *,
    revision: int,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Deletes a template; workspaces made from it stay.

    Args:
      name: Name of the template.
      revision: Revision last seen.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = f"{invoke.template_path(name)}?revision={revision}"
    return invoke.call_and_print(settings, json, "DELETE", path)


def workspace_list(
    prefix: str = "",
    *,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Lists workspaces.

    Args:
      prefix: Only names that start with this.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = f"/v1/workspaces?prefix={parse.quote(prefix, safe='')}"
    return invoke.call_and_print(settings, json, "GET", path)


def workspace_show(
    name: str, *, settings: str = invoke.DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Shows a workspace and its revision.

    Args:
      name: Name of the workspace.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    return invoke.call_and_print(
        settings, json, "GET", invoke.workspace_path(name)
    )


def workspace_apply(
    name: str,
    *,
    revision: int,
    template: str,
    set: Sequence[str] = (),  # noqa: A002
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Creates or changes a workspace from a template.

    Args:
      name: Name of the workspace.
      revision: Revision last seen, 0 to create.
      template: Name of the template.
      set: Parameters as name=value; values are YAML.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    body = {
        "revision": revision,
        "template": template,
        "parameters": invoke.parse_assignments(set),
    }
    return invoke.call_and_print(
        settings, json, "PUT", invoke.workspace_path(name), body
    )


def workspace_disable(
    name: str,
    *,
    revision: int,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Refuses all requests of a workspace.

    Args:
      name: Name of the workspace.
      revision: Revision last seen.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = invoke.workspace_path(name, "/disable")
    return invoke.call_and_print(
        settings, json, "POST", path, {"revision": revision}
    )


def workspace_enable(
    name: str,
    *,
    revision: int,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Accepts requests of a workspace again.

    Args:
      name: Name of the workspace.
      revision: Revision last seen.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = invoke.workspace_path(name, "/enable")
    return invoke.call_and_print(
        settings, json, "POST", path, {"revision": revision}
    )


def workspace_delete(
    name: str,
    *,
    revision: int,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Deletes a workspace's configuration; its ledger stays.

    Args:
      name: Name of the workspace.
      revision: Revision last seen.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = invoke.workspace_path(name, f"?revision={revision}")
    return invoke.call_and_print(settings, json, "DELETE", path)


def workspace_status(
    name: str,
    *,
    revision: int | None = None,
    wait: float = 0,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Shows which routers have a change; exits with 5 while it is pending.

    Args:
      name: Name of the workspace.
      revision: Revision of the change; by default the current one.
      wait: Seconds to wait for acceptance.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    return invoke.wait_for_status(settings, json, name, revision, wait)


def key_create(
    workspace: str,
    *,
    file: str = "",
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Creates an access key and shows it this one time.

    Args:
      workspace: Name of the workspace.
      file: Write the key to this file, readable by its owner only, instead
        of showing it.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    cfg = invoke.load_settings(settings)
    # The file is opened before the call. If it were opened afterwards and that
    # failed, the new key would be lost.
    fd = invoke.create_secret_file(file) if file else None
    answer = client.call(cfg, "POST", invoke.workspace_path(workspace, "/keys"))
    if fd is not None:
        data = answer.data if isinstance(answer, client.Answer) else {}
        key = data.pop("key", None) if isinstance(data, dict) else None
        if key is None:
            os.close(fd)
            os.unlink(file)
        else:
            invoke.write_secret(fd, key)
    return output.print_answer(answer, json)


def key_revoke(
    workspace: str,
    key_id: str,
    *,
    settings: str = invoke.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Revokes an access key.

    Args:
      workspace: Name of the workspace.
      key_id: Id of the key, `<workspace>.<random>`.
      settings: Settings file of the command line.
      json: Print JSON.
    """
    path = invoke.workspace_path(
        workspace, f"/keys/{parse.quote(key_id, safe='')}"
    )
    return invoke.call_and_print(settings, json, "DELETE", path)
