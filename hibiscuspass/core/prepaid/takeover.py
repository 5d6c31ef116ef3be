"""What the next start of a router takes over from an earlier one."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from hibiscuspass.core.prepaid import store_record

# Clocks of routers run at slightly different rates and their times of day
# differ a little, in seconds.
_CLOCK_MARGIN_S = 0.3
# Peers whose time of day has to confirm the own one.
_MIN_PEER_CLOCKS = 2


@attrs.frozen
class Evidence:
    """How long ago an earlier start wrote its record at most, in seconds.

    Attributes:
      exact_s: Ages by peers that have been running since before the write.
      by_clock_s: Ages by the time of day of peers that started again.
    """

    exact_s: Sequence[float] = ()
    by_clock_s: Sequence[float] = ()


def age_bound(own_s: float, evidence: Evidence, peers: int) -> float | None:
    """Returns the largest possible age of a record; None if unknown.

    One peer that has run all the time is proof enough. Without any, all
    routers were lost together; then the largest age by any time of day counts,
    so that a single right clock prevents a takeover that comes too late.

    Args:
      own_s: Age by the time of day of this router.
      evidence: Ages by peers.
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
    """Returns whether a router that ended used nothing beyond its limits.

    Args:
      record: Its last record.
      age_s: Largest possible age of the record when the router ended.
    """
    return age_s is not None and age_s + _CLOCK_MARGIN_S < record.seal_s


def unused_tokens(record: store_record.RouterRecord) -> dict[str, int]:
    """Returns the tokens beyond the limits of a record, by workspace."""
    amounts = {
        name: drawn - record.limits.get(name, 0)
        for name, drawn in record.drawn.items()
    }
    return {name: amount for name, amount in amounts.items() if amount > 0}


@attrs.define
class WriteHistory:
    """Writes of one router, as evidence for others.

    Attributes:
      writes: Revision and time of the send in seconds, oldest first.
    """

    writes: list[tuple[int, float]] = attrs.field(factory=list)

    def add(self, revision: int, sent_s: float, most: int = 64) -> None:
        """Records a write; only the newest ones are kept."""
        self.writes.append((revision, sent_s))
        del self.writes[:-most]

    def sent_before(self, revision: int) -> float | None:
        """Returns when the newest write up to a revision was sent."""
        times = [at_s for rev, at_s in self.writes if 0 < rev <= revision]
        return times[-1] if times else None


def history_of(
    items: Mapping[int, store_record.RouterRecord],
) -> WriteHistory:
    """Returns the writes of earlier starts by the time of day.

    Args:
      items: Records of earlier starts by revision.
    """
    writes = sorted(
        write
        for revision, record in items.items()
        for write in (
            (record.previous_revision, record.previous_ms / 1000),
            (revision, record.sent_ms / 1000),
        )
        if write[1] > 0
    )
    return WriteHistory(writes)
