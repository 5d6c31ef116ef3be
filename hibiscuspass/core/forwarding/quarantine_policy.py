"""Decides for how long requests with a cause of crashes are refused.

Load pattern: a deadly prompt part crashes all engines of a service within a
second. Until some are back there are no answers, so a sound part that came with
the deadly one in each crash can't be told from it. Many requests may have it.
"""

from collections.abc import Collection
from collections.abc import Sequence

import attrs

from hibiscuspass.core.forwarding import crash_evidence
from hibiscuspass.core.forwarding import crash_reports
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import quarantine

# The longest lease that the store grants. A part that still crashes engines
# after it is found again.
LONG_S = 600.0
# Answers to other requests may show within this time that engines crash anyway.
# Then few requests with the cause are sent, and one more crash is needed.
SHORT_S = 3.0
# With fewer answers since the first crash, a common sound part may be missing
# among them by chance.
_MIN_ANSWERS = 5


@attrs.frozen
class Decision:
    """A cause whose requests are refused.

    Attributes:
      cause: Parts that a request has if it is refused.
      duration_s: Time for which it is refused, in seconds.
    """

    cause: quarantine.Cause
    duration_s: float

    @property
    def is_final(self) -> bool:
        """Whether the cause is certain enough to be kept in the store."""
        return self.duration_s >= LONG_S


class QuarantinePolicy:
    """Decides on causes; all times are seconds of a monotonic clock."""

    def __init__(self, reports: crash_reports.CrashReports) -> None:
        self._reports = reports
        # Crashes at the time of a short quarantine, by cause.
        self._crashes: dict[quarantine.Cause, int] = {}

    def decide(
        self,
        suspects: Sequence[crash_evidence.Suspect],
        proofs: Collection[messages.Proof],
        now_s: float,
    ) -> list[Decision]:
        """Returns the causes that are due, in quarantine already or not.

        Args:
          suspects: Parts that may be causes.
          proofs: What routers know of the suspects, in the same order.
          now_s: Current time.
        """
        answers = {
            suspect.part_id: sum(proof.answers[number] for proof in proofs)
            for number, suspect in enumerate(suspects)
        }
        certain = frozenset(crash_evidence.unproven(suspects, proofs))
        likely = crash_evidence.unproven(
            suspects, proofs, crash_evidence.LIKELY
        )
        decisions = (
            self._decide(
                cause,
                is_certain=cause <= certain
                and min(answers[part] for part in cause) >= _MIN_ANSWERS,
                now_s=now_s,
            )
            for cause in self._reports.causes(likely, now_s)
        )
        return [decision for decision in decisions if decision]

    def _decide(
        self, cause: quarantine.Cause, *, is_certain: bool, now_s: float
    ) -> Decision | None:
        crashes = self._reports.crash_count(cause, now_s)
        if crashes <= self._crashes.get(cause, 0):
            return None
        if is_certain:
            return Decision(cause, LONG_S)
        self._crashes = {
            c: n
            for c, n in self._crashes.items()
            if self._reports.crash_count(c, now_s)
        } | {cause: crashes}
        return Decision(cause, SHORT_S)
