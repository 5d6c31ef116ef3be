"""Guards decisions on amounts in doubt."""

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core.budget import billing_batch
from hibiscuspass.core.budget import ledger as ledger_lib
from tests import budget_fakes
from tests import config_fakes


@pytest.fixture
async def admin():
    made = budget_fakes.Budget()
    await made.client.start_server()
    await made.create()
    yield made
    await made.client.close()


async def test_a_grant_without_holder_and_witness_is_in_doubt(admin):
    admin.set_up()
    report = await admin.report()
    assert budget_fakes.bounds(report) == (40, 400, 600, 360)
    assert report["unreachable"] == 0
    _, listed = await admin.call("GET", f"{budget_fakes.PATH}/in-doubt")
    assert [g["grant_id"] for g in listed["grants"]] == ["g"]


@pytest.mark.parametrize("fault", ["holder", "witness", "listed", "vm_list"])
async def test_a_grant_is_not_in_doubt_while_a_router_may_return(admin, fault):
    admin.set_up()
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
    admin.set_up(witness=None)
    admin.vms.vms = (config_fakes.make_vm("a", "a:1"),)
    admin.register(incarnation.Incarnation("a", "2"))
    assert (await admin.report())["in_doubt"] == 360


async def test_a_decision_bills_once_and_frees_the_rest(admin):
    admin.set_up()
    status, answer = await admin.decide(100)
    assert status == 200
    assert (answer["billed"], answer["charged"], answer["freed"]) == (
        40,
        100,
        260,
    )
    ledger = admin.ledger()
    assert (ledger.settled, ledger.free, ledger.grants) == (140, 860, {})
    assert [r.cost for r in admin.bills()] == [40, 100]
    status, _ = await admin.decide(100)
    assert status == 404


async def test_a_decision_for_nothing_writes_no_record(admin):
    admin.set_up()
    _, answer = await admin.decide(0)
    assert answer["freed"] == 360
    assert [r.cost for r in admin.bills()] == [40]


async def test_a_decision_counts_batches_that_the_ledger_has_not_followed(
    admin,
):
    admin.set_up()
    admin.add_batch("g", 1, [("r2", 50)], 90)
    status, answer = await admin.decide(311)
    assert status == 400
    assert "0 to 310" in answer["error"]["message"]
    _, answer = await admin.decide(310)
    assert (answer["billed"], answer["freed"]) == (90, 0)
    assert sum(r.cost for r in admin.bills()) == admin.ledger().settled == 400


async def test_a_final_batch_of_the_holder_leaves_nothing_to_charge(admin):
    """The holder crashed between its last batch and closing the grant."""
    admin.set_up()
    admin.add_batch("g", 1, [("r2", 50)], 90, final=True)
    _, answer = await admin.decide(200)
    assert (answer["billed"], answer["charged"], answer["freed"]) == (
        90,
        0,
        310,
    )


async def test_a_decision_goes_on_after_a_fault_in_the_middle(admin):
    """The batch is written, the ledger can't be; another one repeats it."""
    admin.set_up()
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
    assert [r.cost for r in admin.bills()] == [40, 100]
    assert admin.ledger().settled == 140


async def test_a_late_batch_of_the_old_holder_cannot_follow_a_decision(admin):
    admin.set_up()
    await admin.decide(100)
    last = max(k for k in admin.store.data.values if k.startswith("bills/"))
    batch = billing_batch.decode(admin.store.data.values[last].value)
    assert batch.final
    assert batch.epoch == 2


async def test_a_lost_race_with_a_takeover_ends_the_decision(admin):
    admin.set_up()
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
    assert [r.cost for r in admin.bills()] == [40]
