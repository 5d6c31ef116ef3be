"""Serves the recorded events of a process to the timeline program."""

import itertools

import attrs

from hibiscuspass.core import clock
from hibiscuspass.core import event as event_lib
from hibiscuspass.core import incarnation
from hibiscuspass.peers import codec
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.telemetry import recorder as recorder_lib

# At about 300 bytes per event a reply stays well below the limit of 4 MiB per
# message.
MAX_EVENTS_PER_REPLY = 2000


@attrs.frozen
class EventsSince:
    """Request for events; the reply is `Events`.

    An empty string matches every event.

    Attributes:
      after: Only events later than this timestamp.
      request_id: Only events of this request.
      workspace: Only events of this workspace.
      grant_id: Only events of this grant.
    """

    after: clock.Timestamp
    request_id: str = ""
    workspace: str = ""
    grant_id: str = ""


@attrs.frozen
class Events:
    """The oldest matching events of one process.

    Attributes:
      process: `name/start_id`.
      events: Matching events in order, at most `MAX_EVENTS_PER_REPLY`.
      has_more: Whether there are further matching events.
      dropped: Number of events that the process has dropped from its buffer.
    """

    process: str
    events: tuple[event_lib.Event, ...]
    has_more: bool
    dropped: int


codec.DEFAULT.add(EventsSince)
codec.DEFAULT.add(Events)


def _matches(event: event_lib.Event, query: EventsSince) -> bool:
    return (
        query.request_id in ("", event.request_id)
        and query.workspace in ("", event.workspace)
        and query.grant_id in ("", event.grant_id)
    )


def register_timeline(
    transport: transport_lib.Transport,
    recorder: recorder_lib.Recorder,
    process: incarnation.Incarnation,
) -> None:
    """Registers the handler that answers `EventsSince` from a recorder."""

    async def answer(_: incarnation.Incarnation, msg: EventsSince) -> Events:
        matching = (
            e for e in recorder.events_since(msg.after) if _matches(e, msg)
        )
        first_events = tuple(
            itertools.islice(matching, MAX_EVENTS_PER_REPLY + 1)
        )
        return Events(
            str(process),
            first_events[:MAX_EVENTS_PER_REPLY],
            len(first_events) > MAX_EVENTS_PER_REPLY,
            recorder.dropped,
        )

    transport.register(EventsSince, answer)
