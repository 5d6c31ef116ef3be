"""Decides how long a poll of the store waits and when it is replaced.

A poll that waits long costs few calls, but the reply that it waits for may be
lost. Load pattern: a fleet of hundreds of routers, each of which follows the
configuration and the list of backend servers, while some replies of the store
are lost and connections fall silent. Peers announce the newest change that they
have read, so a router whose reply was lost learns of the change from them. A
router that hears too few peers polls at short intervals instead.
"""

# Peers that a router must hear to rely on their announcements. With one, a
# reply that is lost by both routers would go unnoticed.
_MIN_WITNESSES = 2
# Longest wait that the store accepts, in seconds.
_MAX_WAIT_S = 30.0
# Share of the contact time for which a poll without witnesses waits. The rest
# leaves time to notice a lost connection within the contact time.
_WAIT_SHARE = 2 / 3
# Time for the reply of the store to arrive after the announcement of a peer.
_REPLY_GRACE_S = 0.25


class PollGuard:
    """State of one poll and of the announcements of peers, without I/O.

    Attributes:
      revision: Revision after which the poll waits for changes.
    """

    def __init__(self, contact_s: float) -> None:
        self.revision = 0
        self._short_wait_s = contact_s * _WAIT_SHARE
        self._started_s = 0.0
        self._wait_s = 0.0
        self._announced_revision = 0
        self._announced_s = 0.0

    def start(self, revision: int, witnesses: int, now_s: float) -> float:
        """Records the start of a poll; returns how long it waits in seconds.

        Args:
          revision: Revision after which it waits for changes.
          witnesses: Number of peers whose announcements arrive.
          now_s: Current monotonic time in seconds.
        """
        self.revision = revision
        self._started_s = now_s
        has_witnesses = witnesses >= _MIN_WITNESSES
        self._wait_s = _MAX_WAIT_S if has_witnesses else self._short_wait_s
        return self._wait_s

    def on_announced(self, revision: int, now_s: float) -> None:
        """Records the newest change that a peer has read."""
        if revision > max(self._announced_revision, self.revision):
            self._announced_revision = revision
            self._announced_s = now_s

    def should_restart(self, witnesses: int, now_s: float) -> bool:
        """Returns whether another poll should replace the waiting one.

        Args:
          witnesses: Number of peers whose announcements arrive.
          now_s: Current monotonic time in seconds.
        """
        if self._announced_revision > self.revision:
            since_s = max(self._announced_s, self._started_s)
            return now_s - since_s >= _REPLY_GRACE_S
        return (
            witnesses < _MIN_WITNESSES
            and self._wait_s > self._short_wait_s
            and now_s - self._started_s >= self._short_wait_s
        )
