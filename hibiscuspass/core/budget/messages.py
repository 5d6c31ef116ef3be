"""Messages between routers about permits, settlements and reports.

Every request carries an `ask_id` that is unique at its sender; the reply
repeats it. Messages may be lost, repeated and reordered.
"""

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import run_state
from hibiscuspass.core.budget import message
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_table
from hibiscuspass.core.budget import witness_messages


@attrs.frozen
class Done(message.Reply):
    """The request was received."""


@attrs.frozen
class Ask(message.Request):
    """Asks for a permit; see `permit.PermitRequest`.

    If `contested` is set, the attempt has asked another router before, which
    may also have issued a permit for it.
    """

    request_id: str
    attempt_id: str
    workspace: str
    worst_case: int
    keyed: bool
    model: str
    contested: bool = False


@attrs.frozen
class PermitGranted(message.Reply):
    """Grants a permit; the witness, if any, has acknowledged its hold."""

    workspace: str
    request_id: str
    attempt_id: str
    grant_id: str
    epoch: int
    hold: int
    backend: str


@attrs.frozen
class AskAttached(message.Reply):
    """Answers that another attempt of the same request has the permit."""

    attempt_id: str
    request_id: str
    backend: str
    settled: bool


@attrs.frozen
class AskRefused(message.Reply):
    """Refuses a permit.

    Attributes:
      attempt_id: Attempt that asked.
      reason: Reason of the refusal.
      detail: Explanation for operators and callers in one sentence.
      run: Whether an earlier attempt of the request may have run.
      final: Whether the entry router should not ask another router.
      redirect: Router that holds the primary grant, if that is not the sender.
    """

    attempt_id: str
    reason: reason_lib.Reason
    detail: str
    run: run_state.RunState
    final: bool
    redirect: incarnation.Incarnation | None = None


@attrs.frozen
class VoidPermit(message.Request):
    """Informs a holder that an attempt will never use a permit of a grant."""

    workspace: str
    grant_id: str
    request_id: str
    attempt_id: str


@attrs.frozen
class PermitUsed(message.Request):
    """Names the backend server to which an attempt is about to be sent."""

    workspace: str
    grant_id: str
    request_id: str
    attempt_id: str
    backend: str


@attrs.frozen
class SettlePermit(message.Request):
    """Reports the final cost; repeated until `SettlementsDurable` arrives."""

    workspace: str
    grant_id: str
    request_id: str
    attempt_id: str
    cost: int
    kind: permit_lib.CostKind


@attrs.frozen
class GrantMoved(message.Reply):
    """Answers that the router which was asked doesn't hold the grant.

    Attributes:
      workspace: Workspace of the grant.
      grant_id: The grant.
      closed: Whether the ledger has no such grant, so that everything that was
        spent under it is billed.
      holder: Current holder, if known.
      epoch: Epoch of that holder.
    """

    workspace: str
    grant_id: str
    closed: bool
    holder: incarnation.Incarnation | None = None
    epoch: int = 0


@attrs.frozen
class SettlementsDurable(message.Request):
    """Informs an entry router that the attempts' records are durable."""

    grant_id: str
    attempt_ids: tuple[str, ...]


@attrs.frozen
class StatusCheck(message.Request):
    """Asks an entry router for the state of open permits.

    The entry router also learns that the sender holds the grant.
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
      void: Whether it will never use a permit of the grant.
      settled: Whether cost and kind are final.
      backend: Backend server in use, or an empty string.
      cost: Final cost.
      kind: How the cost was determined.
    """

    attempt_id: str
    void: bool = False
    settled: bool = False
    backend: str = ""
    cost: int = 0
    kind: permit_lib.CostKind = permit_lib.CostKind.REPORTED


@attrs.frozen
class StatusAnswer(message.Reply):
    """Answers `StatusCheck`."""

    workspace: str
    grant_id: str
    statuses: tuple[AttemptStatus, ...]


@attrs.frozen
class RecallBudget(message.Request):
    """Asks a holder to return unused budget to the ledger."""

    workspace: str
    amount: int


@attrs.frozen
class BudgetRecalled(message.Reply):
    """Answers that the holder has returned what it could to the ledger."""

    workspace: str


@attrs.frozen
class HandOver(message.Request):
    """Hands a grant to another router; the sender issues no more permits."""

    workspace: str
    grant_id: str
    operation: str
    table: permit_table.TableSnapshot


@attrs.frozen
class GrantQuery(message.Request):
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
      in_doubt: Amount whose use is unknown, because neither holder nor witness
        can be reached.
      live: Whether the holder answered. Otherwise the numbers are bounds that
        follow from the ledger.
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
class GrantAnswer(message.Reply):
    """Answers `GrantQuery`."""

    workspace: str
    holder: incarnation.Incarnation
    grants: tuple[GrantState, ...]


@attrs.frozen
class ReportRequest(message.Message):
    """Asks a router for a report; sent by administration programs."""

    workspace: str


@attrs.frozen
class Report(message.Reply):
    """State of a workspace's budget.

    `spent_at_least` is valid from the time of the answer on. `spent_at_most`
    was valid when the ledger was read, `age_s` before the answer.

    Attributes:
      workspace: The workspace.
      revision: Revision of the ledger that the report starts from; 0 if the
        ledger could not be read or doesn't exist.
      known: Whether the ledger was read.
      age_s: Age of the ledger copy in seconds.
      prepaid: Sum of all top-ups.
      spent_at_least: Lower bound of the spend.
      spent_at_most: Upper bound of the spend.
      remaining_at_least: Lower bound of the amount that can still be spent.
      in_doubt: Sum of the amounts in doubt of all grants.
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


REQUEST_TYPES: tuple[type[message.Message], ...] = (
    Ask,
    VoidPermit,
    PermitUsed,
    SettlePermit,
    SettlementsDurable,
    StatusCheck,
    witness_messages.AppendRows,
    witness_messages.InstallTable,
    witness_messages.SealEpoch,
    witness_messages.ForgetTable,
    witness_messages.WitnessLeaving,
    RecallBudget,
    HandOver,
    GrantQuery,
    ReportRequest,
)
REPLY_TYPES: tuple[type[message.Message], ...] = (
    Done,
    PermitGranted,
    AskAttached,
    AskRefused,
    GrantMoved,
    StatusAnswer,
    witness_messages.RowsAppended,
    witness_messages.TableInstalled,
    witness_messages.EpochSealed,
    BudgetRecalled,
    GrantAnswer,
    Report,
)
MESSAGE_TYPES = REQUEST_TYPES + REPLY_TYPES
