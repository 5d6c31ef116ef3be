"""Hashes of a prompt's prefix blocks, as engines report them."""

from collections.abc import Mapping
from typing import Any

import xxhash

# The engines' prefix caches work on blocks of 64 tokens of about 4 bytes.
BLOCK_BYTES = 256


def prompt_bytes(body: Mapping[str, Any]) -> bytes:
    """Returns the prompt of a chat or text completion as the engine sees it.

    Content that is not text has its JSON-like form; it only has to be equal
    for equal content.
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
    """Returns the chained hash of each whole block, first block first.

    Each hash covers all text up to the end of its block, so equal hashes mean
    an equal prefix.
    """
    hashes = []
    last = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        last = xxhash.xxh3_64_intdigest(block, seed=last)
        hashes.append(last)
    return tuple(hashes)
