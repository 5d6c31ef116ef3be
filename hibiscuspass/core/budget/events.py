"""Events that a budget node handles."""

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.membership import fleet_view


@attrs.frozen
class Acquire:
    """A caller's attempt asks for a permit until `deadline_s`."""

    req: permit_lib.PermitRequest
    deadline_s: float


@attrs.frozen
class Cancel:
    """The caller's attempt no longer waits for its permit."""

    attempt_id: str


@attrs.frozen
class MarkUsed:
    """The attempt is about to send to a backend server."""

    permit: permit_lib.Permit
    backend: str


@attrs.frozen
class Settle:
    """The attempt has ended with its final cost."""

    permit: permit_lib.Permit
    cost: int
    kind: permit_lib.CostKind


@attrs.frozen
class Received:
    """A message from another process has arrived."""

    sender: incarnation.Incarnation
    msg: message.Message


@attrs.frozen
class SendFailed:
    """A request could not be sent, so its recipient has not received it."""

    recipient: incarnation.Incarnation
    msg: message.Request


@attrs.frozen
class KvReadDone:
    """The `actions.KvRead` with the same token has ended."""

    token: int
    result: kv_store.ReadResult | refusal.Refusal


@attrs.frozen
class KvCasDone:
    """The `actions.KvCas` with the same token has ended."""

    token: int
    result: kv_store.CasResult | refusal.Refusal


@attrs.frozen
class FleetChanged:
    """The membership view of the fleet has changed."""

    view: fleet_view.FleetView


@attrs.frozen
class KeepReserves:
    """Sets the workspaces for which this router keeps a reserve grant."""

    workspaces: tuple[str, ...]


@attrs.frozen
class Drain:
    """The process is about to stop."""


@attrs.frozen
class Tick:
    """The time that `BudgetNode.next_wake_s` returned has come."""


Event = (
    Acquire
    | Cancel
    | MarkUsed
    | Settle
    | Received
    | SendFailed
    | KvReadDone
    | KvCasDone
    | FleetChanged
    | KeepReserves
    | Drain
    | Tick
)
