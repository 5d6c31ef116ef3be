"""Keeps requests away from engines that they would crash."""

from collections.abc import Callable
import time

import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import prompt_trial
from hibiscuspass.core.forwarding import proven_parts
from hibiscuspass.core.forwarding import quarantine as quarantine_lib
from hibiscuspass.core.forwarding import request as request_lib
from hibiscuspass.core.retry import ejection as ejection_lib
from hibiscuspass.gateway import crash_coordinator
from hibiscuspass.gateway import crash_reporter
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import quarantine_list
from hibiscuspass.peers import transport as transport_lib

_log = structlog.get_logger(__name__)

# A part usually stays in quarantine for minutes.
_RETRY_AFTER_S = 60.0


class PromptGuard:
    """Refuses prompts in quarantine, and reports requests that were lost."""

    def __init__(
        self,
        transport: transport_lib.Transport,
        fleet: fleet_lib.Fleet,
        store: txn_store.TxnStore,
        ejection: ejection_lib.EjectionTracker,
        on_written_again: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._quarantine = quarantine_lib.Quarantine(lambda: fleet.known_size)
        self._proven = proven_parts.ProvenParts()
        self._list = quarantine_list.QuarantineList(
            store, self._quarantine, on_written_again
        )
        self._coordinator = crash_coordinator.CrashCoordinator(
            transport, fleet, self._proven, self._quarantine, self._list
        )
        self._reporter = crash_reporter.CrashReporter(
            transport, fleet, self._proven, self._coordinator, ejection
        )

    async def run(self) -> None:
        """Follows the list of parts in quarantine until cancelled."""
        await self._list.run()

    def check(
        self, req: request_lib.ForwardRequest, *, is_send: bool = False
    ) -> refusal.Refusal | None:
        """Returns why a request must not be sent; None if it may be.

        Args:
          req: Request of a caller.
          is_send: Whether it is sent at once unless it is refused.
        """
        now_s = time.monotonic()
        cause = self._quarantine.find(req.prompt_parts, now_s, is_send=is_send)
        if cause is None:
            return None
        return refusal.Refusal(
            reason_lib.Reason.PROMPT_QUARANTINED,
            f"prompts with {' and '.join(sorted(cause))} make engines crash",
            retry_after_s=min(
                _RETRY_AFTER_S, self._quarantine.left_s(cause, now_s)
            ),
        )

    def on_finding(
        self,
        req: request_lib.ForwardRequest,
        backend: backend_lib.Backend,
        sent_s: float,
        finding: prompt_trial.Finding,
        events: int,
    ) -> None:
        """Records what an answer of an engine shows about its prompt.

        Args:
          req: Request of the caller.
          backend: Engine that answered.
          sent_s: Time of the send on the monotonic clock.
          finding: What the answer shows.
          events: Number of its complete events that have arrived.
        """
        if finding is prompt_trial.Finding.SOUND:
            self.on_sound(req)
            return
        self.on_lost(
            req,
            backend,
            sent_s,
            events=events,
            may_be_complete=finding is prompt_trial.Finding.AMBIGUOUS,
        )

    def on_sound(self, req: request_lib.ForwardRequest) -> None:
        """Records that an engine has not crashed on a request."""
        part_ids = [part.part_id for part in req.prompt_parts]
        self._proven.add(part_ids, time.monotonic())
        ended = self._quarantine.on_sound(part_ids)
        if ended:
            self._coordinator.announce_end(ended)

    def on_lost(
        self,
        req: request_lib.ForwardRequest,
        backend: backend_lib.Backend,
        sent_s: float,
        *,
        events: int | None = None,
        may_be_complete: bool = False,
    ) -> None:
        """Records that a connection ended; see `CrashReporter.on_lost`."""
        self._reporter.on_lost(
            req,
            backend,
            sent_s,
            events=events,
            may_be_complete=may_be_complete,
        )

    def close(self) -> None:
        """Stops all work."""
        self._reporter.close()
        self._coordinator.close()
