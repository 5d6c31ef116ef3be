"""Guards the bounds of reports against unknown and outdated answers."""

import attrs
import hypothesis
from hypothesis import strategies as st

from hibiscuspass.admin import budget_report
from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages


@attrs.frozen
class _Truth:
    """A grant and what really happened under it.

    Attributes:
      grant: The grant as the ledger shows it.
      spent: Final cost of everything that was run or still runs.
      answer: What the asked router says; None if it is silent.
      is_lost: Whether holder and witness are gone.
    """

    grant: grant_lib.Grant
    spent: int
    answer: messages.GrantState | None
    is_lost: bool


@st.composite
def _truths(draw, number):
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
        # It knows only a part of what the present holder did.
        state = attrs.evolve(state, operation="then", settled=billed, held=0)
    return _Truth(
        grant,
        draw(st.integers(settled, settled + held)),
        None if answers == "silent" else state,
        draw(st.booleans()),
    )


@st.composite
def _worlds(draw):
    truths = [draw(_truths(i)) for i in range(draw(st.integers(0, 4)))]
    closed = draw(st.integers(0, 1000))
    free = draw(st.integers(0, 1000))
    prepaid = closed + free + sum(t.grant.amount for t in truths)
    ledger = ledger_lib.Ledger(
        "bakery",
        prepaid,
        closed,
        {t.grant.id: t.grant for t in truths},
        top_ups={"t": prepaid},
    )
    return ledger, truths


def _report(ledger, truths, view=budget_report.view_grant):
    return budget_report.make_report(
        ledger,
        7,
        0.0,
        tuple(view(t.grant, t.answer, t.is_lost) for t in truths),
    )


def _check(world, view=budget_report.view_grant):
    ledger, truths = world
    report = _report(ledger, truths, view)
    spent = ledger.settled + sum(t.spent for t in truths)
    assert report.spent_at_least <= spent <= report.spent_at_most
    assert report.remaining_at_least <= ledger.prepaid - spent
    assert report.remaining_at_least >= 0
    hidden = report.spent_at_most - report.spent_at_least
    assert report.in_doubt + report.unreachable <= hidden


_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=500, database=None
)


@_SETTINGS
@hypothesis.given(_worlds())
def test_the_true_spend_is_within_the_bounds(world):
    _check(world)


def test_believing_an_earlier_epoch_would_be_found():
    """Shows that the property is able to fail."""

    def believe(grant, answer, is_lost):
        if answer is not None:
            answer = attrs.evolve(answer, operation=grant.operation)
        return budget_report.view_grant(grant, answer, is_lost)

    @hypothesis.settings(_SETTINGS, phases=[hypothesis.Phase.generate])
    @hypothesis.given(_worlds())
    def run(world):
        _check(world, believe)

    try:
        run()
    except AssertionError:
        return
    raise RuntimeError("the mutant was not found")


@_SETTINGS
@hypothesis.given(_worlds())
def test_the_text_form_is_as_narrow_as_a_phone(world):
    lines = budget_report.to_text(_report(*world)).splitlines()
    assert max(map(len, lines)) <= 40
