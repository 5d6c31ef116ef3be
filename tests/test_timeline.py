"""Guards the order and completeness of a collected timeline."""

import json

import pytest

from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.telemetry import recorder as recorder_lib
from hibiscuspass.telemetry import timeline as timeline_lib
from hibiscuspass.timeline import collector
from hibiscuspass.timeline import render
from tests import config_fakes
from tests import virtual_loop


class _Processes:
    """Recorders of several processes with skewed wall clocks."""

    def __init__(self, **skews_ms):
        self.now_ms = 1_000_000
        self.network = config_fakes.Network()
        self.recorders = {}
        for name, skew in skews_ms.items():
            process = incarnation.Incarnation(name, "1")
            recorder = recorder_lib.Recorder(
                process,
                capacity=5000,
                wall_ms=lambda skew=skew: self.now_ms + skew,
            )
            transport = config_fakes.FakeTransport(
                self.network, process, f"{name}:1"
            )
            timeline_lib.register_timeline(transport, recorder, process)
            self.network.peers[transport.address] = transport
            self.recorders[name] = recorder

    def collect(self, addresses=("a:1", "b:1"), **query):
        client = config_fakes.FakeTransport(
            self.network, incarnation.Incarnation("timeline", "1"), "t:1"
        )
        made = collector.Collector(client, addresses, 1.0)
        return virtual_loop.run(made.collect(collector.Query(**query)))


def test_cause_comes_before_effect_despite_skewed_clocks():
    """Wall clocks alone would order an effect before its cause."""
    processes = _Processes(a=0, b=-5000)
    a, b = processes.recorders["a"], processes.recorders["b"]
    a.emit("permit.requested", request_id="r")
    b.merge_timestamp(a.new_timestamp())
    b.emit("permit.issued", request_id="r")
    a.merge_timestamp(b.new_timestamp())
    a.emit("request.dispatched", request_id="r")
    kinds = [e.kind for e in processes.collect(request_id="r").events]
    assert kinds == ["permit.requested", "permit.issued", "request.dispatched"]


@pytest.mark.parametrize(
    ("query", "expected"),
    [
        ({"request_id": "r1"}, ["one", "shared"]),
        ({"workspace": "bakery"}, ["one", "two"]),
        ({"grant_id": "g1"}, ["one", "shared"]),
        ({"request_id": "none"}, []),
        ({}, ["one", "two", "shared", "other"]),
    ],
)
def test_a_query_selects_by_request_workspace_or_grant(query, expected):
    """A query returns exactly the events of a request, workspace or grant.

    Events of a grant that belong to no request must not be missing from the
    result for a request that the grant paid for.
    """
    processes = _Processes(a=0, b=0)
    a, b = processes.recorders["a"], processes.recorders["b"]
    a.emit("one", request_id="r1", workspace="bakery", grant_id="g1")
    b.merge_timestamp(a.new_timestamp())
    b.emit("two", request_id="r2", workspace="bakery")
    a.merge_timestamp(b.new_timestamp())
    a.emit("shared", grant_id="g1")
    b.merge_timestamp(a.new_timestamp())
    b.emit("other", workspace="laundry")
    assert [e.kind for e in processes.collect(**query).events] == expected


def test_repeated_queries_return_each_event_once_and_skip_none():
    """Guards against skipped events of a process whose clock is behind.

    Its new events have timestamps before those already returned for others.
    """
    processes = _Processes(a=0, b=-5000)
    client = config_fakes.FakeTransport(
        processes.network, incarnation.Incarnation("timeline", "1"), "t:1"
    )
    made = collector.Collector(client, ["a:1", "b:1"], 1.0)
    query = collector.Query()
    kinds = []
    for kind, name in (("one", "a"), ("two", "b"), ("three", "a")):
        processes.recorders[name].emit(kind)
        found = virtual_loop.run(made.collect(query))
        kinds += [e.kind for e in found.events]
    assert kinds == ["one", "two", "three"]


def test_more_events_than_one_reply_holds_are_collected():
    """Events beyond the limit of one reply must be requested too."""
    processes = _Processes(a=0)
    count = 2 * timeline_lib.MAX_EVENTS_PER_REPLY + 1
    for i in range(count):
        processes.recorders["a"].emit("step", number=i)
    events = processes.collect(["a:1"]).events
    assert [e.fields["number"] for e in events] == list(range(count))


def test_a_process_that_does_not_reply_is_reported():
    """An incomplete timeline must not look complete."""
    processes = _Processes(a=0)
    processes.recorders["a"].emit("step")
    found = processes.collect(["a:1", "b:1"])
    assert len(found.events) == 1
    assert [g.source for g in found.gaps] == ["b:1"]
    assert "no answer" in found.gaps[0].reason


def test_dropped_events_are_reported():
    """An incomplete timeline must not look complete.

    A process drops its oldest events when its buffer is full.
    """
    processes = _Processes(a=0)
    for _ in range(5001):
        processes.recorders["a"].emit("step")
    gaps = processes.collect(["a:1"]).gaps
    assert gaps[0].reason.startswith("1 oldest event")


def test_text_and_json_show_the_same_event():
    """Both formats keep values such as 0 and omit empty ids."""
    recorder = recorder_lib.Recorder(
        incarnation.Incarnation("a", "1"), wall_ms=lambda: 1_500
    )
    event = recorder.emit("permit.issued", request_id="r", amount=0)
    assert event.at == clock.Timestamp(1_500, 0)
    text = render.to_text(event)
    assert text.startswith("1970-01-01T00:00:01.500Z+0")
    assert "request=r" in text
    assert "amount=0" in text
    plain = json.loads(render.to_json(event))
    assert plain["fields"] == {"amount": 0}
    assert "workspace" not in plain
