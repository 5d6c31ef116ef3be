"""Estimate of the prompt parts in the prefix cache of an engine."""

import collections
from collections.abc import Sequence

from hibiscuspass.core.forwarding import request as request_lib


class PrefixCacheModel:
    """Evicts the least recently used parts first, as the engine does."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def cached_prefix_tokens(
        self, parts: Sequence[request_lib.PromptPart]
    ) -> int:
        """Returns the tokens of the leading parts that are in the cache.

        The engine can reuse a part only if all parts before it are cached too.
        """
        cached = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return cached

    def on_prefill(self, parts: Sequence[request_lib.PromptPart]) -> None:
        """Records that the engine processes a prompt."""
        for part in parts:
            old = self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._tokens += part.tokens - old
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
