"""What is known about a workspace's budget, and how certain it is."""

from collections.abc import Mapping
import textwrap
from typing import Any

import attrs

from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages
from hibiscuspass.settings import structure

# A phone in portrait shows about this many characters of a fixed-width font.
_WIDTH = 40
_S_PER_MIN = 60
_S_PER_H = 3600


@attrs.frozen
class GrantView:
    """One grant in a report.

    Attributes:
      grant_id: The grant.
      operation: Operation of its epoch.
      holder: Its holder.
      witness: Its witness, empty for a solo grant.
      amount: Amount in the ledger.
      spent_at_least: Known spend.
      spent_at_most: Known spend and what may have been spent besides.
      state: `live` if the holder answered, `unreachable` if it didn't, or
        `in_doubt` if holder and witness are certainly gone.
    """

    grant_id: str
    operation: str
    holder: str
    witness: str
    amount: int
    spent_at_least: int
    spent_at_most: int
    state: str


@attrs.frozen
class BudgetReport:
    """A workspace's budget; amounts are budget units.

    Attributes:
      workspace: The workspace.
      revision: Revision of the ledger, 0 if there is none yet.
      age_s: Age of the ledger copy; all figures are about that moment.
      prepaid: Sum of all top-ups.
      spent_at_least: Lower bound of the spend.
      spent_at_most: Upper bound of the spend.
      remaining_at_least: Lower bound of what can be spent.
      unreachable: Part of the upper bound that belongs to routers which
        don't answer.
      in_doubt: Part of the upper bound that nobody can account for.
      grants: State of each grant.
      warnings: Why the bounds are wide or old.
    """

    workspace: str
    revision: int
    age_s: float
    prepaid: int
    spent_at_least: int
    spent_at_most: int
    remaining_at_least: int
    unreachable: int
    in_doubt: int
    grants: tuple[GrantView, ...]
    warnings: tuple[str, ...]


def view_grant(
    grant: grant_lib.Grant,
    answer: messages.GrantState | None,
    is_lost: bool,
) -> GrantView:
    """Combines the ledger's grant with its holder's answer.

    Args:
      grant: The grant in the ledger, read before the holder was asked.
      answer: The holder's answer. An answer for another epoch may lack
        permits of the present holder and counts as none.
      is_lost: Whether holder and witness are certainly gone.
    """
    known = answer is not None and answer.operation == grant.operation
    if known and answer is not None:
        at_least = max(answer.settled, grant.settled)
        at_most = min(at_least + answer.held, grant.amount)
        state = "live"
    else:
        at_least, at_most = grant.settled, grant.amount
        state = "in_doubt" if is_lost else "unreachable"
    return GrantView(
        grant_id=grant.id,
        operation=grant.operation,
        holder=str(grant.holder),
        witness="" if grant.witness is None else str(grant.witness),
        amount=grant.amount,
        spent_at_least=at_least,
        spent_at_most=max(at_least, at_most),
        state=state,
    )


def _open_amount(grants: tuple[GrantView, ...], state: str) -> int:
    return sum(
        g.spent_at_most - g.spent_at_least for g in grants if g.state == state
    )


def make_report(
    ledger: ledger_lib.Ledger,
    revision: int,
    age_s: float,
    grants: tuple[GrantView, ...],
    warnings: tuple[str, ...] = (),
) -> BudgetReport:
    """Sums up the grants of a ledger."""
    at_least = ledger.settled + sum(g.spent_at_least for g in grants)
    at_most = ledger.settled + sum(g.spent_at_most for g in grants)
    silent = tuple(
        f"{g.holder} does not answer; up to"
        f" {g.spent_at_most - g.spent_at_least} of its grant may be spent"
        for g in grants
        if g.state == "unreachable"
    )
    return BudgetReport(
        workspace=ledger.workspace,
        revision=revision,
        age_s=round(age_s, 1),
        prepaid=ledger.prepaid,
        spent_at_least=at_least,
        spent_at_most=at_most,
        remaining_at_least=ledger.prepaid - at_most,
        unreachable=_open_amount(grants, "unreachable"),
        in_doubt=_open_amount(grants, "in_doubt"),
        grants=grants,
        warnings=(*warnings, *silent),
    )


def from_router(
    answer: messages.Report, witnesses: Mapping[str, str], warning: str
) -> BudgetReport:
    """Converts a router's report, which starts from its ledger copy."""
    grants = tuple(
        GrantView(
            grant_id=s.grant_id,
            operation=s.operation,
            holder=str(s.holder),
            witness=witnesses.get(s.grant_id, ""),
            amount=s.amount,
            spent_at_least=s.settled,
            spent_at_most=s.settled + s.held,
            # Whether a router is certainly gone can't be told in an outage.
            state="live" if s.live else "unreachable",
        )
        for s in answer.grants
    )
    silent = tuple(
        f"{g.holder} does not answer" for g in grants if g.state != "live"
    )
    return BudgetReport(
        workspace=answer.workspace,
        revision=answer.revision,
        age_s=round(answer.age_s, 1),
        prepaid=answer.prepaid,
        spent_at_least=answer.spent_at_least,
        spent_at_most=answer.spent_at_most,
        remaining_at_least=answer.remaining_at_least,
        unreachable=_open_amount(grants, "unreachable"),
        in_doubt=0,
        grants=grants,
        warnings=(warning, *silent),
    )


def to_plain(report: BudgetReport) -> dict[str, Any]:
    """Returns the JSON form."""
    plain: dict[str, Any] = structure.unstructure(report)
    return plain


def age_text(age_s: float) -> str:
    """Returns an age for people."""
    if age_s < _S_PER_MIN:
        return f"{age_s:.0f} s"
    if age_s < _S_PER_H:
        return f"{age_s / _S_PER_MIN:.0f} min"
    return f"{age_s / _S_PER_H:.1f} h"


def _line(label: str, value: str) -> str:
    return f"{label:<10}{value:>{_WIDTH - 10}}"


def to_text(report: BudgetReport) -> str:
    """Returns the text form, narrow enough for a phone."""
    spent = (
        f"{report.spent_at_least}"
        if report.spent_at_least == report.spent_at_most
        else f"{report.spent_at_least} to {report.spent_at_most}"
    )
    age = f"as of {age_text(report.age_s)} ago"
    lines = [
        report.workspace,
        f"ledger revision {report.revision}, {age}",
        _line("prepaid", f"{report.prepaid}"),
        _line("spent", spent),
        _line("remaining", f"at least {report.remaining_at_least}"),
    ]
    if report.unreachable:
        lines.append(_line("no answer", f"{report.unreachable}"))
    lines.append(_line("in doubt", f"{report.in_doubt}"))
    lines += [
        line
        for warning in report.warnings
        for line in textwrap.wrap(f"! {warning}", _WIDTH)
    ]
    return "\n".join(lines) + "\n"
