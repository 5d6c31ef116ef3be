"""Tests that report bounds hold with missing and outdated answers."""

import attrs
import hypothesis
from hypothesis import strategies as st

from hibiscuspass.admin import budget_report
from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages


@attrs.frozen
class _GrantHistory:
    """A grant together with its actual spend.

    Attributes:
      grant: The grant as stored in the ledger.
      spent: Final cost of all finished and running requests.
      answer: Answer of the router that was asked, None if it did not answer.
      is_lost: Whether holder and witness have certainly ended.
    """

    grant: grant_lib.Grant
    spent: int
    answer: messages.GrantState | None
    is_lost: bool


@st.composite
def _grant_histories(draw, number):
    amount = draw(st.integers(1, 1000))
    settled = draw(st.integers(0, amount))
    held = draw(st.integers(0, amount - settled))
    billed = draw(st.integers(0, settled))
    holder = incarnation.Incarnation(f"r{number}", "1")
    grant = grant_lib.Grant(
        f"g{number}", holder, None, 2, amount, billed, operation="now"
    )
    answers = draw(st.sampled_from(["current", "old epoch", "silent"]))
    state = messages.GrantState(
        grant.id, "now", holder, amount, settled, held, 1, 0, True
    )
    if answers == "old epoch":
        # The former holder knows only a part of the spend.
        state = attrs.evolve(state, operation="then", settled=billed, held=0)
    return _GrantHistory(
        grant,
        draw(st.integers(settled, settled + held)),
        None if answers == "silent" else state,
        draw(st.booleans()),
    )


@st.composite
def _ledgers_with_histories(draw):
    histories = [
        draw(_grant_histories(i)) for i in range(draw(st.integers(0, 4)))
    ]
    closed = draw(st.integers(0, 1000))
    free = draw(st.integers(0, 1000))
    prepaid = closed + free + sum(t.grant.amount for t in histories)
    ledger = ledger_lib.Ledger(
        "bakery",
        prepaid,
        closed,
        {t.grant.id: t.grant for t in histories},
        top_ups={"t": prepaid},
    )
    return ledger, histories


def _report(ledger, histories, view=budget_report.view_grant):
    return budget_report.make_report(
        ledger,
        7,
        0.0,
        tuple(view(t.grant, t.answer, t.is_lost) for t in histories),
    )


def _assert_bounds_contain_spend(
    ledger_and_histories, view=budget_report.view_grant
):
    ledger, histories = ledger_and_histories
    report = _report(ledger, histories, view)
    spent = ledger.settled + sum(t.spent for t in histories)
    assert report.spent_at_least <= spent <= report.spent_at_most
    assert report.remaining_at_least <= ledger.prepaid - spent
    assert report.remaining_at_least >= 0
    hidden = report.spent_at_most - report.spent_at_least
    assert report.in_doubt + report.unreachable <= hidden


_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=500, database=None
)


@_SETTINGS
@hypothesis.given(_ledgers_with_histories())
def test_the_true_spend_is_within_the_bounds(ledger_and_histories):
    _assert_bounds_contain_spend(ledger_and_histories)


def test_property_detects_answers_for_an_earlier_epoch():
    """Checks that the property fails if the epoch of answers is ignored."""

    def ignore_epoch(grant, answer, is_lost):
        if answer is not None:
            answer = attrs.evolve(answer, operation=grant.operation)
        return budget_report.view_grant(grant, answer, is_lost)

    @hypothesis.settings(_SETTINGS, phases=[hypothesis.Phase.generate])
    @hypothesis.given(_ledgers_with_histories())
    def run(ledger_and_histories):
        _assert_bounds_contain_spend(ledger_and_histories, ignore_epoch)

    try:
        run()
    except AssertionError:
        return
    raise RuntimeError("the mutant was not found")


@_SETTINGS
@hypothesis.given(_ledgers_with_histories())
def test_the_text_report_fits_the_width_of_a_phone(ledger_and_histories):
    lines = budget_report.to_text(_report(*ledger_and_histories)).splitlines()
    assert max(map(len, lines)) <= 40
