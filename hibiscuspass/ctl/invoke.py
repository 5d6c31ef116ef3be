"""Helper functions shared by the subcommands."""

from collections.abc import Iterable
from collections.abc import Mapping
import os
import pathlib
import time
from typing import Any
from urllib import parse

import yaml

from hibiscuspass.core import refusal
from hibiscuspass.ctl import client
from hibiscuspass.ctl import output
from hibiscuspass.settings import ctl as ctl_settings
from hibiscuspass.settings import loader

SETTINGS_ENV_VAR = "HIBISCUSPASSCTL_SETTINGS"
DEFAULT_SETTINGS = os.environ.get(SETTINGS_ENV_VAR, "ctl.yaml")
_STATUS_POLL_INTERVAL_S = 0.5


class UsageError(Exception):
    """Invalid arguments or settings; the message states what is allowed."""


def load_settings(settings: str) -> ctl_settings.CtlSettings:
    """Reads the settings file of the command line.

    Raises:
      UsageError: The settings file can't be read or is invalid.
    """
    cfg = loader.load(settings, ctl_settings.CtlSettings)
    if isinstance(cfg, loader.SettingsError):
        raise UsageError(
            f"{cfg}\nname the file by --settings or {SETTINGS_ENV_VAR}"
        )
    return cfg


def call_and_print(
    settings: str,
    json: bool,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> int:
    """Calls the administration API, prints the response, returns the code."""
    return output.print_answer(
        client.call(load_settings(settings), method, path, body), json
    )


def read_yaml(path: str) -> Any:
    """Reads a YAML file.

    Raises:
      UsageError: The file can't be read or is not valid YAML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return yaml.safe_load(text)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise UsageError(f"{path}: {exc}") from None


def parse_assignments(assignments: Iterable[str]) -> dict[str, Any]:
    """Parses `name=value` arguments whose values are YAML.

    Raises:
      UsageError: An argument is not of this form.
    """
    values = {}
    for text in assignments:
        name, equals, value = text.partition("=")
        if not (name and equals):
            raise UsageError(f"{text!r}: expected parameter=value")
        try:
            values[name] = yaml.safe_load(value)
        except yaml.YAMLError:
            raise UsageError(f"{text!r}: expected a YAML value") from None
    return values


def workspace_path(name: str, suffix: str = "") -> str:
    """Returns the path of a workspace in the administration API."""
    return f"/v1/workspaces/{parse.quote(name, safe='')}{suffix}"


def template_path(name: str) -> str:
    """Returns the path of a template in the administration API."""
    return f"/v1/templates/{parse.quote(name, safe='')}"


def wait_for_status(
    settings: str, json: bool, name: str, revision: int | None, wait_s: float
) -> int:
    """Polls the status of a change and prints the last one.

    Polling ends when the change is no longer pending or after `wait_s`.

    Args:
      settings: Settings file of the command line.
      json: Print JSON.
      name: Name of the workspace.
      revision: Revision of the change, None for the current one.
      wait_s: Time after which a pending change is no longer polled.

    Returns:
      The exit code.
    """
    cfg = load_settings(settings)
    query = "" if revision is None else f"?revision={revision}"
    path = workspace_path(name, f"/status{query}")
    deadline_s = time.monotonic() + wait_s
    while True:
        answer = client.call(cfg, "GET", path)
        is_pending = (
            not isinstance(answer, refusal.Refusal)
            and isinstance(answer.data, Mapping)
            and answer.data.get("status") == "pending"
        )
        if not is_pending or time.monotonic() >= deadline_s:
            return output.print_answer(answer, json)
        time.sleep(_STATUS_POLL_INTERVAL_S)


def create_secret_file(path: str) -> int:
    """Creates a file that only its owner can read; returns its descriptor.

    Raises:
      UsageError: The file exists or can't be created.
    """
    try:
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as exc:
        raise UsageError(f"{path}: {exc.strerror}; expected a new file") from (
            None
        )


def write_secret(fd: int, secret: str) -> None:
    """Writes a secret to a file descriptor and closes it."""
    with os.fdopen(fd, "w", encoding="ascii") as stream:
        stream.write(f"{secret}\n")
