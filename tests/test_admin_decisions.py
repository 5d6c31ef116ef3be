"""Tests operators' decisions on grants in doubt."""

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger as ledger_lib
from tests import budget_fakes
from tests import config_fakes


@pytest.fixture
async def admin():
    api = budget_fakes.AdminWithLedger()
    await api.client.start_server()
    await api.create()
    yield api
    await api.client.close()


async def test_a_grant_whose_holder_and_witness_ended_is_in_doubt(admin):
    admin.set_up_grant()
    report = await admin.report()
    assert budget_fakes.bounds(report) == (40, 400, 600, 360)
    assert report["unreachable"] == 0
    _, listed = await admin.call(
        "GET", f"{budget_fakes.WORKSPACE_PATH}/in-doubt"
    )
    assert [g["grant_id"] for g in listed["grants"]] == ["g"]


@pytest.mark.parametrize("fault", ["holder", "witness", "listed", "vm_list"])
async def test_a_grant_is_not_in_doubt_while_a_router_may_return(admin, fault):
    """Guards against freeing a grant that a running router may still spend.

    The holder or the witness is registered, the VM of the holder is listed, or
    the VM list is unreadable.
    """
    admin.set_up_grant()
    if fault == "holder":
        admin.register(budget_fakes.A)
    if fault == "witness":
        admin.register(budget_fakes.B)
    if fault == "listed":
        admin.vms.vms = (config_fakes.make_vm("a", "a:1"),)
    if fault == "vm_list":
        admin.vms.up = False
    assert (await admin.report())["in_doubt"] == 0
    status, answer = await admin.decide(100)
    assert status == 409
    assert "unreachable" in answer["error"]["message"]
    assert "g" in admin.ledger().grants


async def test_a_restarted_holder_without_witness_leaves_its_grant_in_doubt(
    admin,
):
    """Guards against a solo grant that stays unreachable forever.

    The VM of the holder is still listed, but a later incarnation runs on it.
    """
    admin.set_up_grant(witness=None)
    admin.vms.vms = (config_fakes.make_vm("a", "a:1"),)
    admin.register(incarnation.Incarnation("a", "2"))
    assert (await admin.report())["in_doubt"] == 360


async def test_a_decision_bills_once_and_frees_the_rest(admin):
    admin.set_up_grant()
    status, answer = await admin.decide(100)
    assert status == 200
    assert (answer["billed"], answer["charged"], answer["freed"]) == (
        40,
        100,
        260,
    )
    ledger = admin.ledger()
    assert (ledger.settled, ledger.free, ledger.grants) == (140, 860, {})
    assert [r.cost for r in admin.billing_records()] == [40, 100]
    status, _ = await admin.decide(100)
    assert status == 404


async def test_a_decision_that_charges_zero_writes_no_record(admin):
    admin.set_up_grant()
    _, answer = await admin.decide(0)
    assert answer["freed"] == 360
    assert [r.cost for r in admin.billing_records()] == [40]


async def test_a_decision_counts_batches_missing_from_the_ledger(
    admin,
):
    """Guards against a charge that exceeds the rest of the grant.

    The holder billed a batch and ended before it recorded it in the ledger.
    """
    admin.set_up_grant()
    admin.add_batch("g", 1, [("r2", 50)], 90)
    status, answer = await admin.decide(311)
    assert status == 400
    assert "0 to 310" in answer["error"]["message"]
    _, answer = await admin.decide(310)
    assert (answer["billed"], answer["freed"]) == (90, 0)
    assert (
        sum(r.cost for r in admin.billing_records())
        == admin.ledger().settled
        == 400
    )


async def test_nothing_is_charged_after_a_final_batch_of_the_holder(admin):
    """Guards against a charge that is added to a complete billing log.

    The holder crashed after it wrote its final batch and before it closed the
    grant in the ledger.
    """
    admin.set_up_grant()
    admin.add_batch("g", 1, [("r2", 50)], 90, final=True)
    _, answer = await admin.decide(200)
    assert (answer["billed"], answer["charged"], answer["freed"]) == (
        90,
        0,
        310,
    )


async def test_a_repeated_decision_resumes_after_a_failed_step(admin):
    """Guards against a second charge when a decision is repeated.

    The first decision writes its billing batch and then fails to update the
    ledger. The repeated decision must keep the charge already billed.
    """
    admin.set_up_grant()
    original = admin.store.compare_and_swap
    calls = iter([original, original])

    async def fail_third(*args, **kwargs):
        call = next(calls, budget_fakes.always_timeout)
        return await call(*args, **kwargs)

    admin.store.compare_and_swap = fail_third
    status, _ = await admin.decide(100)
    assert status != 200
    assert "g" in admin.ledger().grants
    admin.store.compare_and_swap = original
    status, answer = await admin.decide(300)
    assert (status, answer["charged"]) == (200, 100)
    assert [r.cost for r in admin.billing_records()] == [40, 100]
    assert admin.ledger().settled == 140


async def test_a_decision_ends_the_log_with_a_final_batch(admin):
    """Guards against a late batch of the former holder after a decision.

    The final batch has a higher epoch than any batch of the former holder.
    """
    admin.set_up_grant()
    await admin.decide(100)
    last = max(k for k in admin.store.data.values if k.startswith("bills/"))
    batch = billing_batch.decode(admin.store.data.values[last].value)
    assert batch.final
    assert batch.epoch == 2


async def test_a_decision_that_loses_to_a_takeover_changes_nothing(admin):
    """Guards against a charge for a grant that a router has taken over.

    The takeover is stored between the read and the write of the decision.
    """
    admin.set_up_grant()
    original = admin.store.compare_and_swap

    async def take_over_first(*args, **kwargs):
        admin.store.compare_and_swap = original
        admin.change_ledger(
            ledger_lib.take_over,
            "g",
            "g",
            "op2",
            budget_fakes.C,
            budget_fakes.B,
        )
        return await original(*args, **kwargs)

    admin.store.compare_and_swap = take_over_first
    status, _ = await admin.decide(100)
    assert status != 200
    assert admin.ledger().grants["g"].holder == budget_fakes.C
    assert [r.cost for r in admin.billing_records()] == [40]
