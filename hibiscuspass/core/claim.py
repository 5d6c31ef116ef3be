"""Claims that make a non-repeatable call run at most once.

A claim is one key of the key-value service, created before the first byte is
sent to a backend server. `Attempt` is the state machine that creates the claim
of one call; it consumes replies of the key-value service and returns the next
action.
"""

import base64
from collections.abc import Mapping
import enum
import hashlib

import attrs
import msgspec

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state

# The key-value service limits values to 1 MB, and base64 adds a third.
_MAX_STORED_BODY_BYTES = 600_000
_IN_PROGRESS_RETRY_S = 1.0
# Number of reads after a lost reply before the claim counts as uncertain.
_MAX_VERIFY_READS = 3


class State(enum.Enum):
    """State of a claim in the key-value service."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredOutcome:
    """The answer of a plain service, kept for duplicates.

    Attributes:
      status: HTTP status.
      headers: Response headers.
      body: Response body; None if it was too long to be stored.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes | None


@attrs.frozen
class Record:
    """Value of a claim key.

    Attributes:
      operation: Id of the attempt that created the claim.
      fingerprint: Digest of method, path and body of the call.
      state: State of the claim.
      outcome: Answer of the plain service, for `State.DONE`.
    """

    operation: str
    fingerprint: str
    state: State
    outcome: StoredOutcome | None = None


@attrs.frozen
class Create:
    """Create the claim key with this record if it is absent."""

    record: Record


@attrs.frozen
class Read:
    """Read the claim key to find out whether a create took effect."""


@attrs.frozen
class Dispatch:
    """The claim is held: call the backend server once.

    Attributes:
      revision: Revision of the claim key.
    """

    revision: int


@attrs.frozen
class Replay:
    """Answer with the outcome of an earlier attempt."""

    outcome: StoredOutcome


@attrs.frozen
class Refuse:
    """Answer with a refusal.

    Attributes:
      refused: The refusal to answer with.
      release: Whether the claim may belong to this attempt and must be released
        in the background.
    """

    refused: refusal.Refusal
    release: bool = False


Action = Create | Read | Dispatch | Replay | Refuse


class Attempt:
    """One attempt to claim a call."""

    def __init__(self, operation: str, fingerprint: str) -> None:
        self._operation = operation
        self._fingerprint = fingerprint
        self._reads = 0

    def start(self) -> Create:
        """Returns the first action."""
        return Create(Record(self._operation, self._fingerprint, State.CLAIMED))

    def on_create(self, reply: kv_store.CasResult | refusal.Refusal) -> Action:
        """Decides on the reply to `Create`."""
        if isinstance(reply, refusal.Refusal):
            if reply.reason is reason.Reason.TIMEOUT:
                return Read()
            return self._uncertain(reply, release=False)
        if reply.succeeded:
            return Dispatch(reply.revision)
        return self._on_current(reply.current)

    def on_read(self, reply: kv_store.ReadResult | refusal.Refusal) -> Action:
        """Decides on the reply to `Read`."""
        if isinstance(reply, refusal.Refusal):
            self._reads += 1
            if self._reads < _MAX_VERIFY_READS:
                return Read()
            return self._uncertain(reply, release=True)
        return self._on_current(next(iter(reply.entries), None))

    def _on_current(self, current: kv_store.KeyValue | None) -> Action:
        if current is None:
            # A delayed create may still take effect, so it is neither repeated
            # nor treated as failed.
            return self._uncertain(None, release=True)
        record = decode(current.value)
        if record is None:
            return Refuse(
                refusal.Refusal(
                    reason.Reason.CLAIM_UNCERTAIN,
                    f"claim {current.key!r} can't be decoded",
                    run_state.RunState.UNKNOWN,
                )
            )
        if record.operation == self._operation:
            return Dispatch(current.revision)
        if record.fingerprint != self._fingerprint:
            return Refuse(
                refusal.Refusal(
                    reason.Reason.IDEMPOTENCY_KEY_REUSED,
                    "the idempotency key was used with another method, path"
                    " or body",
                )
            )
        return _on_duplicate(record)

    def _uncertain(
        self, cause: refusal.Refusal | None, *, release: bool
    ) -> Refuse:
        detail = cause.detail or cause.reason.value if cause else "not found"
        return Refuse(
            refusal.Refusal(
                reason.Reason.CLAIM_UNCERTAIN,
                f"the claim could not be made with certainty: {detail}",
                run_state.RunState.UNKNOWN,
                retry_after_s=_IN_PROGRESS_RETRY_S,
            ),
            release,
        )


def _on_duplicate(record: Record) -> Action:
    if record.state is State.DONE and record.outcome is not None:
        if record.outcome.body is None:
            return Refuse(
                refusal.Refusal(
                    reason.Reason.ALREADY_COMPLETED,
                    f"the call completed with status {record.outcome.status};"
                    " its answer was too long to be kept",
                    run_state.RunState.YES,
                )
            )
        return Replay(record.outcome)
    if record.state is State.UNKNOWN:
        return Refuse(
            refusal.Refusal(
                reason.Reason.BACKEND_LOST,
                "an earlier attempt was sent and never answered",
                run_state.RunState.UNKNOWN,
            )
        )
    return Refuse(
        refusal.Refusal(
            reason.Reason.IN_PROGRESS,
            "an earlier attempt with this idempotency key is in progress",
            run_state.RunState.UNKNOWN,
            retry_after_s=_IN_PROGRESS_RETRY_S,
        )
    )


def record_after_dispatch(
    claimed: Record, outcome: StoredOutcome | refusal.Refusal
) -> Record | None:
    """Returns the record to store after a dispatch; None to delete the claim.

    Args:
      claimed: The record that was created.
      outcome: The backend's answer, or the refusal of the last dispatch.
    """
    if isinstance(outcome, refusal.Refusal):
        if outcome.run is run_state.RunState.NO:
            return None
        return attrs.evolve(claimed, state=State.UNKNOWN)
    if len(outcome.body or b"") > _MAX_STORED_BODY_BYTES:
        outcome = attrs.evolve(outcome, body=None)
    return attrs.evolve(claimed, state=State.DONE, outcome=outcome)


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns a digest that distinguishes calls with the same key."""
    head = f"{method} {path}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Returns the key under which a claim is stored."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"claims/{workspace}/{digest}"


def encode(record: Record) -> bytes:
    """Returns the stored form of a record."""
    data: dict[str, object] = {
        "operation": record.operation,
        "fingerprint": record.fingerprint,
        "state": record.state.value,
    }
    if record.outcome is not None:
        body = record.outcome.body
        data["outcome"] = {
            "status": record.outcome.status,
            "headers": dict(record.outcome.headers),
            "body": None if body is None else base64.b64encode(body).decode(),
        }
    return msgspec.json.encode(data)


def decode(value: bytes) -> Record | None:
    """Returns the record of a stored value, None if it is malformed."""
    try:
        stored = msgspec.json.decode(value, type=_StoredRecord)
        state = State(stored.state)
        outcome = _decode_outcome(stored.outcome)
    except (msgspec.MsgspecError, ValueError):
        return None
    return Record(stored.operation, stored.fingerprint, state, outcome)


class _StoredOutcomeJson(msgspec.Struct):
    status: int
    headers: dict[str, str]
    body: str | None


class _StoredRecord(msgspec.Struct):
    operation: str
    fingerprint: str
    state: str
    outcome: _StoredOutcomeJson | None = None


def _decode_outcome(
    stored: _StoredOutcomeJson | None,
) -> StoredOutcome | None:
    if stored is None:
        return None
    body = None if stored.body is None else base64.b64decode(stored.body)
    return StoredOutcome(stored.status, stored.headers, body)
