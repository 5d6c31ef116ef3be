"""Decides when a router checks the store beside its waiting poll.

A poll that waits long costs few calls, but the reply that it waits for may be
lost, also for all routers at once, as when the store discards its history. Load
pattern: a fleet of hundreds of routers, each of which follows the configuration
and the list of backend servers. Routers tell their neighbours when a poll was
answered and which change was the newest. A router checks for changes if neither
it nor a neighbour has had an answer for a share of the contact time, or if a
neighbour has read a change that it has not.
"""

import random

# Share of the contact time without an answer after which a router checks.
# The rest leaves time for the answer and for those that hear of it.
_MAX_AGE_SHARE = 0.45
# Largest share of the contact time by which routers wait longer at random. The
# first one spares the others their checks.
_JITTER_SHARE = 0.1
# Time for the own reply to arrive after a peer has announced its own.
_REPLY_GRACE_S = 0.1


class PollGuard:
    """Answers of the store to one router and its peers, without I/O.

    All times are seconds of a monotonic clock.

    Attributes:
      revision: Revision after which changes are looked for.
    """

    def __init__(self, contact_s: float, rng: random.Random) -> None:
        self.revision = 0
        self._contact_s = contact_s
        self._rng = rng
        self._max_age_s = 0.0
        self._answered_s = 0.0
        self._started_s = 0.0
        self._announced_revision = 0
        self._announced_s = 0.0

    def on_answer(self, revision: int, now_s: float) -> None:
        """Records an answer, after which changes from a revision are due."""
        self.revision = revision
        self._set_answered(now_s)
        if self._started_s >= self._announced_s:
            # The store knows of nothing newer than what was just read.
            self._announced_revision = 0

    def on_restored(self) -> None:
        """Forgets all revisions, which the store assigns again."""
        self.revision = 0
        self._announced_revision = 0

    def on_check(self, now_s: float) -> None:
        """Records the start of a check, which needs some time."""
        self._started_s = now_s

    def on_announced(self, revision: int, now_s: float) -> None:
        """Records that a peer had an answer.

        Args:
          revision: Newest change that the peer has read.
          now_s: Current time.
        """
        self._set_answered(now_s)
        if revision > max(self._announced_revision, self.revision):
            self._announced_revision = revision
            self._announced_s = now_s

    def is_check_due(self, now_s: float) -> bool:
        """Returns whether to ask the store for changes now."""
        if self._announced_revision > self.revision:
            since_s = max(self._announced_s, self._started_s)
            return now_s - since_s >= _REPLY_GRACE_S
        return now_s - self._answered_s >= self._max_age_s

    def _set_answered(self, now_s: float) -> None:
        self._answered_s = now_s
        self._max_age_s = self._contact_s * (
            _MAX_AGE_SHARE + self._rng.uniform(0.0, _JITTER_SHARE)
        )
