"""Collects reports of lost requests and puts prompt parts in quarantine.

Two routers of the fleet collect all reports, so that each sees what the others
have lost. Each of them decides by itself. The parts that may be the cause are
shown to all routers; those to which no engine has given an answer since the
first crash are put in quarantine.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import itertools
import time
from typing import Any

import structlog

from hibiscuspass.core import incarnation
from hibiscuspass.core.forwarding import crash_evidence
from hibiscuspass.core.forwarding import crash_reports
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import proven_parts
from hibiscuspass.core.forwarding import quarantine as quarantine_lib
from hibiscuspass.core.forwarding import quarantine_policy
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import quarantine_list
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

_TIMEOUT_S = 0.5
# Intervals at which routers are asked again until there are enough answers.
_MIN_DECISION_INTERVAL_S = 0.2
_MAX_DECISION_INTERVAL_S = 2.0
# Announcements are repeated to routers that did not confirm them. Later they
# learn of the quarantine from the store.
_ANNOUNCEMENTS = 4
_ANNOUNCEMENT_INTERVAL_S = 1.0


class CrashCoordinator:
    """Decides which prompt parts are put in quarantine."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        proven: proven_parts.ProvenParts,
        quarantine: quarantine_lib.Quarantine,
        listed: quarantine_list.QuarantineList,
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._proven = proven
        self._quarantine = quarantine
        self._list = listed
        self._reports = crash_reports.CrashReports()
        self._policy = quarantine_policy.QuarantinePolicy(self._reports)
        self._is_deciding = False
        self._is_reported = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        transport.register(messages.ReportCrashes, self.on_report)
        transport.register(messages.AskProof, self._on_ask_proof)
        transport.register(messages.Quarantined, self._on_quarantined)
        transport.register(messages.ShortQuarantine, self._on_short_quarantine)

    async def on_report(
        self, _: incarnation.Incarnation, msg: messages.ReportCrashes
    ) -> messages.Noted:
        """Handles the report of a router, which may be this one."""
        now_s = time.monotonic()
        # Routers of earlier versions don't send the numbers of events.
        all_events = itertools.chain(msg.events, itertools.repeat(None))
        for instance, part_ids, events in zip(
            msg.instances, msg.part_ids, all_events, strict=False
        ):
            self._reports.add(instance, part_ids, now_s, events)
        self._is_reported.set()
        if not self._is_deciding:
            self._is_deciding = True
            self._spawn(self._decide())
        return messages.Noted()

    def close(self) -> None:
        """Stops all work."""
        for task in self._tasks:
            task.cancel()

    def announce_end(self, causes: Sequence[quarantine_lib.Cause]) -> None:
        """Tells all routers that an answer has shown that causes are none."""
        parts = [sorted(cause) for cause in causes]
        _log.warning("prompt parts are sound", causes=parts)
        self._spawn(self._announce(messages.ShortQuarantine(parts, 0.0)))

    async def _decide(self) -> None:
        """Puts causes in quarantine until all reports are explained."""
        delay_s = _MIN_DECISION_INTERVAL_S
        try:
            while suspects := self._unexplained_suspects():
                self._is_reported.clear()
                if await self._explain(suspects):
                    delay_s = _MIN_DECISION_INTERVAL_S
                    continue
                await asyncio.sleep(_MIN_DECISION_INTERVAL_S)
                if await self._wait_for_report(
                    delay_s - _MIN_DECISION_INTERVAL_S
                ):
                    delay_s = _MIN_DECISION_INTERVAL_S
                else:
                    delay_s = min(_MAX_DECISION_INTERVAL_S, 2 * delay_s)
        finally:
            self._is_deciding = False

    async def _wait_for_report(self, timeout_s: float) -> bool:
        """Returns whether a report has come since the last decision."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._is_reported.wait()
        except TimeoutError:
            pass
        return self._is_reported.is_set()

    async def _explain(
        self, suspects: Sequence[crash_evidence.Suspect]
    ) -> bool:
        """Drops sound suspects and puts causes in quarantine.

        Returns:
          Whether there were any of either.
        """
        proofs = await self._ask_for_proofs(suspects)
        proven = {part_id for proof in proofs for part_id in proof.part_ids}
        for part_id in proven:
            self._reports.forget(part_id)
        now_s = time.monotonic()
        decisions = [
            d
            for d in self._policy.decide(suspects, proofs, now_s)
            if not self._is_in_force(d, now_s)
        ]
        for decision in decisions:
            self._start_quarantine(decision)
        return bool(proven or decisions)

    def _is_in_force(
        self, decision: quarantine_policy.Decision, now_s: float
    ) -> bool:
        if decision.is_final:
            return self._quarantine.covers_long(decision.cause, now_s)
        return self._quarantine.covers(decision.cause, now_s)

    def _start_quarantine(self, decision: quarantine_policy.Decision) -> None:
        cause = decision.cause
        _log.warning(
            "prompt parts crash engines",
            parts=sorted(cause),
            duration_s=decision.duration_s,
        )
        causes = [sorted(cause)]
        now_s = time.monotonic()
        if decision.is_final:
            self._quarantine.on_announced([cause], now_s)
            self._spawn(self._list.add(cause))
            self._spawn(self._announce(messages.Quarantined(causes)))
        else:
            duration_s = decision.duration_s
            self._quarantine.on_announced([cause], now_s, duration_s)
            self._spawn(
                self._announce(messages.ShortQuarantine(causes, duration_s))
            )

    def _unexplained_suspects(self) -> list[crash_evidence.Suspect]:
        """Returns the suspects, unless all causes are in long quarantine."""
        now_s = time.monotonic()
        suspects = self._reports.suspects(now_s)
        causes = self._reports.causes({s.part_id for s in suspects}, now_s)
        if all(self._quarantine.covers_long(c, now_s) for c in causes):
            return []
        return suspects

    async def _ask_for_proofs(
        self, suspects: Sequence[crash_evidence.Suspect]
    ) -> list[messages.Proof]:
        """Returns what the routers that answer know of some parts."""
        now_s = time.monotonic()
        ask = messages.AskProof(
            [s.part_id for s in suspects], [now_s - s.since_s for s in suspects]
        )
        replies = await asyncio.gather(
            *(
                self._transport.request(address, ask, timeout_s=_TIMEOUT_S)
                for address in self._fleet.peers()
            )
        )
        own = await self._on_ask_proof(self._fleet.process, ask)
        return [
            reply
            for reply in (*replies, own)
            if isinstance(reply, messages.Proof)
            and len(reply.answers) == len(suspects)
        ]

    async def _announce(
        self, msg: messages.Quarantined | messages.ShortQuarantine
    ) -> None:
        """Tells all routers of causes in quarantine."""
        confirmed: set[str] = set()
        for _ in range(_ANNOUNCEMENTS):
            peers = [a for a in self._fleet.peers() if a not in confirmed]
            replies = await asyncio.gather(
                *(
                    self._transport.request(address, msg, timeout_s=_TIMEOUT_S)
                    for address in peers
                )
            )
            confirmed.update(
                address
                for address, reply in zip(peers, replies, strict=True)
                if isinstance(reply, messages.Noted)
            )
            await asyncio.sleep(_ANNOUNCEMENT_INTERVAL_S)

    async def _on_ask_proof(
        self, _: incarnation.Incarnation, msg: messages.AskProof
    ) -> messages.Proof:
        now_s = time.monotonic()
        since_s = [now_s - age_s for age_s in msg.ages_s]
        return messages.Proof(
            [
                part_id
                for part_id, crash_s in zip(msg.part_ids, since_s, strict=False)
                if self._proven.is_proven_since(part_id, crash_s)
            ],
            [self._proven.answers_since(crash_s) for crash_s in since_s],
        )

    async def _on_quarantined(
        self, sender: incarnation.Incarnation, msg: messages.Quarantined
    ) -> messages.Noted:
        self._add_announced(sender, msg.causes, quarantine_lib.ANNOUNCED_TTL_S)
        return messages.Noted()

    async def _on_short_quarantine(
        self, sender: incarnation.Incarnation, msg: messages.ShortQuarantine
    ) -> messages.Noted:
        if msg.duration_s > 0:
            self._add_announced(sender, msg.causes, msg.duration_s)
        else:
            for part_ids in filter(None, msg.causes):
                self._quarantine.on_sound(part_ids)
        return messages.Noted()

    def _add_announced(
        self,
        sender: incarnation.Incarnation,
        parts: Sequence[Sequence[str]],
        duration_s: float,
    ) -> None:
        # Without parts, a cause would be in all prompts.
        causes = [frozenset(part_ids) for part_ids in parts if part_ids]
        for cause in self._quarantine.on_announced(
            causes, time.monotonic(), duration_s
        ):
            _log.warning(
                "prompt parts in quarantine",
                parts=sorted(cause),
                duration_s=duration_s,
                peer=str(sender),
            )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
