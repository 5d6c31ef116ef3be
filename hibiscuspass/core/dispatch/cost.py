"""Cost of completions in budget units."""

from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Any

from hibiscuspass.backends import engine
from hibiscuspass.core.dispatch import model_spec


def text_bytes(value: Any) -> int:
    """Returns the UTF-8 bytes of all text in a JSON value.

    Keys and numbers count too, because tool schemas reach the prompt in full.
    """
    if isinstance(value, str):
        return len(value.encode("utf-8", "surrogatepass"))
    if isinstance(value, Mapping):
        return sum(text_bytes(k) + text_bytes(v) for k, v in value.items())
    if isinstance(value, Sequence):
        return sum(map(text_bytes, value))
    return 0 if value is None else len(str(value))


def prompt_bound(
    spec: model_spec.ModelSpec, prompt_bytes: int, messages: int
) -> int:
    """Returns the largest possible number of prompt tokens."""
    tokens = math.ceil(prompt_bytes / spec.bytes_per_token_min)
    return tokens + messages * spec.message_overhead_tokens


def token_cost(
    spec: model_spec.ModelSpec, prompt_tokens: int, output_tokens: int
) -> int:
    """Returns the cost of the given token counts."""
    return prompt_tokens * spec.prompt_price + output_tokens * spec.output_price


def reported_cost(
    spec: model_spec.ModelSpec, usage: engine.Usage, hold: int
) -> int:
    """Returns the cost of reported usage, never above the hold."""
    cost = token_cost(
        spec, max(usage.prompt_tokens, 0), max(usage.output_tokens, 0)
    )
    return min(cost, hold)
