"""Actions that a budget node returns for its caller to carry out."""

from collections.abc import Mapping

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import permit as permit_lib

Outcome = permit_lib.Permit | permit_lib.Attach | refusal.Refusal


@attrs.frozen
class Send:
    """Sends a request, or a reply that has the `ask_id` of its request."""

    to: incarnation.Incarnation
    msg: message.Message


@attrs.frozen
class KvRead:
    """Reads one key of the key-value service."""

    token: int
    key: str


@attrs.frozen
class KvCas:
    """Writes a key if it has the expected revision; 0 if it must be new."""

    token: int
    key: str
    expected_revision: int
    value: bytes


@attrs.frozen
class FinishAcquire:
    """Ends an `events.Acquire` with a permit or another outcome."""

    attempt_id: str
    outcome: Outcome


@attrs.frozen
class Drained:
    """Reports that the drain is complete, so that the process may stop."""


@attrs.frozen
class EmitEvent:
    """Records a timeline event."""

    kind: str
    request_id: str = ""
    workspace: str = ""
    grant_id: str = ""
    fields: Mapping[str, str | int | float | bool] = attrs.field(factory=dict)


Action = Send | KvRead | KvCas | FinishAcquire | Drained | EmitEvent
