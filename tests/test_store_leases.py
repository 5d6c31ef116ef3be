"""Tests of the store client's leases against the metadata store stand-in."""

import asyncio
import random

from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.platform import store as store_lib
from standins import metadata_store
from tests import assertions
from tests.soak import system as soak_system

_TIMEOUT_S = 2.0


async def test_key_of_a_lease_lives_as_long_as_the_lease() -> None:
    """The record of a router that has ended must disappear."""
    stand_in = metadata_store.MetadataStore(random.Random(1))
    runner, address = await soak_system.serve(stand_in.app())
    store = store_lib.make_store(address)
    try:
        lease = await store.create_lease(0.3, timeout_s=_TIMEOUT_S)
        assert isinstance(lease, txn_store.Lease)
        written = await store.commit(
            {}, {"members/a": b"1"}, timeout_s=_TIMEOUT_S, lease=lease
        )
        assert isinstance(written, txn_store.Committed)
        for _ in range(3):
            await asyncio.sleep(0.2)
            renewed = await store.renew_lease(lease, timeout_s=_TIMEOUT_S)
            assert not isinstance(renewed, refusal.Refusal)
            assert "members/a" in stand_in.items
        await asyncio.sleep(0.5)
        assert "members/a" not in stand_in.items
        assertions.assert_refused(
            await store.renew_lease(lease, timeout_s=_TIMEOUT_S),
            reason_lib.Reason.STALE,
        )
        assertions.assert_refused(
            await store.commit(
                {}, {"members/a": b"2"}, timeout_s=_TIMEOUT_S, lease=lease
            ),
            reason_lib.Reason.STALE,
        )
    finally:
        await store.close()
        await runner.cleanup()


async def test_new_lease_of_a_key_replaces_the_old_one() -> None:
    """The end of an earlier start's lease must not remove the new record."""
    stand_in = metadata_store.MetadataStore(random.Random(1))
    runner, address = await soak_system.serve(stand_in.app())
    store = store_lib.make_store(address)
    try:
        for ttl_s in (0.3, 5.0):
            lease = await store.create_lease(ttl_s, timeout_s=_TIMEOUT_S)
            assert isinstance(lease, txn_store.Lease)
            await store.commit(
                {}, {"members/a": b"1"}, timeout_s=_TIMEOUT_S, lease=lease
            )
        await asyncio.sleep(0.5)
        assert "members/a" in stand_in.items
    finally:
        await store.close()
        await runner.cleanup()
