"""Which engine probably has which prefix blocks in its cache."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from hibiscuspass.backends import engine


@attrs.define
class _EngineBlocks:
    # Block hash to the time of its last confirmation, oldest first.
    seen_s: collections.OrderedDict[int, float] = attrs.field(
        factory=collections.OrderedDict
    )
    next_sequence: int | None = None


class PrefixIndex:
    """Hints from late and gappy cache events, in bounded memory."""

    def __init__(
        self, max_entries: int, max_entries_per_engine: int, ttl_s: float
    ) -> None:
        self._max_entries = max_entries
        self._max_entries_per_engine = max_entries_per_engine
        self._ttl_s = ttl_s
        self._engines: dict[str, _EngineBlocks] = {}
        # Engines that have had entries, to find the largest one.
        self._filled: dict[str, _EngineBlocks] = {}

    def retain(self, engines: Iterable[str]) -> None:
        """Sets the known engines and forgets all others."""
        self._engines = {
            name: self._engines.get(name) or _EngineBlocks() for name in engines
        }
        self._filled = {
            name: blocks
            for name, blocks in self._engines.items()
            if blocks.seen_s
        }

    def on_event(self, event: engine.CacheEvent, now_s: float) -> None:
        """Applies an event; a gap first drops all entries of the engine."""
        blocks = self._engines.get(event.engine)
        if blocks is None:
            return
        expected = blocks.next_sequence
        if expected is not None and event.sequence < expected:
            # A repeated or overtaken event, or a restarted engine. Stores are
            # not taken from it, because a later eviction may be known.
            for block in event.evicted:
                blocks.seen_s.pop(block, None)
            if event.sequence == 0:
                blocks.seen_s.clear()
                blocks.next_sequence = 1
                self._add(event.engine, blocks, event.stored, now_s)
            return
        if expected is not None and event.sequence > expected:
            blocks.seen_s.clear()
        blocks.next_sequence = event.sequence + 1
        for block in event.evicted:
            blocks.seen_s.pop(block, None)
        self._add(event.engine, blocks, event.stored, now_s)

    def on_dispatch(
        self, engine_name: str, prefix: Sequence[int], now_s: float
    ) -> None:
        """Notes that an engine will soon have these blocks."""
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
        oldest_s = now_s - self._ttl_s
        for count, block in enumerate(prefix):
            seen_s = blocks.seen_s.get(block)
            if seen_s is None or seen_s < oldest_s:
                return count
        return len(prefix)

    def entries(self) -> int:
        """Returns the number of entries of all engines."""
        return sum(len(b.seen_s) for b in self._filled.values())

    def _add(
        self,
        engine_name: str,
        blocks: _EngineBlocks,
        added: Iterable[int],
        now_s: float,
    ) -> None:
        for block in added:
            blocks.seen_s[block] = now_s
            blocks.seen_s.move_to_end(block)
        if not blocks.seen_s:
            return
        self._filled[engine_name] = blocks
        while len(blocks.seen_s) > self._max_entries_per_engine or (
            blocks.seen_s
            and next(iter(blocks.seen_s.values())) < now_s - self._ttl_s
        ):
            blocks.seen_s.popitem(last=False)
        excess = self.entries() - self._max_entries
        while excess > 0:
            largest = max(self._filled.values(), key=lambda b: len(b.seen_s))
            for _ in range(min(excess, len(largest.seen_s))):
                largest.seen_s.popitem(last=False)
            excess = self.entries() - self._max_entries
