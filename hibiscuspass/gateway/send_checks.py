"""Checks before each send of a request, and refusals if it must not be sent."""

import time

from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.forwarding import attempts as attempts_lib
from hibiscuspass.core.forwarding import repeat_budget
from hibiscuspass.core.forwarding import route as route_lib
from hibiscuspass.gateway import call as call_lib
from hibiscuspass.gateway import fleet as fleet_lib
from hibiscuspass.gateway import prompt_guard
from hibiscuspass.gateway import time_limits

# By then, other servers are expected to be free.
DEFAULT_RETRY_AFTER_S = 0.5
# Other routers can serve the request at once.
_RETRY_AFTER_STOP_S = 0.1


class SendChecks:
    """Decides whether a request may be sent to one more server."""

    def __init__(
        self,
        guard: prompt_guard.PromptGuard,
        limits: time_limits.TimeLimits,
        repeats: repeat_budget.RepeatBudgets,
        fleet: fleet_lib.Fleet,
    ) -> None:
        self._guard = guard
        self._limits = limits
        self._repeats = repeats
        self._fleet = fleet

    def check(
        self,
        call: call_lib.Call,
        service: route_lib.Service,
        attempts: attempts_lib.Attempts,
    ) -> refusal.Refusal | None:
        """Returns why a request must not be sent now; None if it may be.

        Counts the request, or its repeat, in the retry budget of the service.
        """
        quarantined = self._guard.check(call.req, is_send=True)
        if quarantined and attempts.sends:
            return give_up(attempts, quarantined.detail)
        if quarantined:
            return quarantined
        now_s = time.monotonic()
        stop = self._limits.stop
        if stop and not stop.may_send(call.route, call.req.deadline_s, now_s):
            return refuse_in_stop(attempts)
        budget = self._repeats.of(service.name)
        if not attempts.sends:
            budget.on_request(now_s)
            return None
        if attempts.is_hopeless:
            return give_up(attempts, "no server was reached")
        if attempts.arrivals < attempts.sends and not attempts.arrivals:
            # No server was reached yet, so this is not a repeat.
            return None
        if attempts.arrivals >= attempts.max_attempts:
            return give_up(attempts, "no attempts left")
        if not budget.try_repeat(self._fleet.known_size, now_s):
            return give_up(attempts, "the repeat budget is used up")
        return None


def give_up(
    attempts: attempts_lib.Attempts,
    detail: str,
    retry_after_s: float | None = None,
) -> refusal.Refusal:
    """Returns the refusal of a request that no server has answered.

    Args:
      attempts: Sends of the request so far.
      detail: Why it isn't sent again.
      retry_after_s: Time after which the caller should send it again, in
        seconds, if it has not run.
    """
    detail = f"{detail}; last failure: {attempts.last_failure or 'none'}"
    if attempts.may_have_run:
        return refusal.Refusal(
            reason_lib.Reason.BACKEND_LOST, detail, run_state.RunState.UNKNOWN
        )
    return refusal.Refusal(
        reason_lib.Reason.NO_BACKEND,
        detail,
        retry_after_s=retry_after_s or DEFAULT_RETRY_AFTER_S,
    )


def refuse_in_stop(attempts: attempts_lib.Attempts) -> refusal.Refusal:
    """Returns the refusal of a request for which a stop leaves no time."""
    if attempts.may_have_run:
        return give_up(attempts, "this router stops")
    return refusal.Refusal(
        reason_lib.Reason.SHUTTING_DOWN,
        "this router stops; not run",
        retry_after_s=_RETRY_AFTER_STOP_S,
    )
