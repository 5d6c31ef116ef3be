"""Guards the streams of other callers against bodies that decode slowly."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from hibiscuspass.core import reason
from hibiscuspass.core.dispatch import completion
from hibiscuspass.core.dispatch import json_size
from hibiscuspass.core.dispatch import model_spec
from tests import assertions
from tests import router_fakes as fakes

_LIMIT = json_size.MAX_JSON_VALUES
_TEXT = strategies.text(alphabet='ab"\\[{]},:\n\u00e9', max_size=8)
_VALUES = strategies.recursive(
    strategies.none() | strategies.integers(-5, 5) | _TEXT,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(_TEXT, inner, max_size=4)
    ),
)


def _count(value):
    """Counts arrays, objects and strings, keys included."""
    if isinstance(value, dict):
        return 1 + len(value) + sum(map(_count, value.values()))
    if isinstance(value, list):
        return 1 + sum(map(_count, value))
    return int(isinstance(value, str))


def _parse(extra: bytes):
    raw = b'{"model":"m","messages":[{"role":"user","content":"hi"}],"x":%s}'
    return completion.parse(
        completion.CHAT_PATH,
        raw % extra,
        fakes.WORKSPACE,
        {"m": model_spec.ModelSpec("m")},
    )


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(value=_VALUES)
def test_the_count_is_exact(value):
    """Guards against refusing text because it contains quotes or brackets."""
    raw = msgspec.json.encode(value)
    count = _count(value)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_size, "MAX_JSON_VALUES", count)
        assert not json_size.exceeds_limit(raw)
        patch.setattr(json_size, "MAX_JSON_VALUES", count - 1)
        assert json_size.exceeds_limit(raw)


@pytest.mark.parametrize("unit", [b"[]", b"{}", b'""', b"[[]]"])
def test_a_body_of_too_many_values_is_refused(unit):
    body = b"[" + b",".join([unit] * _LIMIT) + b"]"
    refused = assertions.assert_refused(
        _parse(body), reason.Reason.INVALID_REQUEST
    )
    assert str(_LIMIT) in refused.detail


def test_a_body_of_too_many_keys_is_refused():
    members = ",".join(f'"{i}":1' for i in range(_LIMIT))
    assertions.assert_refused(
        _parse(b"{%s}" % members.encode()), reason.Reason.INVALID_REQUEST
    )


@pytest.mark.parametrize("text", ["[", "{", '"', "\\", '\\"', ","])
def test_long_text_is_not_refused(text):
    body = msgspec.json.encode(text * (4 * _LIMIT))
    assert isinstance(_parse(body), completion.CompletionCall)


def test_the_largest_allowed_number_of_messages_and_parts_is_accepted():
    part = {"type": "text", "text": "a"}
    messages = [{"role": "user", "content": [part, part]}] * 4096
    raw = msgspec.json.encode({"model": "m", "messages": messages})
    assert not json_size.exceeds_limit(raw)
