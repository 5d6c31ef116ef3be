"""Outputs of a budget node."""

from collections.abc import Mapping

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import permit as permit_lib

Outcome = permit_lib.Permit | permit_lib.Attach | refusal.Refusal


@attrs.frozen
class Send:
    """Sends a request, or the reply with the `ask_id` of a request."""

    to: incarnation.Incarnation
    msg: message.Message


@attrs.frozen
class KvRead:
    """Reads one key."""

    token: int
    key: str


@attrs.frozen
class KvCas:
    """Writes a key if it has the expected revision; 0 means absent."""

    token: int
    key: str
    expected_revision: int
    value: bytes


@attrs.frozen
class FinishAcquire:
    """Ends `events.Acquire`."""

    attempt_id: str
    outcome: Outcome


@attrs.frozen
class Drained:
    """Everything is flushed and returned."""


@attrs.frozen
class Emit:
    """Records a timeline event."""

    kind: str
    request_id: str = ""
    workspace: str = ""
    grant_id: str = ""
    fields: Mapping[str, str | int | float | bool] = attrs.field(factory=dict)


Action = Send | KvRead | KvCas | FinishAcquire | Drained | Emit
