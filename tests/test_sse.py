"""Guards the event parser against chunks that split or join events."""

import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscuspass.backends import sse

_STREAM = (
    b'id: 0\ndata: {"a":1}\n\n'
    b": comment\n\n"
    b"data: plain\n\n"
    b"data:no space\r\n\r\n"
    b"event: x\nid: 7\ndata: two\ndata: lines\n\n"
    b"id: 8\n\n"
    b"data: [DONE]\n\n"
)
_EVENTS = [
    (b"0", b'{"a":1}'),
    (b"", b"plain"),
    (b"", b"no space"),
    (b"7", b"two\nlines"),
    (b"", b"[DONE]"),
]


@hypothesis.given(st.lists(st.integers(0, len(_STREAM)), max_size=20))
def test_events_do_not_depend_on_the_chunk_boundaries(cuts):
    parser = sse.SseParser()
    bounds = [0, *sorted(cuts), len(_STREAM)]
    events = [
        event
        for start, end in itertools.pairwise(bounds)
        for event in parser.feed(_STREAM[start:end])
    ]
    assert events == _EVENTS


def test_an_unfinished_event_is_not_returned():
    parser = sse.SseParser()
    assert parser.feed(b"data: part\n") == []
    assert parser.feed(b"\n") == [(b"", b"part")]


def test_an_oversized_event_is_an_error():
    parser = sse.SseParser(max_event_bytes=100)
    with pytest.raises(sse.OversizeError):
        parser.feed(b"data: " + bytes(200))
