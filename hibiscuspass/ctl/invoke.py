"""What all subcommands share."""

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

SETTINGS_VARIABLE = "HIBISCUSPASSCTL_SETTINGS"
DEFAULT_SETTINGS = os.environ.get(SETTINGS_VARIABLE, "ctl.yaml")
_STATUS_INTERVAL_S = 0.5


class UsageError(Exception):
    """Bad arguments or settings; the message says what is allowed."""


def load(settings: str) -> ctl_settings.CtlSettings:
    """Reads the settings.

    Raises:
      UsageError: The settings file is wrong.
    """
    cfg = loader.load(settings, ctl_settings.CtlSettings)
    if isinstance(cfg, loader.SettingsError):
        raise UsageError(
            f"{cfg}\nname the file by --settings or {SETTINGS_VARIABLE}"
        )
    return cfg


def call(
    settings: str,
    json: bool,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> int:
    """Calls the administration API, prints the answer, returns the code."""
    return output.finish(client.call(load(settings), method, path, body), json)


def read_yaml(path: str) -> Any:
    """Reads a YAML file.

    Raises:
      UsageError: The file can't be read.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return yaml.safe_load(text)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise UsageError(f"{path}: {exc}") from None


def parse_assignments(assignments: Iterable[str]) -> dict[str, Any]:
    """Parses `name=value` arguments; values are YAML.

    Raises:
      UsageError: An argument has another form.
    """
    parsed = {}
    for text in assignments:
        name, equals, value = text.partition("=")
        if not (name and equals):
            raise UsageError(f"{text!r}: expected parameter=value")
        try:
            parsed[name] = yaml.safe_load(value)
        except yaml.YAMLError:
            raise UsageError(f"{text!r}: expected a YAML value") from None
    return parsed


def workspace_path(name: str, suffix: str = "") -> str:
    """Returns the path of a workspace in the API."""
    return f"/v1/workspaces/{parse.quote(name, safe='')}{suffix}"


def template_path(name: str) -> str:
    """Returns the path of a template in the API."""
    return f"/v1/templates/{parse.quote(name, safe='')}"


def wait_for_status(
    settings: str, json: bool, name: str, revision: int | None, wait_s: float
) -> int:
    """Prints a change's status, at the latest after `wait_s`."""
    cfg = load(settings)
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
            return output.finish(answer, json)
        time.sleep(_STATUS_INTERVAL_S)


def create_secret_file(path: str) -> int:
    """Creates a file that only its owner can read; returns a descriptor.

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
    """Writes a secret to a descriptor and closes it."""
    with os.fdopen(fd, "w", encoding="ascii") as stream:
        stream.write(f"{secret}\n")
