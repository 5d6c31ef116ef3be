"""Loads settings files."""

import pathlib
from typing import TypeVar

import attrs
import yaml

from hibiscuspass.settings import structure

T = TypeVar("T")


@attrs.frozen
class SettingsError:
    """All problems of one settings file.

    Attributes:
      path: Path of the file.
      problems: All problems, in the order of the settings classes.
    """

    path: str
    problems: tuple[structure.Problem, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.path}: {p}" for p in self.problems)


def _single_problem(path: str, value: object, allowed: str) -> SettingsError:
    return SettingsError(path, (structure.Problem("", value, allowed),))


def load(path: str | pathlib.Path, cls: type[T]) -> T | SettingsError:
    """Reads a YAML file into a settings class.

    Args:
      path: File to read.
      cls: attrs class of the whole file.

    Returns:
      The settings, or an error that lists all problems of the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return _single_problem(str(path), str(exc), "a readable UTF-8 file")
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        return _single_problem(str(path), str(exc), "a YAML document")
    outcome = structure.structure({} if data is None else data, cls)
    if isinstance(outcome, tuple):
        return SettingsError(str(path), outcome)
    return outcome
