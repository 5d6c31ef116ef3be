"""State of one call to the caller API."""

import asyncio
from collections.abc import Callable
import hashlib
import uuid

import attrs

from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.router import interrupt

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_CHARS = 255


@attrs.define(eq=False)
class CallContext:
    """State of one call, from its headers to the end of its response.

    Attributes:
      key: Idempotency key, or an empty string.
      started_s: Loop time at which the call began.
      attempt_id: Unique id of this call.
      request_id: Id shown to the caller. Calls with the same workspace and
        idempotency key share it, once the workspace is known.
      workspace: Name of the workspace, or an empty string until it is known.
      run: Whether the request has run, as far as this router knows now.
      interrupter: Interrupts the task that serves the call.
      failure: Error that ended a stream after its response had begun.
      after_response: Callbacks that run once the response was sent or the
        caller has disconnected. Actions that let another attempt run belong
        here, so that an answer `not run` is still true when it is sent.
    """

    key: str
    started_s: float
    attempt_id: str
    request_id: str
    workspace: str
    run: run_state.RunState
    interrupter: interrupt.Interrupter
    failure: refusal.Refusal | None = None
    after_response: list[Callable[[], None]] = attrs.field(factory=list)

    def set_workspace(self, workspace: str) -> None:
        """Sets the workspace and, if the call has a key, the request id."""
        self.workspace = workspace
        if self.key:
            self.request_id = keyed_request_id(workspace, self.key)


def begin_call(key: str) -> CallContext:
    """Returns the context of a new call that the current task serves."""
    attempt_id = uuid.uuid4().hex
    # An earlier attempt with the same key may have run.
    run = run_state.RunState.UNKNOWN if key else run_state.RunState.NO
    return CallContext(
        key=key,
        started_s=asyncio.get_running_loop().time(),
        attempt_id=attempt_id,
        request_id=attempt_id,
        workspace="",
        run=run,
        interrupter=interrupt.Interrupter(),
    )


def keyed_request_id(workspace: str, key: str) -> str:
    """Returns the request id for an idempotency key of a workspace."""
    # The length prefix gives ("ab", "c") and ("a", "bc") different ids.
    data = f"{len(workspace)}:{workspace}:{key}"
    return hashlib.sha256(data.encode()).hexdigest()[:32]
