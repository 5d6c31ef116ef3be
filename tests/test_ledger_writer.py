"""Writes of the ledger that wait for each other."""

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
class _Sink:
    """Stands for news, evidence and metrics."""

    def publish(self, msg: object) -> None: ...

    def now(self) -> float:
        return 0.0

    def on_written(self, revision: int, sent_s: float) -> None: ...

    def on_draw(self, outcome: str) -> None: ...


def _writer(
    drawn: int,
) -> tuple[
    ledger_writer.LedgerWriter,
    accounts_lib.PrepaidAccounts,
    memory_store.MemoryStore,
]:
    """Makes a writer; other routers have drawn the given tokens."""
    store = memory_store.MemoryStore()
    record = store_record.WorkspaceRecord(drawn)
    store.apply({}, {_KEY: store_record.encode(record)})
    accounts = accounts_lib.PrepaidAccounts(
        incarnation.Incarnation("router-1", "1"),
        "h:1",
        draw_policy.DrawConfig(),
    )
    accounts.set_prepaid_amounts({"desk": _PREPAID})
    sink = _Sink()
    return (
        ledger_writer.LedgerWriter(accounts, store, sink, sink, sink),
        accounts,
        store,
    )


def _total(store: memory_store.MemoryStore) -> int:
    return store_record.decode_workspace(store.items[_KEY].value).drawn


@pytest.mark.parametrize("drawn", [24_933, 20_000])
async def test_draws_that_waited_stay_within_the_prepaid_amount(
    drawn: int,
) -> None:
    """Sizes from before the total was known overdrew a workspace.

    Seed 2 of the soak: several requests waited for a write without an answer
    and then drew 17,380 tokens of a workspace with 67 left.
    """
    writer, _, store = _writer(drawn)
    sizes = [(4437, 354), (4343, 260), (4332, 249), (4268, 185)]
    await asyncio.gather(
        *(writer.change({"desk": size}, tokens) for size, tokens in sizes)
    )
    assert drawn <= _total(store) <= _PREPAID


async def test_returns_that_waited_keep_what_is_in_use() -> None:
    """A return planned before a request came would give its tokens away."""
    writer, accounts, store = _writer(0)
    await writer.change({"desk": 5000})
    await writer.change({"desk": 5000})
    before = _total(store)
    surplus = accounts.full_return_changes()
    assert surplus["desk"] == -before
    returning = asyncio.gather(writer.change(surplus), writer.change(surplus))
    hold = accounts.hold("desk", 900, 0, 0.0)
    assert hold is not None
    await returning
    assert _total(store) >= 900
    assert accounts.remaining("desk") >= 0
