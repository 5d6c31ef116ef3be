"""Messages that collect timeline events from a process."""

import attrs

from hibiscuspass.core import clock
from hibiscuspass.core import event
from hibiscuspass.core import incarnation
from hibiscuspass.peers import codec
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.telemetry import recorder as recorder_lib

# About 1 MB at 200 bytes per event, a quarter of the largest peer message.
_MAX_EVENTS = 5_000


@codec.message("timeline_fetch")
@attrs.frozen
class TimelineFetch:
    """Asks for events later than a timestamp."""

    after: clock.Timestamp


@codec.message("timeline_events")
@attrs.frozen
class TimelineEvents:
    """The oldest events later than the requested timestamp.

    Attributes:
      events: Events in the order of their timestamps.
      complete: Whether no later events were left out; otherwise ask again
        after the last one.
    """

    events: tuple[event.Event, ...]
    complete: bool


def serve(
    transport: transport_lib.Transport, recorder: recorder_lib.Recorder
) -> None:
    """Answers `TimelineFetch` from the events of this process."""

    async def handle(
        _: incarnation.Incarnation, msg: TimelineFetch
    ) -> TimelineEvents:
        found = recorder.since(msg.after)
        return TimelineEvents(
            found[:_MAX_EVENTS], complete=len(found) <= _MAX_EVENTS
        )

    transport.register(TimelineFetch, handle)
