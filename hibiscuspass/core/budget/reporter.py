"""Collects the state of a workspace's budget from the holders."""

from collections.abc import Callable

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_client
from hibiscuspass.core.budget import messages
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import workspace_holder

WAKE_KEY = "\0reports"

HolderLookup = Callable[[str], workspace_holder.WorkspaceHolder]


@attrs.define
class PendingReport:
    """A report that waits for the ledger or for holders' answers.

    Attributes:
      sender: Program that requested the report.
      msg: The request.
      deadline_s: Time at which the report is sent even if it is incomplete.
      ledger: Ledger on which the report is based.
      revision: Revision of that ledger.
      read_at_s: Time at which that ledger was read.
      unanswered: Holders that have not answered.
      grant_states: Grant states from the holders, by grant id.
    """

    sender: incarnation.Incarnation
    msg: messages.ReportRequest
    deadline_s: float
    ledger: ledger_lib.Ledger | None = None
    revision: int = 0
    read_at_s: float = 0.0
    unanswered: set[incarnation.Incarnation] = attrs.field(factory=set)
    grant_states: dict[str, messages.GrantState] = attrs.field(factory=dict)


class Reporter:
    """Answers report requests."""

    def __init__(
        self, ctx: node_context.NodeContext, holder_of: HolderLookup
    ) -> None:
        self._ctx = ctx
        self._holder_of = holder_of
        self._pending: list[PendingReport] = []

    def on_request(
        self, sender: incarnation.Incarnation, msg: messages.ReportRequest
    ) -> None:
        """Starts a report once the ledger has been read."""
        deadline_s = self._ctx.now_s + self._ctx.timing.report_wait_s
        new = PendingReport(sender, msg, deadline_s)
        self._pending.append(new)
        self._ctx.wake(WAKE_KEY, deadline_s)
        holder = self._holder_of(msg.workspace)
        holder.call_after_ledger_read(lambda client: self._start(new, client))

    def on_answer(self, msg: messages.GrantAnswer) -> None:
        """Adds the answer of a holder to the pending reports."""
        for report in self._pending:
            if report.msg.workspace == msg.workspace:
                report.grant_states.update((s.grant_id, s) for s in msg.grants)
                report.unanswered.discard(msg.holder)
        self.pump()

    def pump(self) -> None:
        """Sends the reports that are complete or past their deadline."""
        for report in list(self._pending):
            started = report.ledger is not None or report.read_at_s > 0
            if self._ctx.now_s >= report.deadline_s or (
                started and not report.unanswered
            ):
                self._pending.remove(report)
                self._answer(report)

    def _start(
        self, report: PendingReport, client: ledger_client.LedgerClient
    ) -> None:
        if report not in self._pending:
            return
        self._copy_ledger(report, client)
        holder = self._holder_of(report.msg.workspace)
        own = {s.grant_id: s for s in holder.reconciler.grant_states()}
        report.grant_states.update(own)
        grants = () if report.ledger is None else report.ledger.grants.values()
        report.unanswered = {
            grant.holder for grant in grants if grant.holder != self._ctx.own
        }
        for router in sorted(report.unanswered):
            self._ctx.send(
                router,
                messages.GrantQuery(
                    self._ctx.next_id(), router, report.msg.workspace
                ),
            )
        self.pump()

    def _copy_ledger(
        self, report: PendingReport, client: ledger_client.LedgerClient
    ) -> None:
        report.ledger = client.ledger
        report.revision = client.revision
        report.read_at_s = client.read_at_s

    def _answer(self, report: PendingReport) -> None:
        client = self._holder_of(report.msg.workspace).state.ledger_client
        if report.ledger is None and client.was_read:
            # The key-value service can't be reached. The report states the age
            # of the ledger copy.
            self._copy_ledger(report, client)
            report.grant_states.update(
                (s.grant_id, s)
                for s in self._holder_of(
                    report.msg.workspace
                ).reconciler.grant_states()
            )
        self._ctx.send(report.sender, self._build_report(report))

    def _build_report(self, report: PendingReport) -> messages.Report:
        led = report.ledger or ledger_lib.Ledger(report.msg.workspace)
        states = tuple(
            self._grant_state(grant, report.grant_states.get(grant.id))
            for grant in led.grants.values()
        )
        at_least = led.settled + sum(s.settled for s in states)
        at_most = led.settled + sum(s.settled + s.held for s in states)
        age_s = self._ctx.now_s - report.read_at_s if report.ledger else 0.0
        return messages.Report(
            report.msg.ask_id,
            report.msg.workspace,
            report.revision,
            known=report.ledger is not None,
            age_s=age_s,
            prepaid=led.prepaid,
            spent_at_least=at_least,
            spent_at_most=at_most,
            remaining_at_least=led.prepaid - at_most,
            in_doubt=sum(s.in_doubt for s in states),
            grants=states,
        )

    def _grant_state(
        self, grant: grant_lib.Grant, answer: messages.GrantState | None
    ) -> messages.GrantState:
        # An answer for another epoch may lack permits that the current holder
        # has issued.
        if answer is not None and answer.operation == grant.operation:
            return attrs.evolve(answer, amount=grant.amount)
        fleet = self._ctx.fleet
        accountable = fleet.is_reachable(grant.holder) or (
            grant.witness is not None and fleet.is_reachable(grant.witness)
        )
        unsettled = grant.amount - grant.settled
        return messages.GrantState(
            grant.id,
            grant.operation,
            grant.holder,
            grant.amount,
            grant.settled,
            unsettled,
            0,
            0 if accountable else unsettled,
            live=False,
        )
