"""Prefix cache of the engine test server, with numbered events."""

import collections
from collections.abc import Callable
from typing import Any

import xxhash

# Size of the prompt blocks that engines report, see docs/protocols.md.
BLOCK_BYTES = 256
_EVENTS_KEPT = 10_000


def prompt_bytes(body: dict[str, Any]) -> bytes:
    """Returns the prompt of a chat or text completion."""
    if "messages" not in body:
        return str(body.get("prompt", "")).encode()
    parts = [
        f"{m.get('role', '')}\n{m.get('content', '')}\n"
        for m in body["messages"]
    ]
    return "".join(parts).encode()


def block_hashes(prompt: bytes) -> list[int]:
    """Returns the chained hashes of a prompt's complete blocks."""
    hashes: list[int] = []
    for end in range(BLOCK_BYTES, len(prompt) + 1, BLOCK_BYTES):
        hashes.append(
            xxhash.xxh3_64_intdigest(
                prompt[end - BLOCK_BYTES : end],
                seed=hashes[-1] if hashes else 0,
            )
        )
    return hashes


class PrefixCache:
    """Least-recently-used cache of prompt blocks."""

    def __init__(
        self, capacity_blocks: int, monotonic_s: Callable[[], float]
    ) -> None:
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_EVENTS_KEPT
        )
        self.sequence = 0
        self._capacity = capacity_blocks
        self._monotonic_s = monotonic_s
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def used_ratio(self) -> float:
        """Fraction of the capacity that is used."""
        return len(self._blocks) / self._capacity if self._capacity else 0.0

    def store_prompt(self, hashes: list[int]) -> int:
        """Stores the blocks of a prompt.

        Returns:
          The number of leading blocks that were already cached.
        """
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            hits += 1
        stored = [b for b in hashes if b not in self._blocks]
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._emit(stored, evicted)
        return hits

    def events_older_than(self, delay_s: float) -> list[dict[str, Any]]:
        """Returns the kept events that are at least `delay_s` old."""
        limit_s = self._monotonic_s() - delay_s
        return [e for e in self.events if e["at_s"] <= limit_s]

    def clear(self) -> None:
        """Evicts all blocks."""
        evicted = list(self._blocks)
        self._blocks.clear()
        if evicted:
            self._emit([], evicted)

    def _emit(self, stored: list[int], evicted: list[int]) -> None:
        self.sequence += 1
        self.events.append(
            {
                "sequence": self.sequence,
                "at_s": self._monotonic_s(),
                "stored": stored,
                "evicted": evicted,
            }
        )
