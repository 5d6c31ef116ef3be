"""Decides whether a prompt part is lost in crashes too often for chance.

Load pattern: a prompt part crashes each engine that begins to answer it. A
crash also ends all other requests of its engine, up to dozens, which then wait
at the remaining engines. Most requests of the service are lost, so being lost
is no sign of a cause. Most of them wait or are in the middle of an answer,
though. Only the request that causes the crash is at the beginning of its answer
in each crash.
"""

from collections.abc import Collection
from collections.abc import Sequence
import enum
import math

import attrs

from hibiscuspass.core.forwarding import messages

# Highest expected number of sound parts that are lost as often as a suspect,
# and never answered, by chance.
CERTAIN = 0.002
# The same for a quarantine that ends soon if the part is sound.
LIKELY = 1.0
# With fewer requests that survived a stage, there is nothing to compare with.
_MIN_SURVIVORS = 5
# Fewer crashes may hit the requests with one part by chance.
MIN_CRASHES = 4


class Stage(enum.Enum):
    """Stage of an answer when its engine crashed; later ones contain earlier.

    An engine that crashes when it begins to write an answer may have sent some
    events of it before.
    """

    WITHOUT_EVENT = 0
    FIRST_EVENTS = 2
    FEW_EVENTS = 8
    ANY = math.inf

    def contains(self, events: int | None) -> bool:
        """Returns whether an answer was at this stage.

        Args:
          events: Number of its complete events; None before its head.
        """
        if events is None:
            return self is Stage.ANY
        return events <= self.value

    def precedes(self, events: int | None) -> bool:
        """Returns whether an answer had passed this stage."""
        return events is not None and events > self.value


@attrs.frozen
class StageLosses:
    """Losses at one stage since the first crash with a part.

    Attributes:
      crashes: Crashes in which a request with the part was lost at this stage.
      others: Requests with other parts that were lost at this stage.
      passed: Requests with other parts that were lost after this stage.
      parts: Parts that were lost at this stage and are not known to be sound.
    """

    crashes: int
    others: int
    passed: int
    parts: int

    def expected_errors(self, answers: int) -> float:
        """Returns how many sound parts would look like this one by chance.

        Of the requests that reach a stage, those with a sound part are lost
        there as often as others. The rate has a uniform prior, so the number of
        losses has a beta-binomial distribution.

        Args:
          answers: Answers to prompts with any parts since the first crash.
        """
        survivors = answers + self.passed
        if survivors < _MIN_SURVIVORS:
            return math.inf
        return self.parts * math.prod(
            (self.others + 1 + n) / (self.others + survivors + 2 + n)
            for n in range(self.crashes)
        )


@attrs.frozen
class Suspect:
    """A part with which several engines have crashed.

    Attributes:
      part_id: Id of the part.
      since_s: Time of the first of these crashes. The part is not the cause if
        an engine has answered a prompt with it since then.
      losses: Losses at the stages at which enough engines have crashed, and
        which no lost request with the part has passed.
    """

    part_id: str
    since_s: float
    losses: tuple[StageLosses, ...]

    def expected_errors(self, answers: int) -> float:
        """Returns the smallest expected number of errors of all stages."""
        return min(
            (losses.expected_errors(answers) for losses in self.losses),
            default=math.inf,
        )


def unproven(
    suspects: Sequence[Suspect],
    proofs: Collection[messages.Proof],
    max_expected_errors: float = CERTAIN,
) -> list[str]:
    """Returns the parts that are unlikely to be lost so often by chance.

    Args:
      suspects: Parts that may be causes.
      proofs: What routers know of the suspects, in the same order.
      max_expected_errors: Highest expected number of errors by chance.
    """
    proven = {part_id for proof in proofs for part_id in proof.part_ids}
    return [
        suspect.part_id
        for number, suspect in enumerate(suspects)
        if suspect.part_id not in proven
        and suspect.expected_errors(
            sum(proof.answers[number] for proof in proofs)
        )
        <= max_expected_errors
    ]
