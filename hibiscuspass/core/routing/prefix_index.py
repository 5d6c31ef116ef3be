"""Index of the prefix blocks that each engine probably has in its cache."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from hibiscuspass.backends import engine


@attrs.define
class _CachedBlocks:
    # Time of the last confirmation by block hash, oldest first.
    confirmed_s: collections.OrderedDict[int, float] = attrs.field(
        factory=collections.OrderedDict
    )
    next_sequence: int | None = None


class PrefixIndex:
    """Estimates cache contents from cache events, in bounded memory.

    Cache events may arrive late or not at all, so the entries are only hints.
    """

    def __init__(
        self, max_entries: int, max_entries_per_engine: int, ttl_s: float
    ) -> None:
        self._max_entries = max_entries
        self._max_entries_per_engine = max_entries_per_engine
        self._ttl_s = ttl_s
        self._engines: dict[str, _CachedBlocks] = {}
        # Engines that had entries since the last `retain`, among which the
        # one with the most entries is searched.
        self._nonempty_engines: dict[str, _CachedBlocks] = {}

    def retain(self, engines: Iterable[str]) -> None:
        """Sets the known engines and drops the entries of all others."""
        self._engines = {
            name: self._engines.get(name) or _CachedBlocks() for name in engines
        }
        self._nonempty_engines = {
            name: blocks
            for name, blocks in self._engines.items()
            if blocks.confirmed_s
        }

    def on_cache_event(self, event: engine.CacheEvent, now_s: float) -> None:
        """Applies an event; after a gap, first drops all entries of the engine.

        After a lost event, any of the known entries may have been evicted.
        """
        blocks = self._engines.get(event.engine)
        if blocks is None:
            return
        expected = blocks.next_sequence
        if expected is not None and event.sequence < expected:
            # The event is repeated or out of order, or the engine restarted
            # and counts from 0. Stored blocks of an out-of-order event are
            # ignored, because a later event may have evicted them.
            for block in event.evicted:
                blocks.confirmed_s.pop(block, None)
            if event.sequence == 0:
                blocks.confirmed_s.clear()
                blocks.next_sequence = 1
                self._add(event.engine, blocks, event.stored, now_s)
            return
        if expected is not None and event.sequence > expected:
            blocks.confirmed_s.clear()
        blocks.next_sequence = event.sequence + 1
        for block in event.evicted:
            blocks.confirmed_s.pop(block, None)
        self._add(event.engine, blocks, event.stored, now_s)

    def on_dispatch(
        self, engine_name: str, prefix: Sequence[int], now_s: float
    ) -> None:
        """Records that an engine will soon have these blocks cached."""
        blocks = self._engines.get(engine_name)
        if blocks is not None:
            self._add(engine_name, blocks, prefix, now_s)

    def matched_blocks(
        self, engine_name: str, prefix: Sequence[int], now_s: float
    ) -> int:
        """Returns the number of leading blocks that are probably cached."""
        blocks = self._engines.get(engine_name)
        if blocks is None:
            return 0
        min_confirmed_s = now_s - self._ttl_s
        for count, block in enumerate(prefix):
            confirmed_s = blocks.confirmed_s.get(block)
            if confirmed_s is None or confirmed_s < min_confirmed_s:
                return count
        return len(prefix)

    def entries(self) -> int:
        """Returns the total number of entries of all engines."""
        return sum(len(b.confirmed_s) for b in self._nonempty_engines.values())

    def _add(
        self,
        engine_name: str,
        blocks: _CachedBlocks,
        new_blocks: Iterable[int],
        now_s: float,
    ) -> None:
        for block in new_blocks:
            blocks.confirmed_s[block] = now_s
            blocks.confirmed_s.move_to_end(block)
        if not blocks.confirmed_s:
            return
        self._nonempty_engines[engine_name] = blocks
        while len(blocks.confirmed_s) > self._max_entries_per_engine or (
            blocks.confirmed_s
            and next(iter(blocks.confirmed_s.values())) < now_s - self._ttl_s
        ):
            blocks.confirmed_s.popitem(last=False)
        excess = self.entries() - self._max_entries
        while excess > 0:
            largest = max(
                self._nonempty_engines.values(),
                key=lambda b: len(b.confirmed_s),
            )
            for _ in range(min(excess, len(largest.confirmed_s))):
                largest.confirmed_s.popitem(last=False)
            excess = self.entries() - self._max_entries
