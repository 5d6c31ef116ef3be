"""Collects the live state of a workspace's budget."""

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
class Gathering:
    """A report that waits for the ledger or for holders' answers.

    Attributes:
      sender: Program that asked.
      msg: Its request.
      deadline_s: Time at which it is answered with what is known.
      ledger: Ledger that the report starts from.
      revision: Its revision.
      read_at_s: Time at which it was read.
      waiting: Holders that have not answered.
      states: Answers by grant id.
    """

    sender: incarnation.Incarnation
    msg: messages.ReportRequest
    deadline_s: float
    ledger: ledger_lib.Ledger | None = None
    revision: int = 0
    read_at_s: float = 0.0
    waiting: set[incarnation.Incarnation] = attrs.field(factory=set)
    states: dict[str, messages.GrantState] = attrs.field(factory=dict)


class Reporter:
    """Answers report requests."""

    def __init__(
        self, ctx: node_context.NodeContext, holder_of: HolderLookup
    ) -> None:
        self._ctx = ctx
        self._holder_of = holder_of
        self._open: list[Gathering] = []

    def on_request(
        self, sender: incarnation.Incarnation, msg: messages.ReportRequest
    ) -> None:
        """Starts a report."""
        deadline_s = self._ctx.now_s + self._ctx.timing.gather_s
        new = Gathering(sender, msg, deadline_s)
        self._open.append(new)
        self._ctx.wake(WAKE_KEY, deadline_s)
        holder = self._holder_of(msg.workspace)
        holder.on_ledger(lambda client: self._start(new, client))

    def on_answer(self, msg: messages.GrantAnswer) -> None:
        """Takes in a holder's answer."""
        for g in self._open:
            if g.msg.workspace == msg.workspace:
                g.states.update((s.grant_id, s) for s in msg.grants)
                g.waiting.discard(msg.holder)
        self.pump()

    def pump(self) -> None:
        """Answers the reports that are complete or due."""
        for g in list(self._open):
            started = g.ledger is not None or g.read_at_s > 0
            if self._ctx.now_s >= g.deadline_s or (started and not g.waiting):
                self._open.remove(g)
                self._answer(g)

    def _start(self, g: Gathering, client: ledger_client.LedgerClient) -> None:
        if g not in self._open:
            return
        self._take_ledger(g, client)
        holder = self._holder_of(g.msg.workspace)
        own = {s.grant_id: s for s in holder.keeper.states()}
        g.states.update(own)
        grants = () if g.ledger is None else g.ledger.grants.values()
        g.waiting = {x.holder for x in grants if x.holder != self._ctx.own}
        for router in sorted(g.waiting):
            self._ctx.send(
                router,
                messages.GrantQuery(
                    self._ctx.next_id(), router, g.msg.workspace
                ),
            )
        self.pump()

    def _take_ledger(
        self, g: Gathering, client: ledger_client.LedgerClient
    ) -> None:
        g.ledger = client.ledger
        g.revision = client.revision
        g.read_at_s = client.read_at_s

    def _answer(self, g: Gathering) -> None:
        client = self._holder_of(g.msg.workspace).state.ledger_client
        if g.ledger is None and client.was_read:
            # The service can't be reached; the copy is correct for its age.
            self._take_ledger(g, client)
            g.states.update(
                (s.grant_id, s)
                for s in self._holder_of(g.msg.workspace).keeper.states()
            )
        self._ctx.send(g.sender, self._report(g))

    def _report(self, g: Gathering) -> messages.Report:
        led = g.ledger or ledger_lib.Ledger(g.msg.workspace)
        states = tuple(
            self._state(x, g.states.get(x.id)) for x in led.grants.values()
        )
        at_least = led.settled + sum(s.settled for s in states)
        at_most = led.settled + sum(s.settled + s.held for s in states)
        age_s = self._ctx.now_s - g.read_at_s if g.ledger else 0.0
        return messages.Report(
            g.msg.ask_id,
            g.msg.workspace,
            g.revision,
            known=g.ledger is not None,
            age_s=age_s,
            prepaid=led.prepaid,
            spent_at_least=at_least,
            spent_at_most=at_most,
            remaining_at_least=led.prepaid - at_most,
            in_doubt=sum(s.in_doubt for s in states),
            grants=states,
        )

    def _state(
        self, grant: grant_lib.Grant, answer: messages.GrantState | None
    ) -> messages.GrantState:
        # An answer for another epoch may lack permits of the present holder.
        if answer is not None and answer.operation == grant.operation:
            return attrs.evolve(answer, amount=grant.amount)
        fleet = self._ctx.fleet
        accountable = fleet.is_reachable(grant.holder) or (
            grant.witness is not None and fleet.is_reachable(grant.witness)
        )
        rest = grant.amount - grant.settled
        return messages.GrantState(
            grant.id,
            grant.operation,
            grant.holder,
            grant.amount,
            grant.settled,
            rest,
            0,
            0 if accountable else rest,
            live=False,
        )
