"""Finds the prompt part that makes engines crash.

Load pattern: requests with a certain part crash each engine that begins to
answer them, one engine after the other. No two of them are alike: they come at
any router and share their other parts with sound requests. A crash ends all
requests on its engine, so each of them is reported. Only the part that causes
the crashes, and parts that came with it each time, are reported for several
engines while other prompts are answered.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import math

import attrs

from hibiscuspass.core.forwarding import messages

# Fewer crashes than this may hit the requests with one part by chance.
_MIN_CRASHES = 4
# Highest expected number of sound parts that are lost as often as a suspect,
# and never answered, by chance.
_MAX_EXPECTED_ERRORS = 0.002
# Reports are kept for this long, so that crashes that come slowly add up.
_WINDOW_S = 600.0
# Bounds the memory after many crashes of engines for other reasons.
_MAX_PARTS = 10_000
_MAX_REQUESTS = 10_000


@attrs.frozen
class Suspect:
    """A part with which several engines have crashed.

    Attributes:
      part_id: Id of the part.
      since_s: Time of the first of these crashes. The part is not the cause if
        an engine has answered a prompt with it since then.
      crashes: Number of these crashes.
      lost_requests: Requests with any parts that were lost since then.
      lost_parts: Parts that were lost and have not been shown to be sound.
    """

    part_id: str
    since_s: float
    crashes: int
    lost_requests: int
    lost_parts: int

    def expected_errors(self, answers: int) -> float:
        """Returns how many sound parts would look like this one by chance.

        Requests with a sound part are lost as often as others. Their loss rate
        has a uniform prior, so the number of losses has a beta-binomial
        distribution.

        Args:
          answers: Answers to prompts with any parts since the first crash.
        """
        others = max(0, self.lost_requests - self.crashes)
        return self.lost_parts * math.prod(
            (others + 1 + n) / (others + answers + 2 + n)
            for n in range(self.crashes)
        )


class CrashReports:
    """Reports of requests that were lost in crashes of engines.

    All times are seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        # Times of the crashes by instance, by part.
        self._crashes_s: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._requests_s: collections.deque[float] = collections.deque(
            maxlen=_MAX_REQUESTS
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
            before its head. Not used yet.
        """
        del events
        self._requests_s.append(now_s)
        for part_id in part_ids:
            self._crashes_s.setdefault(part_id, {}).setdefault(instance, now_s)
            self._crashes_s.move_to_end(part_id)
        while len(self._crashes_s) > _MAX_PARTS:
            self._crashes_s.popitem(last=False)

    def suspects(self, now_s: float) -> list[Suspect]:
        """Returns the parts with which enough engines have crashed."""
        self._drop_old(now_s)
        recent = ((p, self._recent(p, now_s)) for p in self._crashes_s)
        return [
            self._make_suspect(part_id, crashes.values())
            for part_id, crashes in recent
            if len(crashes) >= _MIN_CRASHES
        ]

    def causes(
        self, part_ids: Collection[str], now_s: float
    ) -> list[frozenset[str]]:
        """Returns the parts, or sets of parts, that explain the crashes.

        Parts that came together in each crash can't be told apart. They are
        one cause: requests with some of them are sound as far as is known. A
        part whose crashes are among those of another one is no cause.

        Args:
          part_ids: Parts that may be causes, from `unproven`.
          now_s: Current time.
        """
        crashes = {p: frozenset(self._recent(p, now_s)) for p in part_ids}
        distinct = frozenset(crashes.values())
        return [
            frozenset(p for p in part_ids if crashes[p] == instances)
            for instances in distinct
            if not any(instances < other for other in distinct)
        ]

    def forget(self, part_id: str) -> None:
        """Drops the reports of a part that is not the cause."""
        self._crashes_s.pop(part_id, None)

    def _drop_old(self, now_s: float) -> None:
        """Drops parts without a recent crash; the first ones are oldest."""
        while self._crashes_s:
            part_id = next(iter(self._crashes_s))
            if self._recent(part_id, now_s):
                return
            del self._crashes_s[part_id]

    def _recent(self, part_id: str, now_s: float) -> dict[str, float]:
        """Returns the times of the crashes with a part by instance."""
        return {
            instance: at_s
            for instance, at_s in self._crashes_s[part_id].items()
            if at_s > now_s - _WINDOW_S
        }

    def _make_suspect(
        self, part_id: str, crashes_s: Collection[float]
    ) -> Suspect:
        since_s = min(crashes_s)
        return Suspect(
            part_id,
            since_s,
            crashes=len(crashes_s),
            lost_requests=sum(at_s >= since_s for at_s in self._requests_s),
            lost_parts=len(self._crashes_s),
        )


def unproven(
    suspects: Sequence[Suspect], proofs: Sequence[messages.Proof]
) -> list[str]:
    """Returns the parts that are unlikely to be lost so often by chance.

    Args:
      suspects: Parts that may be causes.
      proofs: What routers know of the suspects, in the same order.
    """
    proven = {part_id for proof in proofs for part_id in proof.part_ids}
    return [
        suspect.part_id
        for number, suspect in enumerate(suspects)
        if suspect.part_id not in proven
        and suspect.expected_errors(
            sum(proof.answers[number] for proof in proofs)
        )
        <= _MAX_EXPECTED_ERRORS
    ]
