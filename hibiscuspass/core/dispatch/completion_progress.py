"""Decides the next step after each event and failure of one completion."""

import enum

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state


class Verdict(enum.Enum):
    """What to do with one token event."""

    # Relay the event and wait for the next one.
    RELAY = "relay"
    # Relay the event; it is the last one.
    FINISH = "finish"
    # Don't relay the event; the output limit would be exceeded.
    LIMIT = "limit"
    # Don't relay the event; it was relayed before.
    SKIP = "skip"
    # Events are missing; the connection can't be used further.
    GAP = "gap"


@attrs.frozen
class Resume:
    """Continue the stream on the same backend over a new connection.

    Attributes:
      backend: Backend server of the stream.
      offset: Index of the first event to receive.
    """

    backend: str
    offset: int


@attrs.frozen
class Dispatch:
    """Send the request to a newly chosen backend server.

    Attributes:
      excluded: Backend servers that must not be chosen.
      restart: Whether events received so far must be discarded.
    """

    excluded: frozenset[str]
    restart: bool


@attrs.frozen
class Fail:
    """End the request with this refusal."""

    refused: refusal.Refusal


Action = Resume | Dispatch | Fail

_DEFAULT_MAX_DISPATCHES = 3
_DEFAULT_MAX_RESUMES = 4
# Every engine would refuse the request for the same reason.
_REQUEST_FAULTS = frozenset(
    {reason.Reason.INVALID_REQUEST, reason.Reason.BODY_TOO_LARGE}
)


def is_fault_of_request(refused: refusal.Refusal) -> bool:
    """Returns whether the request, not the backend, caused a refusal."""
    return refused.reason in _REQUEST_FAULTS


class CompletionProgress:
    """Progress of one completion across its backends and connections.

    Attributes:
      backend: Backend server of the current dispatch.
      next_index: Index of the next event expected from the backend.
      output_tokens: Tokens accepted so far.
      usage: Usage reported by the backend, if any.
      delivered: Whether the caller has received any event.
      maybe_received: Whether any backend may have received the request.
      has_output: Whether a backend has produced at least one event.
    """

    __slots__ = (
        "_attached",
        "_current_maybe_received",
        "_dispatches",
        "_excluded",
        "_max_dispatches",
        "_max_resumes",
        "_output_limit",
        "_resumes",
        "backend",
        "delivered",
        "has_output",
        "maybe_received",
        "next_index",
        "output_tokens",
        "usage",
    )

    def __init__(
        self,
        output_limit: int,
        *,
        attached: refusal.Refusal | None = None,
        max_dispatches: int = _DEFAULT_MAX_DISPATCHES,
        max_resumes: int = _DEFAULT_MAX_RESUMES,
    ) -> None:
        """Creates the state of a completion that was not yet dispatched.

        Args:
          output_limit: Largest number of tokens to accept.
          attached: Set only if another attempt owns the request, which is then
            never dispatched again. The refusal to return if the stream of that
            attempt can't be followed.
          max_dispatches: Largest number of dispatches, including the first.
          max_resumes: Largest number of consecutive resumes without a new
            event.
        """
        self._output_limit = output_limit
        self._attached = attached
        self._max_dispatches = max_dispatches
        self._max_resumes = max_resumes
        self._excluded: frozenset[str] = frozenset()
        self._dispatches = 0
        self._resumes = 0
        # Whether the current backend may have received the request.
        self._current_maybe_received = False
        self.backend = ""
        self.next_index = 0
        self.output_tokens = 0
        self.usage: engine.Usage | None = None
        self.delivered = False
        self.maybe_received = False
        self.has_output = False

    def on_dispatch(self, backend: str) -> None:
        """Records that the request is about to be sent to a backend."""
        self.backend = backend
        self._dispatches += 1
        self._resumes = 0
        self._current_maybe_received = False

    def on_earlier_run(self, backend: str) -> None:
        """Records that an earlier attempt may have run on a backend."""
        self.backend = backend
        self.on_sent()

    def on_sent(self) -> None:
        """Records that the current backend may have received the request."""
        self._current_maybe_received = self.maybe_received = True

    def on_event(self, event: engine.TokenEvent) -> Verdict:
        """Records an event of the current connection; returns what to do."""
        index = event.index
        if index != self.next_index:
            return Verdict.SKIP if index < self.next_index else Verdict.GAP
        self._current_maybe_received = self.maybe_received = self.has_output = (
            True
        )
        if event.usage is not None:
            self.usage = event.usage
        if self.output_tokens + event.tokens > self._output_limit:
            return Verdict.LIMIT
        self.next_index = index + 1
        self.output_tokens += event.tokens
        self._resumes = 0
        return Verdict.FINISH if event.finished else Verdict.RELAY

    def on_refusal(self, refused: refusal.Refusal) -> Action:
        """Returns the action after a dispatch or resume that did not finish."""
        if refused.run is not run_state.RunState.NO:
            self.on_sent()
        if is_fault_of_request(refused) and not self.has_output:
            return self._failure(refused)
        if refused.reason is reason.Reason.NOT_FOUND:
            return self._try_another_backend(refused)
        if not self._current_maybe_received:
            return self._try_another_backend(refused)
        self._resumes += 1
        if self._resumes <= self._max_resumes:
            return Resume(self.backend, self.next_index)
        return self._try_another_backend(refused)

    def on_no_route(self, refused: refusal.Refusal) -> Fail:
        """Returns the failure when no backend server can be chosen."""
        return self._failure(refused)

    def _try_another_backend(self, refused: refusal.Refusal) -> Action:
        # Another engine generates a different text, so it can take over only
        # if the caller has not received any event.
        if (
            self._attached is not None
            or self.delivered
            or self._dispatches >= self._max_dispatches
        ):
            return self._failure(refused)
        if refused.reason is not reason.Reason.NOT_FOUND:
            self._excluded |= {self.backend}
        restart = self.next_index > 0
        self.next_index = 0
        self.output_tokens = 0
        self.usage = None
        return Dispatch(self._excluded, restart)

    def _failure(self, refused: refusal.Refusal) -> Fail:
        if self._attached is not None and not self.delivered:
            return Fail(self._attached)
        if self.has_output:
            return Fail(
                refusal.Refusal(
                    reason.Reason.BACKEND_LOST,
                    f"stream ended after {self.output_tokens} tokens and"
                    f" cannot be continued: {refused.detail}",
                    run_state.RunState.YES,
                )
            )
        if not self.maybe_received:
            return Fail(attrs.evolve(refused, run=run_state.RunState.NO))
        code = (
            reason.Reason.BACKEND_LOST
            if refused.reason is reason.Reason.NOT_FOUND
            else refused.reason
        )
        return Fail(
            attrs.evolve(refused, reason=code, run=run_state.RunState.UNKNOWN)
        )
