"""Tells peers how old a revision of the store is, and asks them."""

import asyncio
from collections.abc import Mapping
import random
import time

import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import messages
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import takeover
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

_TIMEOUT_S = 0.3
# After a loss of all routers, the peers start at about the same time.
_ASK_FOR_S = 1.2
_PAUSE_S = 0.2
# Peers that are asked; one exact answer is enough.
_MOST_PEERS = 12


def _running_s() -> float:
    """Returns a time that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class AgeWitness:
    """Writes of this router and of its earlier starts, as evidence."""

    def __init__(
        self, transport: transport_lib.Transport, fleet: fleet_lib.Fleet
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._started_s = _running_s()
        self._started_wall_s = time.time()
        self._writes = takeover.WriteHistory()
        self._past = takeover.WriteHistory()
        transport.register(messages.AskAge, self._on_ask)

    def now(self) -> float:
        """Returns the time to be given to `on_written`."""
        return _running_s()

    def on_written(self, revision: int, sent_s: float) -> None:
        """Records a confirmed write of this router."""
        self._writes.add(revision, sent_s)

    def on_past(self, records: Mapping[int, store_record.RouterRecord]) -> None:
        """Takes in the records of earlier starts, by revision."""
        if records:
            self._past = takeover.history_of(records)

    async def age_bound(
        self, record: store_record.RouterRecord
    ) -> float | None:
        """Returns how old an earlier start's record was at most at its end.

        Args:
          record: Record of an earlier start of this router.
        """
        own_s = self._started_wall_s - record.sent_ms / 1000
        until_s = _running_s() + _ASK_FOR_S
        while True:
            evidence = await self._ask(record.seen_revision)
            peers = len(self._fleet.peers())
            bound = takeover.age_bound(own_s, evidence, peers)
            if bound is not None or _running_s() >= until_s:
                break
            await asyncio.sleep(_PAUSE_S)
        _log.info(
            "age of the earlier start's record",
            bound_s=bound,
            own_s=round(own_s, 2),
            exact_s=[round(s, 2) for s in evidence.exact_s],
            by_clock_s=[round(s, 2) for s in evidence.by_clock_s],
            revision=record.seen_revision,
        )
        return bound

    async def _ask(self, revision: int) -> takeover.Evidence:
        peers = self._fleet.peers()
        peers = random.sample(peers, min(len(peers), _MOST_PEERS))
        # The earlier start had ended when this process started. Taken before
        # the peers look at their clocks, since answers may be read late.
        since_start_s = _running_s() - self._started_s
        replies = await asyncio.gather(
            *(
                self._transport.request(
                    peer, messages.AskAge(revision), timeout_s=_TIMEOUT_S
                )
                for peer in peers
            )
        )
        known = [
            (reply.age_s - since_start_s, reply.is_exact)
            for reply in replies
            if isinstance(reply, messages.Age) and reply.age_s is not None
        ]
        return takeover.Evidence(
            [age_s for age_s, is_exact in known if is_exact],
            [age_s for age_s, is_exact in known if not is_exact],
        )

    async def _on_ask(
        self, _: incarnation.Incarnation, msg: messages.AskAge
    ) -> messages.Age:
        sent_s = self._writes.sent_before(msg.revision)
        if sent_s is not None:
            return messages.Age(_running_s() - sent_s, is_exact=True)
        sent_s = self._past.sent_before(msg.revision)
        if sent_s is not None:
            return messages.Age(time.time() - sent_s, is_exact=False)
        return messages.Age(None, is_exact=False)
