"""Guards the collection of timeline events against loss and gaps."""

from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.peers import pynng_transport
from hibiscuspass.telemetry import recorder
from hibiscuspass.telemetry import timeline_messages

_KEY = b"k" * 32
_EVENTS = 7_000


def _start(name: str):
    process = incarnation.Incarnation(name, "a")
    events = recorder.Recorder(process)
    return events, pynng_transport.make_transport(
        process, "127.0.0.1:0", _KEY, events
    )


async def test_all_events_arrive_in_pages():
    events, server = _start("r1")
    _, client = _start("r2")
    timeline_messages.serve(server, events)
    await server.start()
    await client.start()
    for n in range(_EVENTS):
        events.emit("step", request_id=str(n), n=n, share=0.5, last=False)
    seen: list[int] = []
    after = clock.Timestamp(0, 0)
    complete = False
    while not complete:
        reply = await client.request(
            server.address,
            timeline_messages.TimelineFetch(after),
            timeout_s=10,
        )
        assert isinstance(reply, timeline_messages.TimelineEvents), reply
        assert reply.events
        seen += [e.fields["n"] for e in reply.events]
        after, complete = reply.events[-1].at, reply.complete
    assert seen == list(range(_EVENTS))
    await client.close()
    await server.close()
