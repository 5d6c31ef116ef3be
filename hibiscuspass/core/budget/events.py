"""Inputs of a budget node."""

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
    """The attempt no longer waits for its permit."""

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
    """A message of a peer arrived."""

    sender: incarnation.Incarnation
    msg: message.Message


@attrs.frozen
class SendFailed:
    """A request certainly did not reach its recipient."""

    recipient: incarnation.Incarnation
    msg: message.Request


@attrs.frozen
class KvReadDone:
    """Result of `actions.KvRead` with the same token."""

    token: int
    result: kv_store.ReadResult | refusal.Refusal


@attrs.frozen
class KvCasDone:
    """Result of `actions.KvCas` with the same token."""

    token: int
    result: kv_store.CasResult | refusal.Refusal


@attrs.frozen
class FleetChanged:
    """The view of the fleet changed."""

    view: fleet_view.FleetView


@attrs.frozen
class KeepReserves:
    """Workspaces whose standing reserves this router looks after."""

    workspaces: tuple[str, ...]


@attrs.frozen
class Drain:
    """The process is about to stop."""


@attrs.frozen
class Tick:
    """Time has passed."""


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
