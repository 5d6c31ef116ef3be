"""Collects events of all processes and merges them."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from hibiscuspass.core import clock
from hibiscuspass.core import event as event_lib
from hibiscuspass.core import refusal
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.telemetry import timeline as timeline_lib

# Bounds the collection from a process that records events faster than they
# are read.
_MAX_REPLIES_PER_PROCESS = 50

EARLIEST = clock.Timestamp(0, 0)


@attrs.frozen
class Query:
    """Filter for events; an empty string matches every event."""

    request_id: str = ""
    workspace: str = ""
    grant_id: str = ""


@attrs.frozen
class Gap:
    """Reason why events of a process may be missing from a collection.

    Attributes:
      source: Process or address whose events may be missing.
      reason: Description of the cause.
    """

    source: str
    reason: str


@attrs.frozen
class Collection:
    """Merged events and the gaps among them."""

    events: tuple[event_lib.Event, ...] = ()
    gaps: tuple[Gap, ...] = ()


def merge(
    parts: Iterable[Sequence[event_lib.Event]],
) -> tuple[event_lib.Event, ...]:
    """Returns events ordered by hybrid logical clock, then by process.

    Duplicates, which arise when one process is queried at two addresses, are
    removed.
    """
    unique = {
        (e.at, e.process, e.kind, e.request_id, e.grant_id): e
        for part in parts
        for e in part
    }
    return tuple(unique[key] for key in sorted(unique))


class Collector:
    """Queries the events of processes over the peer links."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        addresses: Sequence[str],
        timeout_s: float,
    ) -> None:
        self._transport = transport
        self._addresses = tuple(dict.fromkeys(addresses))
        self._timeout_s = timeout_s
        # Timestamp of the last event received, per address and query. One
        # common cursor would skip events of processes whose clocks are behind.
        self._cursors: dict[tuple[str, Query], clock.Timestamp] = {}

    def set_addresses(self, addresses: Sequence[str]) -> None:
        """Replaces the addresses of the processes to query."""
        self._addresses = tuple(dict.fromkeys(addresses))

    async def collect(
        self, query: Query, after: clock.Timestamp = EARLIEST
    ) -> Collection:
        """Returns the matching events of all processes that reply.

        A repeated call with the same query returns only events that are new
        since the previous call. A query for a request also returns events of
        the grants that paid for it, unless they belong to another request.

        Args:
          query: Filter for events.
          after: Only events later than this timestamp.
        """
        found = await self._collect(query, after)
        if not query.request_id:
            return found
        grants = {e.grant_id for e in found.events if e.grant_id}
        related = [
            await self._collect(Query(grant_id=g), after)
            for g in sorted(grants)
        ]
        shared = [[e for e in r.events if not e.request_id] for r in related]
        return Collection(merge([found.events, *shared]), found.gaps)

    async def _collect(
        self, query: Query, after: clock.Timestamp
    ) -> Collection:
        parts = await asyncio.gather(
            *(self._collect_one(a, query, after) for a in self._addresses)
        )
        return Collection(
            merge(p.events for p in parts),
            tuple(gap for p in parts for gap in p.gaps),
        )

    async def _collect_one(
        self, address: str, query: Query, after: clock.Timestamp
    ) -> Collection:
        events: list[event_lib.Event] = []
        cursor = (address, query)
        after = self._cursors.get(cursor, after)
        for _ in range(_MAX_REPLIES_PER_PROCESS):
            reply = await self._transport.request(
                address,
                timeline_lib.EventsSince(
                    after, query.request_id, query.workspace, query.grant_id
                ),
                timeout_s=self._timeout_s,
            )
            if not isinstance(reply, timeline_lib.Events):
                return Collection(
                    tuple(events), (Gap(address, _reason_of(reply)),)
                )
            events += reply.events
            if reply.events:
                after = self._cursors[cursor] = reply.events[-1].at
            if not reply.has_more:
                return Collection(tuple(events), _dropped_events_gap(reply))
        return Collection(
            tuple(events), (Gap(address, "too many events; narrow the query"),)
        )


def _reason_of(reply: object) -> str:
    if isinstance(reply, refusal.Refusal):
        return f"no answer: {reply.detail or reply.reason.value}"
    return "unexpected answer"


def _dropped_events_gap(reply: timeline_lib.Events) -> tuple[Gap, ...]:
    if not reply.dropped:
        return ()
    why = f"{reply.dropped} oldest events are no longer kept"
    return (Gap(reply.process, why),)
