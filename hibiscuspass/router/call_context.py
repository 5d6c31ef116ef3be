"""State of one call of the caller API."""

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
    """One call, from its first byte to its answer.

    Attributes:
      key: Idempotency key, or an empty string.
      started_s: Loop time of the start.
      attempt_id: Unique id of this call.
      request_id: Id shown to the caller; for keyed calls the same at each
        retry, once the workspace is known.
      workspace: Name of the workspace, once known.
      run: What is known now about the execution of the request.
      interrupter: Interrupts the task that serves the call.
      failure: Error that ended a stream after its response had begun.
      after_response: What to do once the answer was sent or the caller is gone.
        Whatever lets another attempt run comes here, so that a `not run` is
        true when it is sent.
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
        """Sets the workspace and, for keyed calls, the final request id."""
        self.workspace = workspace
        if self.key:
            self.request_id = keyed_request_id(workspace, self.key)


def begin_call(key: str) -> CallContext:
    """Returns the context of a new call served by the current task."""
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
    # A length prefix keeps ("ab", "c") and ("a", "bc") apart.
    data = f"{len(workspace)}:{workspace}:{key}"
    return hashlib.sha256(data.encode()).hexdigest()[:32]
