"""Stored form of a workspace's configuration, JSON with the author."""

import json

import attrs

from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import structure


@attrs.frozen
class Record:
    """A workspace's configuration and who wrote it.

    Attributes:
      workspace: The configuration.
      operator: Operator who made the change.
      operation: Unique id of the change. A writer that lost the reply uses it
        to find out whether its change took effect.
    """

    workspace: workspace_lib.Workspace
    operator: str = ""
    operation: str = ""


def encode(record: Record) -> bytes:
    """Returns the stored form."""
    data = structure.unstructure(record)
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def decode(raw: bytes) -> Record | tuple[structure.Problem, ...]:
    """Parses the stored form; returns all problems if it is not valid."""
    try:
        data = json.loads(raw)
    except ValueError as exc:
        return (structure.Problem("", str(exc), "a JSON object"),)
    return structure.structure(data, Record)
