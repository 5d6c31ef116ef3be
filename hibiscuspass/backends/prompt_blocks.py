"""Computes the hashes of a prompt's prefix blocks that engines report."""

from collections.abc import Mapping
from typing import Any

import xxhash

# The engines' prefix caches use blocks of 64 tokens of about 4 bytes each.
BLOCK_BYTES = 256


def prompt_bytes(body: Mapping[str, Any]) -> bytes:
    """Returns the prompt of a chat or text completion as one byte string.

    Content that is not a string is converted with `str`, because the result
    only needs to be equal for equal content.
    """
    messages = body.get("messages")
    if not isinstance(messages, list):
        return str(body.get("prompt", "")).encode()
    return "".join(
        f"{m.get('role', '')}\n{m.get('content', '')}\n"
        for m in messages
        if isinstance(m, Mapping)
    ).encode()


def block_hashes(prompt: bytes) -> tuple[int, ...]:
    """Returns the chained hashes of all complete blocks, in order.

    Each hash covers the text from the start of the prompt to the end of its
    block, so equal hashes mean equal prefixes.
    """
    hashes = []
    last = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        last = xxhash.xxh3_64_intdigest(block, seed=last)
        hashes.append(last)
    return tuple(hashes)
