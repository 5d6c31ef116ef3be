"""Events of the timeline."""

from collections.abc import Mapping

import attrs

from hibiscuspass.core import clock


@attrs.frozen
class Event:
    """Something that happened in one process.

    Attributes:
      at: Position on the timeline.
      process: `name/start_id` of the process.
      kind: Dotted event name, for example `permit.issued`.
      request_id: Request concerned, or an empty string.
      workspace: Workspace concerned, or an empty string.
      grant_id: Grant concerned, or an empty string.
      fields: Further values, JSON-compatible.
    """

    at: clock.Timestamp
    process: str
    kind: str
    request_id: str = ""
    workspace: str = ""
    grant_id: str = ""
    fields: Mapping[str, str | int | float | bool] = attrs.field(factory=dict)
