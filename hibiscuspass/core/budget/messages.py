"""Messages between routers about permits, settlements and reports.

Every request carries an `ask_id` that is unique at its sender; the reply
repeats it. Messages may be lost, repeated and reordered.
"""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_row
from hibiscuspass.core.budget import permit_table


@attrs.frozen
class Message:
    """Base of all messages.

    Attributes:
      ask_id: Number of the request at its sender; repeated in the reply.
    """

    ask_id: int


@attrs.frozen
class Request(Message):
    """A message that gets a reply.

    Attributes:
      to: Incarnation that it is meant for. A newer incarnation of the same
        router drops it, because it doesn't have the state.
    """

    to: incarnation.Incarnation


@attrs.frozen
class Reply(Message):
    """Answers a request."""


@attrs.frozen
class Done(Reply):
    """The request was received."""


@attrs.frozen
class Ask(Request):
    """Asks for a permit; see `permit.PermitRequest`.

    `contested` tells that the attempt has asked another router before, which
    may hold a permit for it as well.
    """

    request_id: str
    attempt_id: str
    workspace: str
    worst_case: int
    keyed: bool
    model: str
    contested: bool = False


@attrs.frozen
class PermitGranted(Reply):
    """The hold is acknowledged by the witness; the permit may be used."""

    workspace: str
    request_id: str
    attempt_id: str
    grant_id: str
    epoch: int
    hold: int
    backend: str


@attrs.frozen
class AskAttached(Reply):
    """Another attempt of the same request has the permit."""

    attempt_id: str
    request_id: str
    backend: str
    settled: bool


@attrs.frozen
class AskRefused(Reply):
    """No permit.

    Attributes:
      attempt_id: Attempt that asked.
      reason: Why.
      detail: One sentence for people.
      run: Whether an earlier attempt of the request may have run.
      final: Whether asking another router is of no use.
      redirect: Router that holds the primary grant, if it is another one.
    """

    attempt_id: str
    reason: reason_lib.Reason
    detail: str
    run: run_state.RunState
    final: bool
    redirect: incarnation.Incarnation | None = None


@attrs.frozen
class VoidPermit(Request):
    """The attempt will never use a permit of this grant."""

    workspace: str
    grant_id: str
    request_id: str
    attempt_id: str


@attrs.frozen
class PermitUsed(Request):
    """The attempt is about to send to a backend server."""

    workspace: str
    grant_id: str
    request_id: str
    attempt_id: str
    backend: str


@attrs.frozen
class SettlePermit(Request):
    """Final cost of an attempt; repeated until `SettlementsDurable`."""

    workspace: str
    grant_id: str
    request_id: str
    attempt_id: str
    cost: int
    kind: permit_lib.CostKind


@attrs.frozen
class GrantMoved(Reply):
    """The addressed router doesn't hold the grant.

    Attributes:
      workspace: Workspace of the grant.
      grant_id: The grant.
      closed: Whether the grant is known to be closed, so that everything that
        was spent under it is billed.
      holder: Present holder, if known.
      epoch: Epoch of that holder.
    """

    workspace: str
    grant_id: str
    closed: bool
    holder: incarnation.Incarnation | None = None
    epoch: int = 0


@attrs.frozen
class SettlementsDurable(Request):
    """The billing records of these attempts are durable."""

    grant_id: str
    attempt_ids: tuple[str, ...]


@attrs.frozen
class StatusCheck(Request):
    """Asks an entry router for the state of open permits.

    Also makes the sender known as the holder of the grant.
    """

    workspace: str
    grant_id: str
    epoch: int
    attempt_ids: tuple[str, ...]


@attrs.frozen
class AttemptStatus:
    """State of one attempt at its entry router.

    Attributes:
      attempt_id: The attempt.
      void: It will never use a permit of the grant.
      settled: Cost and kind are final.
      backend: Backend server in use, or an empty string.
      cost: Final cost.
      kind: How the cost is known.
    """

    attempt_id: str
    void: bool = False
    settled: bool = False
    backend: str = ""
    cost: int = 0
    kind: permit_lib.CostKind = permit_lib.CostKind.REPORTED


@attrs.frozen
class StatusAnswer(Reply):
    """Answers `StatusCheck`."""

    workspace: str
    grant_id: str
    statuses: tuple[AttemptStatus, ...]


@attrs.frozen
class AppendRows(Request):
    """Rows of a permit table, in order; at most one append is in flight.

    Attributes:
      grant_id: Grant of the table.
      operation: Operation of the epoch that the table belongs to.
      workspace: Workspace of the grant.
      sequence: Number of the append in the epoch, from 1.
      rows: Changed rows.
      batches: Number of durable billing batches.
      logged: Spend in those batches.
    """

    grant_id: str
    operation: str
    workspace: str
    sequence: int
    rows: tuple[permit_row.PermitRow, ...]
    batches: int
    logged: int


@attrs.frozen
class RowsAppended(Reply):
    """Acknowledges an append, or tells that the epoch is sealed."""

    grant_id: str
    operation: str
    workspace: str
    sequence: int
    sealed: bool


@attrs.frozen
class InstallTable(Request):
    """Gives a new witness the table of the next epoch."""

    grant_id: str
    operation: str
    workspace: str
    epoch: int
    table: permit_table.TableSnapshot


@attrs.frozen
class TableInstalled(Reply):
    """Confirms `InstallTable`."""

    grant_id: str
    operation: str
    workspace: str


@attrs.frozen
class SealEpoch(Request):
    """Ends the acknowledgement of permits in an epoch for good.

    Attributes:
      grant_id: Grant to seal.
      operation: Operation of the epoch.
      workspace: Workspace of the grant.
      holder: Holder in that epoch.
    """

    grant_id: str
    operation: str
    workspace: str
    holder: incarnation.Incarnation


@attrs.frozen
class EpochSealed(Reply):
    """The table of a sealed epoch; None if the witness doesn't have it."""

    grant_id: str
    operation: str
    workspace: str
    table: permit_table.TableSnapshot | None


@attrs.frozen
class ForgetTable(Request):
    """The epoch is over; the witness doesn't need its table any more."""

    grant_id: str
    operation: str


@attrs.frozen
class WitnessLeaving(Request):
    """The witness stops soon; the holder should choose another one."""

    workspace: str
    grant_id: str
    operation: str


@attrs.frozen
class RecallBudget(Request):
    """Asks a holder to return what it doesn't use."""

    workspace: str
    amount: int


@attrs.frozen
class BudgetRecalled(Reply):
    """The holder has returned what it could."""

    workspace: str


@attrs.frozen
class HandOver(Request):
    """Gives a grant to another router; the sender no longer issues from it."""

    workspace: str
    grant_id: str
    operation: str
    table: permit_table.TableSnapshot


@attrs.frozen
class GrantQuery(Request):
    """Asks a holder for the live state of its grants."""

    workspace: str


@attrs.frozen
class GrantState:
    """Live state of one grant.

    Attributes:
      grant_id: The grant.
      operation: Operation of the epoch that the state belongs to.
      holder: Its holder.
      amount: Amount in the ledger.
      settled: Known spend.
      held: Sum of the holds of open permits.
      open_permits: Number of open permits.
      in_doubt: Amount that nobody can account for.
      live: Whether the holder answered; otherwise the figures are bounds from
        the ledger.
    """

    grant_id: str
    operation: str
    holder: incarnation.Incarnation
    amount: int
    settled: int
    held: int
    open_permits: int
    in_doubt: int
    live: bool


@attrs.frozen
class GrantAnswer(Reply):
    """Answers `GrantQuery`."""

    workspace: str
    holder: incarnation.Incarnation
    grants: tuple[GrantState, ...]


@attrs.frozen
class ReportRequest(Message):
    """Asks any router for a report; sent by administration programs."""

    workspace: str


@attrs.frozen
class Report(Reply):
    """State of a workspace's budget.

    `spent_at_least` holds from the answer on. `spent_at_most` held when the
    ledger was read, `age_s` before the answer.

    Attributes:
      workspace: The workspace.
      revision: Revision of the ledger that the report starts from; 0 if the
        ledger could not be read or doesn't exist.
      known: Whether the ledger was read.
      age_s: Age of the ledger copy in seconds.
      prepaid: Sum of all top-ups.
      spent_at_least: Lower bound of the spend.
      spent_at_most: Upper bound of the spend.
      remaining_at_least: Lower bound of what can still be spent.
      in_doubt: Amount that nobody can account for.
      grants: State of each grant.
    """

    workspace: str
    revision: int
    known: bool
    age_s: float
    prepaid: int
    spent_at_least: int
    spent_at_most: int
    remaining_at_least: int
    in_doubt: int
    grants: tuple[GrantState, ...]


REQUEST_TYPES: tuple[type[Message], ...] = (
    Ask,
    VoidPermit,
    PermitUsed,
    SettlePermit,
    SettlementsDurable,
    StatusCheck,
    AppendRows,
    InstallTable,
    SealEpoch,
    ForgetTable,
    WitnessLeaving,
    RecallBudget,
    HandOver,
    GrantQuery,
    ReportRequest,
)
REPLY_TYPES: tuple[type[Message], ...] = (
    Done,
    PermitGranted,
    AskAttached,
    AskRefused,
    GrantMoved,
    StatusAnswer,
    RowsAppended,
    TableInstalled,
    EpochSealed,
    BudgetRecalled,
    GrantAnswer,
    Report,
)
MESSAGE_TYPES = REQUEST_TYPES + REPLY_TYPES
