"""Tests of ledger writes that wait for each other."""

import asyncio

import attrs
import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import draw_policy
from hibiscuspass.core.prepaid import prepaid_accounts as accounts_lib
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.gateway import ledger_writer
from tests import memory_store

_PREPAID = 25_000
_KEY = store_record.workspace_key("desk")


@attrs.define
class _FakeDependencies:
    """Stands for the news channel, the age tracker and the metrics."""

    def publish(self, msg: object) -> None: ...

    def now(self) -> float:
        return 0.0

    def record_write(self, revision: int, sent_s: float) -> None: ...

    def on_draw(self, outcome: str) -> None: ...


def _writer(
    drawn: int,
) -> tuple[
    ledger_writer.LedgerWriter,
    accounts_lib.PrepaidAccounts,
    memory_store.MemoryStore,
]:
    """Returns a writer, with `drawn` tokens drawn by other routers."""
    store = memory_store.MemoryStore()
    record = store_record.WorkspaceRecord(drawn)
    store.apply({}, {_KEY: store_record.encode(record)})
    accounts = accounts_lib.PrepaidAccounts(
        incarnation.Incarnation("router-1", "1"),
        "h:1",
        draw_policy.DrawConfig(),
    )
    accounts.set_prepaid_amounts({"desk": _PREPAID})
    fake = _FakeDependencies()
    return (
        ledger_writer.LedgerWriter(accounts, store, fake, fake, fake),
        accounts,
        store,
    )


def _total(store: memory_store.MemoryStore) -> int:
    return store_record.decode_workspace(store.items[_KEY].value).drawn


@pytest.mark.parametrize("drawn", [24_933, 20_000])
async def test_draws_that_waited_stay_within_the_prepaid_amount(
    drawn: int,
) -> None:
    """Draws planned before the total was known must not overdraw a workspace.

    In seed 2 of the soak test, several requests waited for a write without an
    answer and then drew 17,380 tokens of a workspace with 67 left.
    """
    writer, _, store = _writer(drawn)
    sizes = [(4437, 354), (4343, 260), (4332, 249), (4268, 185)]
    await asyncio.gather(
        *(
            writer.write_changes({"desk": size}, tokens)
            for size, tokens in sizes
        )
    )
    assert drawn <= _total(store) <= _PREPAID


async def test_returns_that_waited_keep_what_is_in_use() -> None:
    """A return planned before a request arrived must not return its tokens."""
    writer, accounts, store = _writer(0)
    await writer.write_changes({"desk": 5000})
    await writer.write_changes({"desk": 5000})
    before = _total(store)
    surplus = accounts.full_return_changes()
    assert surplus["desk"] == -before
    returning = asyncio.gather(
        writer.write_changes(surplus), writer.write_changes(surplus)
    )
    hold = accounts.hold("desk", 900, 0, 0.0)
    assert hold is not None
    await returning
    assert _total(store) >= 900
    assert accounts.remaining("desk") >= 0
