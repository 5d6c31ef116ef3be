"""Guards the decoder of completion streams against miscounts and bad events."""

import pytest

from hibiscuspass.backends import completion_events
from hibiscuspass.backends import engine as engine_lib

_USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2}}'
)
_DONE = b"data: [DONE]\n\n"


def _feed(*blocks: bytes, first: int = 0) -> list[engine_lib.TokenEvent]:
    events = completion_events.CompletionDecoder(first)
    return [e for block in blocks for e in events.feed(block)]


def _chat(delta: bytes, extra: bytes = b"") -> bytes:
    return b'data: {"choices":[{"delta":{%b}%b}]}\n\n' % (delta, extra)


@pytest.mark.parametrize(
    ("block", "tokens"),
    [
        (_chat(b'"content":"x"'), 1),
        (_chat(b'"content" : "x"'), 1),
        (_chat(b'"role":"assistant","content":""'), 0),
        (_chat(b'"content":null'), 0),
        (_chat(b""), 0),
        (_chat(b'"reasoning_content":"x"'), 1),
        (_chat(b'"refusal":"x"'), 1),
        (_chat(b'"tool_calls":[{"index":0,"function":{}}]'), 1),
        (_chat(b'"content":"abc"', b',"token_ids":[1,2,3]'), 3),
        (_chat(b'"content":"\\"usage\\":{\\"prompt_tokens\\":9}"'), 1),
        (b'data: {"choices":[{"text":"x"}]}\n\n', 1),
        (b'data: {"choices":[{"text":""}]}\n\n', 0),
        (b'data: {"choices":[{"text":"x"},{"text":"y"}]}\n\n', 2),
    ],
)
def test_generated_tokens_are_counted(block, tokens):
    (event,) = _feed(block)
    assert event.tokens == tokens
    assert not event.finished


def test_usage_is_returned_only_with_the_final_event():
    events = completion_events.CompletionDecoder(0)
    assert events.feed(_USAGE + b"\n\n") == []
    assert not events.finished
    (last,) = events.feed(_DONE)
    assert last.finished
    assert last.usage == engine_lib.Usage(4, 2)
    assert last.index == 0


def test_usage_in_token_events_is_returned_only_with_the_final_event():
    running = (
        b'data: {"choices":[{"text":"x"}],'
        b'"usage":{"prompt_tokens":4,"completion_tokens":%d}}\n\n'
    )
    events = _feed(running % 1, running % 2, _DONE)
    assert [e.usage for e in events] == [None, None, engine_lib.Usage(4, 2)]


def test_a_stream_without_usage_is_complete():
    (last,) = _feed(_DONE, first=7)
    assert last == engine_lib.TokenEvent(b"", 0, 7, None, finished=True)


def test_line_ends_inside_an_event_do_not_reach_the_caller():
    events = _feed(
        b'data: {"choices":\ndata: [{"text":"x"}]}\n\n',
        b'data: {"choices":\r[{"text":"x"}]}\n\n',
    )
    assert [e.data for e in events] == [
        b'{"choices": [{"text":"x"}]}',
        b'{"choices": [{"text":"x"}]}',
    ]


@pytest.mark.parametrize(
    "block",
    [
        b"data: {broken\n\n",
        b'data: {"choices":[]} trailing\n\n',
        b'data: {"error":{"message":"out of memory"}}\n\n',
        b"id: x\n" + _chat(b'"content":"x"'),
        b"id: 2\n" + _chat(b'"content":"x"'),
        b"id: 0\n" + _chat(b'"content":"x"'),
        _USAGE + b"\n\n" + _chat(b'"content":"x"'),
        _USAGE + b"\n\n" + _USAGE + b"\n\n",
    ],
)
def test_an_invalid_event_raises_after_the_valid_events(block):
    events = completion_events.CompletionDecoder(0)
    good = b"id: 0\n" + _chat(b'"content":"a"')
    with pytest.raises(completion_events.StreamError) as caught:
        events.feed(good + block)
    _, partial = caught.value.args
    assert [e.tokens for e in partial] == [1]
    assert not events.finished


def test_nothing_after_the_end_is_returned():
    events = _feed(_DONE + _chat(b'"content":"x"'))
    assert [e.finished for e in events] == [True]
