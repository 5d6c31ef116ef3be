"""Share of the prompts with a prefix that was sent before."""

import collections
from collections.abc import Sequence

# Limits the memory for prefixes.
_MAX_PREFIXES = 20_000
# Weight of the newest prompt in the share.
_GAIN = 0.02


class PrefixRepeats:
    """Measures how often prefixes repeat.

    If prefixes don't repeat, preferring a home engine saves no work and only
    unbalances the load.

    Attributes:
      share: Share of recent prompts with a prefix that was sent before, 0 to 1.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self._sent: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def observe(self, leading_blocks: Sequence[int]) -> None:
        """Records the leading blocks of a prompt that is sent."""
        if not leading_blocks:
            return
        prefix = leading_blocks[-1]
        self.share += _GAIN * (float(prefix in self._sent) - self.share)
        self._sent[prefix] = None
        self._sent.move_to_end(prefix)
        if len(self._sent) > _MAX_PREFIXES:
            self._sent.popitem(last=False)
