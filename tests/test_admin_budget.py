"""Tests top-ups and budget reports of the administration API."""

import attrs
import pytest

from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import ledger_codec
from hibiscuspass.core.budget import messages
from tests import budget_fakes
from tests import config_fakes


@pytest.fixture
async def admin():
    api = budget_fakes.AdminWithLedger()
    await api.client.start_server()
    await api.create()
    yield api
    await api.client.close()


def _make_grant_state(**changes):
    state = messages.GrantState(
        grant_id="g",
        operation="g",
        holder=budget_fakes.A,
        amount=400,
        settled=60,
        held=25,
        open_permits=1,
        in_doubt=0,
        live=True,
    )
    return attrs.evolve(state, **changes)


async def test_a_top_up_is_added_once_per_id(admin):
    for _ in range(2):
        status, answer = await admin.top_up()
        assert (status, answer["prepaid"]) == (200, 500)
    status, answer = await admin.top_up("t2")
    assert answer["prepaid"] == 1000


async def test_the_same_id_with_another_amount_is_an_error(admin):
    await admin.top_up()
    status, answer = await admin.top_up(amount=501)
    assert status == 409
    assert "500" in answer["error"]["message"]
    assert admin.ledger().prepaid == 500


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({"id": "", "amount": 1}, "id"),
        ({"id": "a/b", "amount": 1}, "id"),
        ({"id": "a", "amount": 0}, "amount"),
        ({"id": "a", "amount": -5}, "amount"),
        ({"id": "a", "amount": 1.5}, "amount"),
        ({"amount": 1}, "id"),
    ],
)
async def test_an_invalid_top_up_is_reported_by_field(admin, body, field):
    status, answer = await admin.call(
        "POST", f"{budget_fakes.WORKSPACE_PATH}/top-ups", body
    )
    assert status == 400
    assert [p["field"] for p in answer["error"]["problems"]] == [field]


async def test_a_mistyped_workspace_gets_no_ledger(admin):
    """Guards against a top-up that creates a ledger without a workspace."""
    status, _ = await admin.call(
        "POST", "/v1/workspaces/bakry/top-ups", {"id": "t", "amount": 1}
    )
    assert status == 404
    assert ledger_codec.key("bakry") not in admin.store.data.values


async def test_a_top_up_succeeds_despite_concurrent_draws(admin):
    """Guards against a top-up that fails or undoes draws after a conflict.

    A router draws before each of the first three writes of the top-up.
    """
    admin.change_ledger(ledger_lib.top_up, "t", 1000)
    original = admin.store.compare_and_swap
    races = iter(["g1", "g2", "g3"])

    async def race(*args, **kwargs):
        grant_id = next(races, None)
        if grant_id:
            admin.change_ledger(
                ledger_lib.draw, grant_id, budget_fakes.A, budget_fakes.B, 10
            )
        return await original(*args, **kwargs)

    admin.store.compare_and_swap = race
    status, answer = await admin.top_up()
    assert (status, answer["prepaid"]) == (200, 1500)
    assert set(admin.ledger().grants) == {"g1", "g2", "g3"}


async def test_a_top_up_whose_reply_was_lost_is_not_added_twice(admin):
    """Guards against a retry that adds a top-up that is already stored."""
    original = admin.store.compare_and_swap

    async def lose_first(*args, **kwargs):
        admin.store.compare_and_swap = original
        await original(*args, **kwargs)
        return config_fakes.TIMEOUT

    admin.store.compare_and_swap = lose_first
    status, answer = await admin.top_up()
    assert (status, answer["prepaid"]) == (200, 500)


async def test_the_outcome_of_an_unconfirmed_top_up_is_unknown(admin):
    admin.store.compare_and_swap = budget_fakes.always_timeout
    status, answer = await admin.top_up()
    assert status == 504
    assert answer["error"]["changed"] == "unknown"


async def test_a_holders_answer_narrows_the_bounds(admin):
    admin.set_up_grant()
    admin.register(budget_fakes.A, _make_grant_state())
    report = await admin.report()
    assert budget_fakes.bounds(report) == (60, 85, 915, 0)
    assert report["warnings"] == []
    assert report["grants"][0]["state"] == "live"


async def test_an_unreachable_holder_may_have_spent_its_whole_grant(admin):
    """Guards against bounds that exclude the spend of a partitioned holder.

    Without an answer the whole grant may be spent, so the report must include
    it in the upper bound and name the router in a warning.
    """
    admin.set_up_grant()
    admin.register(budget_fakes.A)
    report = await admin.report()
    assert budget_fakes.bounds(report) == (40, 400, 600, 0)
    assert report["unreachable"] == 360
    assert "a/1 does not answer" in report["warnings"][0]


async def test_an_answer_for_an_earlier_epoch_is_ignored(admin):
    """Guards against an upper bound taken from a former holder.

    The router that answers has lost the grant to a takeover, and the current
    holder may have spent more than it knows.
    """
    admin.set_up_grant()
    admin.change_ledger(
        ledger_lib.take_over, "g", "g", "op2", budget_fakes.A, budget_fakes.B
    )
    admin.register(budget_fakes.A, _make_grant_state())
    assert budget_fakes.bounds(await admin.report()) == (40, 400, 600, 0)


def _make_router_report(**changes):
    report = messages.Report(
        0,
        "bakery",
        9,
        True,
        75.0,
        1000,
        60,
        400,
        600,
        360,
        (_make_grant_state(),),
    )
    return attrs.evolve(report, **changes)


async def test_a_report_in_an_outage_uses_the_newest_ledger_copy(admin):
    """Guards against a report from an outdated or unknown ledger copy.

    Three routers answer: one with the newest copy, one with an older copy and
    one that has no copy.
    """
    admin.set_up_grant()
    admin.register(budget_fakes.A, _make_router_report())
    admin.register(
        budget_fakes.B, _make_router_report(revision=8, spent_at_most=100)
    )
    admin.register(
        budget_fakes.C, _make_router_report(revision=99, known=False)
    )
    await admin.report()
    admin.store.up = False
    report = await admin.report()
    assert (report["revision"], report["age_s"]) == (9, 75.0)
    assert report["spent_at_most"] == 400
    assert "key-value service can't be reached" in report["warnings"][0]
    response = await admin.client.get(
        f"{budget_fakes.WORKSPACE_PATH}/report?format=text",
        headers={"Authorization": f"Bearer {admin.tokens[0]}"},
    )
    text = await response.text()
    assert "as of 1 min ago" in text
    assert max(map(len, text.splitlines())) <= 40


async def test_a_report_in_an_outage_without_ledger_copy_is_refused(admin):
    admin.set_up_grant()
    admin.store.up = False
    status, answer = await admin.call(
        "GET", f"{budget_fakes.WORKSPACE_PATH}/report"
    )
    assert status == 503
    assert "nothing is known" in answer["error"]["message"]


async def test_the_text_report_fits_the_width_of_a_phone(admin):
    admin.set_up_grant()
    admin.register(budget_fakes.A)
    response = await admin.client.get(
        f"{budget_fakes.WORKSPACE_PATH}/report?format=text",
        headers={"Authorization": f"Bearer {admin.tokens[0]}"},
    )
    lines = (await response.text()).splitlines()
    assert max(map(len, lines)) <= 40
    assert len(lines) <= 12
    assert "spent" + "40 to 400".rjust(35) in lines


async def test_a_report_without_ledger_is_all_zero(admin):
    report = await admin.report()
    assert budget_fakes.bounds(report) == (0, 0, 0, 0)
    assert report["revision"] == 0
