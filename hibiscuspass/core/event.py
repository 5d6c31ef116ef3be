"""Events of the timeline."""

from collections.abc import Mapping

import attrs

from hibiscuspass.core import clock


@attrs.frozen
class Event:
    """An event in one process.

    Attributes:
      at: Position on the timeline.
      process: `name/start_id` of the process.
      kind: Dotted event name, for example `permit.settled`.
      request_id: Id of the related request, or an empty string.
      workspace: Name of the related workspace, or an empty string.
      grant_id: Id of the related grant, or an empty string.
      fields: Further values, JSON-compatible.
    """

    at: clock.Timestamp
    process: str
    kind: str
    request_id: str = ""
    workspace: str = ""
    grant_id: str = ""
    fields: Mapping[str, str | int | float | bool] = attrs.field(factory=dict)
