"""Cost of completions in budget units."""

import math
from typing import Any

import msgspec

from hibiscuspass.backends import engine
from hibiscuspass.core.dispatch import model_spec


def text_bytes(value: Any) -> int:
    """Returns an upper bound on the UTF-8 bytes of the text in a JSON value.

    The count of a string is exact. Other values are counted by the length of
    their JSON encoding, which runs no Python code per element: a body with many
    small values must not delay the streams of other callers.
    """
    if value is None:
        return 0
    if isinstance(value, str):
        return len(value.encode("utf-8", "surrogatepass"))
    return len(msgspec.json.encode(value))


def prompt_bound(
    spec: model_spec.ModelSpec, prompt_bytes: int, messages: int
) -> int:
    """Returns an upper bound on the number of prompt tokens."""
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
    """Returns the cost of the reported usage, at most the hold."""
    cost = token_cost(
        spec, max(usage.prompt_tokens, 0), max(usage.output_tokens, 0)
    )
    return min(cost, hold)
