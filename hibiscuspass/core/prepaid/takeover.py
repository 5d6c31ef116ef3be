"""Takeover of tokens from a previous process of the same router."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from hibiscuspass.core.prepaid import store_record

# Tolerance for differences between the clocks of routers, which run at slightly
# different rates and show slightly different wall times, in seconds.
_CLOCK_MARGIN_S = 0.3
# Number of peers whose wall clocks have to be compared with the own clock.
_MIN_PEER_CLOCKS = 2


@attrs.frozen
class Evidence:
    """Upper bounds by peers for the age of a record, in seconds.

    Attributes:
      exact_s: Ages from the monotonic clocks of peers that have been running
        since before the write.
      by_clock_s: Ages from the wall clocks of peers that were restarted.
    """

    exact_s: Sequence[float] = ()
    by_clock_s: Sequence[float] = ()


def age_bound(own_s: float, evidence: Evidence, peers: int) -> float | None:
    """Returns the largest possible age of a record; None if unknown.

    The monotonic clock of a single peer is sufficient. If no peer has been
    running since the write, all routers crashed together. In that case the
    largest age by any wall clock counts, so a single correct clock prevents a
    takeover after the limits have expired.

    Args:
      own_s: Age by the wall clock of this router.
      evidence: Ages by the clocks of peers.
      peers: Number of known peers.
    """
    if evidence.exact_s:
        return min(evidence.exact_s)
    if len(evidence.by_clock_s) < max(1, min(_MIN_PEER_CLOCKS, peers)):
        return None
    return max(own_s, *evidence.by_clock_s)


def do_limits_hold(
    record: store_record.RouterRecord, age_s: float | None
) -> bool:
    """Returns whether a process certainly ended before its limits expired.

    Args:
      record: Last record of the process.
      age_s: Largest possible age of the record when the process ended; None if
        unknown.
    """
    return age_s is not None and age_s + _CLOCK_MARGIN_S < record.seal_s


def unused_tokens(record: store_record.RouterRecord) -> dict[str, int]:
    """Returns the drawn tokens above the limits of a record, by workspace."""
    amounts = {
        name: drawn - record.limits.get(name, 0)
        for name, drawn in record.drawn.items()
    }
    return {name: amount for name, amount in amounts.items() if amount > 0}


@attrs.define
class WriteHistory:
    """Writes of one router, from which it tells peers the age of revisions.

    Attributes:
      writes: Revision and send time in seconds of each write, oldest first.
    """

    writes: list[tuple[int, float]] = attrs.field(factory=list)

    def add(self, revision: int, sent_s: float, max_writes: int = 64) -> None:
        """Records a write and drops the oldest ones above the maximum."""
        self.writes.append((revision, sent_s))
        del self.writes[:-max_writes]

    def sent_before(self, revision: int) -> float | None:
        """Returns the send time of the newest write up to a revision."""
        times = [at_s for rev, at_s in self.writes if 0 < rev <= revision]
        return times[-1] if times else None


def history_of(
    items: Mapping[int, store_record.RouterRecord],
) -> WriteHistory:
    """Returns the writes of previous processes with their wall clock times.

    Args:
      items: Records of previous processes by revision.
    """
    writes = sorted(
        write
        for revision, record in items.items()
        for write in (
            *((rev, ms / 1000) for rev, ms in record.earlier_writes),
            (record.previous_revision, record.previous_ms / 1000),
            (revision, record.sent_ms / 1000),
        )
        if write[1] > 0
    )
    return WriteHistory(writes)
