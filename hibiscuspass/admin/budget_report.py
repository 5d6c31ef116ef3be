"""Budget reports with lower and upper bounds of a workspace's spend."""

from collections.abc import Mapping
import textwrap
from typing import Any

import attrs

from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages
from hibiscuspass.settings import structure

# A phone in portrait orientation shows about 40 fixed-width characters.
_TEXT_WIDTH = 40
_S_PER_MIN = 60
_S_PER_H = 3600


@attrs.frozen
class GrantView:
    """One grant in a report.

    Attributes:
      grant_id: Id of the grant.
      operation: Id of the ledger operation that began the current epoch.
      holder: Router that holds the grant.
      witness: Router that is the witness, empty for a solo grant.
      amount: Amount of the grant in the ledger.
      spent_at_least: Confirmed spend.
      spent_at_most: Confirmed spend plus the amount that may have been spent
        without confirmation.
      state: `live` if the holder answered, `unreachable` if it did not, or
        `in_doubt` if both holder and witness have certainly ended.
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
    """Budget report of a workspace; all amounts are in budget units.

    Attributes:
      workspace: Name of the workspace.
      revision: Revision of the ledger, 0 if the workspace has no ledger yet.
      age_s: Age of the ledger copy; all figures are as of its reading.
      prepaid: Sum of all top-ups.
      spent_at_least: Lower bound of the spend.
      spent_at_most: Upper bound of the spend.
      remaining_at_least: Lower bound of the budget that can still be spent.
      unreachable: Unconfirmed part of `spent_at_most` in grants whose holders
        did not answer.
      in_doubt: Unconfirmed part of `spent_at_most` in grants whose holder and
        witness have ended, so that no router can account for it.
      grants: View of each open grant.
      warnings: Reasons why the bounds are wide or outdated.
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
    """Combines a grant in the ledger with the answer of its holder.

    Args:
      grant: The grant in the ledger, read before the holder was asked.
      answer: The holder's answer, None if it did not answer. An answer for
        another epoch is ignored because it may lack permits of the current
        holder.
      is_lost: Whether holder and witness have certainly ended.
    """
    is_current = answer is not None and answer.operation == grant.operation
    if is_current and answer is not None:
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
    """Builds a report from a ledger and the views of its grants.

    Args:
      ledger: The ledger.
      revision: Revision of the ledger, 0 if there is none.
      age_s: Age of the ledger copy.
      grants: Views of all open grants of the ledger.
      warnings: Warnings that precede those about silent holders.
    """
    at_least = ledger.settled + sum(g.spent_at_least for g in grants)
    at_most = ledger.settled + sum(g.spent_at_most for g in grants)
    silent_warnings = tuple(
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
        warnings=(*warnings, *silent_warnings),
    )


def from_router(
    answer: messages.Report, witnesses: Mapping[str, str], warning: str
) -> BudgetReport:
    """Converts the report of a router, which is based on its ledger copy.

    Args:
      answer: The report of the router.
      witnesses: Witness by grant id, if known.
      warning: Reason why the ledger itself was not read.
    """
    grants = tuple(
        GrantView(
            grant_id=s.grant_id,
            operation=s.operation,
            holder=str(s.holder),
            witness=witnesses.get(s.grant_id, ""),
            amount=s.amount,
            spent_at_least=s.settled,
            spent_at_most=s.settled + s.held,
            # During an outage it can't be determined whether a router has
            # ended, so no grant is reported as in doubt.
            state="live" if s.live else "unreachable",
        )
        for s in answer.grants
    )
    silent_warnings = tuple(
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
        warnings=(warning, *silent_warnings),
    )


def to_json_data(report: BudgetReport) -> dict[str, Any]:
    """Converts a report to data for JSON."""
    data: dict[str, Any] = structure.unstructure(report)
    return data


def format_age(age_s: float) -> str:
    """Formats an age in seconds, minutes or hours."""
    if age_s < _S_PER_MIN:
        return f"{age_s:.0f} s"
    if age_s < _S_PER_H:
        return f"{age_s / _S_PER_MIN:.0f} min"
    return f"{age_s / _S_PER_H:.1f} h"


def _format_line(label: str, value: str) -> str:
    return f"{label:<10}{value:>{_TEXT_WIDTH - 10}}"


def to_text(report: BudgetReport) -> str:
    """Formats a report as text that fits the width of a phone."""
    spent = (
        f"{report.spent_at_least}"
        if report.spent_at_least == report.spent_at_most
        else f"{report.spent_at_least} to {report.spent_at_most}"
    )
    age = f"as of {format_age(report.age_s)} ago"
    lines = [
        report.workspace,
        f"ledger revision {report.revision}, {age}",
        _format_line("prepaid", f"{report.prepaid}"),
        _format_line("spent", spent),
        _format_line("remaining", f"at least {report.remaining_at_least}"),
    ]
    if report.unreachable:
        lines.append(_format_line("no answer", f"{report.unreachable}"))
    lines.append(_format_line("in doubt", f"{report.in_doubt}"))
    lines += [
        line
        for warning in report.warnings
        for line in textwrap.wrap(f"! {warning}", _TEXT_WIDTH)
    ]
    return "\n".join(lines) + "\n"
