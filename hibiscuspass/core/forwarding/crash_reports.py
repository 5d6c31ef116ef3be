"""Keeps the reports of requests that were lost in crashes of engines.

Load pattern: requests with a certain part crash each engine that begins to
answer them, one engine after the other. No two of them are alike: they come at
any router and share their other parts with sound requests. A crash ends all
requests on its engine, so each of them is reported. Only the part that causes
the crashes, and parts that came with it each time, are reported for several
engines while other prompts are answered. `crash_evidence` decides.
"""

import bisect
import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import attrs

from hibiscuspass.core.forwarding import crash_evidence

# Reports are kept for this long, so that crashes that come slowly add up.
_WINDOW_S = 600.0
# Bounds the memory after many crashes of engines for other reasons.
_MAX_PARTS = 10_000
_MAX_REQUESTS = 10_000

_Stage = crash_evidence.Stage


@attrs.define
class _Crash:
    """Requests with one part that were lost in one crash.

    Attributes:
      at_s: Time of the first report.
      events: Number of complete events of each answer; None before its head.
    """

    at_s: float
    events: list[int | None] = attrs.field(factory=list)

    def hit(self, stage: _Stage) -> bool:
        """Returns whether an answer was at a stage."""
        return any(map(stage.contains, self.events))


class _Totals:
    """Numbers of lost requests since any time, by stage."""

    def __init__(self, requests: Sequence[tuple[float, int | None]]) -> None:
        """Counts requests.

        Args:
          requests: Time of the report and number of events of each request, in
            the order of time.
        """
        self._times_s = [at_s for at_s, _ in requests]
        self._lost = {
            stage: _running_count(stage.contains(e) for _, e in requests)
            for stage in _Stage
        }
        self._passed = {
            stage: _running_count(stage.precedes(e) for _, e in requests)
            for stage in _Stage
        }

    def lost(self, stage: _Stage, since_s: float) -> int:
        """Returns the number of requests that were lost at a stage."""
        return self._since(self._lost[stage], since_s)

    def passed(self, stage: _Stage, since_s: float) -> int:
        """Returns the number of requests that were lost after a stage."""
        return self._since(self._passed[stage], since_s)

    def _since(self, counts: Sequence[int], since_s: float) -> int:
        return counts[-1] - counts[bisect.bisect_left(self._times_s, since_s)]


class CrashReports:
    """Reports of requests that were lost in crashes of engines.

    All times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        # Crashes by instance, by part.
        self._crashes: collections.OrderedDict[str, dict[str, _Crash]] = (
            collections.OrderedDict()
        )
        self._requests: collections.deque[tuple[float, int | None]] = (
            collections.deque(maxlen=_MAX_REQUESTS)
        )

    def add(
        self,
        instance: str,
        part_ids: Iterable[str],
        now_s: float,
        events: int | None = None,
    ) -> None:
        """Records a request that was lost in the crash of an engine.

        Args:
          instance: Instance of the engine; a restarted one has another.
          part_ids: Parts of the prompt that other requests may have too.
          now_s: Current time.
          events: Number of complete events of the answer that had arrived; None
            before its head.
        """
        self._requests.append((now_s, events))
        for part_id in part_ids:
            crashes = self._crashes.setdefault(part_id, {})
            crashes.setdefault(instance, _Crash(now_s)).events.append(events)
            self._crashes.move_to_end(part_id)
        while len(self._crashes) > _MAX_PARTS:
            self._crashes.popitem(last=False)

    def suspects(self, now_s: float) -> list[crash_evidence.Suspect]:
        """Returns the parts with which enough engines have crashed."""
        self._drop_old(now_s)
        recent = {p: self._recent(p, now_s) for p in self._crashes}
        lost_parts = {
            stage: sum(
                any(crash.hit(stage) for crash in crashes.values())
                for crashes in recent.values()
            )
            for stage in _Stage
        }
        totals = _Totals(tuple(self._requests))
        suspects = (
            _make_suspect(part_id, crashes.values(), totals, lost_parts)
            for part_id, crashes in recent.items()
        )
        return [suspect for suspect in suspects if suspect.losses]

    def causes(
        self, part_ids: Collection[str], now_s: float
    ) -> list[frozenset[str]]:
        """Returns the parts, or sets of parts, that explain the crashes.

        Parts that came together in each crash can't be told apart. They are
        one cause: requests with some of them are sound as far as is known. A
        part whose crashes are among those of another one is no cause.

        Args:
          part_ids: Parts that may be causes, from `crash_evidence.unproven`.
          now_s: Current time.
        """
        crashes = {p: frozenset(self._recent(p, now_s)) for p in part_ids}
        distinct = frozenset(crashes.values())
        return [
            frozenset(p for p in part_ids if crashes[p] == instances)
            for instances in distinct
            if not any(instances < other for other in distinct)
        ]

    def crash_count(self, cause: Collection[str], now_s: float) -> int:
        """Returns the number of recent crashes with any part of a cause."""
        return len(
            {
                instance
                for part_id in cause
                if part_id in self._crashes
                for instance in self._recent(part_id, now_s)
            }
        )

    def forget(self, part_id: str) -> None:
        """Drops the reports of a part that is not the cause."""
        self._crashes.pop(part_id, None)

    def _drop_old(self, now_s: float) -> None:
        """Drops parts without a recent crash; the first ones are oldest."""
        while self._crashes:
            part_id = next(iter(self._crashes))
            if self._recent(part_id, now_s):
                return
            del self._crashes[part_id]

    def _recent(self, part_id: str, now_s: float) -> dict[str, _Crash]:
        """Returns the recent crashes with a part by instance."""
        return {
            instance: crash
            for instance, crash in self._crashes[part_id].items()
            if crash.at_s > now_s - _WINDOW_S
        }


def _make_suspect(
    part_id: str,
    crashes: Collection[_Crash],
    totals: _Totals,
    lost_parts: dict[_Stage, int],
) -> crash_evidence.Suspect:
    """Returns a part with its losses at the stages that count."""
    since_s = min((crash.at_s for crash in crashes), default=0.0)
    events = [e for crash in crashes for e in crash.events]
    losses = []
    for stage in _Stage:
        hits = sum(crash.hit(stage) for crash in crashes)
        has_passed = any(map(stage.precedes, events))
        if has_passed or hits < crash_evidence.MIN_CRASHES:
            continue
        losses.append(
            crash_evidence.StageLosses(
                hits,
                others=max(0, totals.lost(stage, since_s) - hits),
                passed=totals.passed(stage, since_s),
                parts=lost_parts[stage],
            )
        )
    return crash_evidence.Suspect(part_id, since_s, tuple(losses))


def _running_count(flags: Iterable[bool]) -> list[int]:
    """Returns the numbers of true flags before each flag, and of all."""
    return [0, *itertools.accumulate(map(int, flags))]
