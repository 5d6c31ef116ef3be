"""Prompt parts that an engine is believed to keep."""

import collections
from collections.abc import Sequence

from hibiscuspass.core.forwarding import request as request_lib


class PrefixCacheModel:
    """Least recently used parts give way, as in the engine itself."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def cached_prefix_tokens(
        self, parts: Sequence[request_lib.PromptPart]
    ) -> int:
        """Returns the tokens of the leading parts that are kept.

        A part is of use only if all parts before it are kept too.
        """
        kept = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            kept += part.tokens
        return kept

    def on_prefill(self, parts: Sequence[request_lib.PromptPart]) -> None:
        """Records that the engine reads a prompt."""
        for part in parts:
            old = self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._tokens += part.tokens - old
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
