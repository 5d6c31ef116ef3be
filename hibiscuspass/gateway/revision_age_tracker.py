"""Bounds the age of store revisions, for this router and for its peers.

A restarted router may take over the unused tokens of its earlier start only if
the record of that start was recent enough when the start ended.
"""

import asyncio
from collections.abc import Collection
from collections.abc import Mapping
import random
import time

import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import takeover
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import start_time
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

_REQUEST_TIMEOUT_S = 0.3
# If all routers were lost, the peers start at about the same time and answer
# only after their own start, so the question is repeated for this long.
_MAX_WAIT_S = 2.0
_RETRY_INTERVAL_S = 0.2
# One exact answer is enough, so only some peers are asked.
_MAX_PEERS = 12


class RevisionAgeTracker:
    """Records when this router wrote to the store, and asks peers about theirs.

    A write whose time is known bounds the age of its own and of each later
    revision.
    """

    def __init__(
        self,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        started: start_time.StartTime,
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._started = started
        self._writes = takeover.WriteHistory()
        self._earlier_writes = takeover.WriteHistory()
        transport.register(messages.AskAge, self._handle_age_request)

    def now(self) -> float:
        """Returns the present time on the clock that `record_write` expects."""
        return start_time.boot_time_s()

    def record_write(self, revision: int, sent_s: float) -> None:
        """Records a confirmed write of this router.

        Args:
          revision: Revision of the store that the write made.
          sent_s: Result of `now` before the write was sent.
        """
        self._writes.add(revision, sent_s)

    def load_earlier_records(
        self, records: Mapping[int, store_record.RouterRecord]
    ) -> None:
        """Replaces the history of earlier starts, unless there are none.

        Args:
          records: Records that earlier starts of this router wrote, by
            revision.
        """
        if records:
            self._earlier_writes = takeover.history_of(records)

    async def age_bound(
        self, record: store_record.RouterRecord, writers: Collection[str]
    ) -> float | None:
        """Returns how old a record was at most when its process ended.

        Asks peers until they give enough evidence or the time is up.

        Args:
          record: Record of an earlier start of this router.
          writers: Names of the routers that write to the store regularly. The
            bounds of others are as old as their last write.

        Returns:
          Age in seconds; None if there is not enough evidence.
        """
        own_s = self._started.wall_s - record.sent_ms / 1000
        deadline_s = start_time.boot_time_s() + _MAX_WAIT_S
        while True:
            evidence = await self._collect_evidence(
                record.seen_revision, writers
            )
            peers = len(self._fleet.peers())
            bound = takeover.age_bound(own_s, evidence, peers)
            if bound is not None or start_time.boot_time_s() >= deadline_s:
                break
            await asyncio.sleep(_RETRY_INTERVAL_S)
        _log.info(
            "age of the earlier start's record",
            bound_s=bound,
            own_s=round(own_s, 2),
            exact_s=[round(s, 2) for s in evidence.exact_s],
            by_clock_s=[round(s, 2) for s in evidence.by_clock_s],
            revision=record.seen_revision,
        )
        return bound

    async def _collect_evidence(
        self, revision: int, writers: Collection[str]
    ) -> takeover.Evidence:
        addresses = self._fleet.addresses_by_name()
        peers = [addresses[name] for name in writers if name in addresses]
        peers = random.sample(peers, min(len(peers), _MAX_PEERS))
        # The earlier start had ended when this process started, so the time
        # since then is not part of the age. It is measured before the request:
        # a pause before the answers are read would make it too long, and the
        # ages too small.
        since_start_s = start_time.boot_time_s() - self._started.boot_s
        replies = await asyncio.gather(
            *(
                self._transport.request(
                    peer,
                    messages.AskAge(revision),
                    timeout_s=_REQUEST_TIMEOUT_S,
                )
                for peer in peers
            )
        )
        ages = [
            (reply.age_s - since_start_s, reply.is_exact)
            for reply in replies
            if isinstance(reply, messages.Age) and reply.age_s is not None
        ]
        return takeover.Evidence(
            [age_s for age_s, is_exact in ages if is_exact],
            [age_s for age_s, is_exact in ages if not is_exact],
        )

    async def _handle_age_request(
        self, _: incarnation.Incarnation, msg: messages.AskAge
    ) -> messages.Age:
        sent_s = self._writes.sent_before(msg.revision)
        if sent_s is not None:
            return messages.Age(
                start_time.boot_time_s() - sent_s, is_exact=True
            )
        sent_s = self._earlier_writes.sent_before(msg.revision)
        if sent_s is not None:
            return messages.Age(time.time() - sent_s, is_exact=False)
        return messages.Age(None, is_exact=False)
