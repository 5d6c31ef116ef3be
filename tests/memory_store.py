"""Transactional store in memory that can lose answers and delay writes."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core import store_era

_POLL_S = 0.02


@attrs.frozen
class Copy:
    """Copy of the store from which it can be restored."""

    items: Mapping[str, kv_store.KeyValue]
    revision: int
    leases: Mapping[int, txn_store.Lease]
    leased_keys: Mapping[str, int]


@attrs.frozen
class PendingWrite:
    """Transaction whose caller got no answer."""

    expected: Mapping[str, int]
    writes: Mapping[str, bytes]
    deletes: Sequence[str]


class MemoryStore(txn_store.TxnStore):
    """Transactional store in memory.

    Attributes:
      items: Current values by key.
      revision: Revision of the last change.
      is_down: Whether all calls are refused without any effect.
      loses_answers: Whether transactions get no answer and are added to
        `pending`.
      pending: Transactions that may take effect later.
      names_era: Whether answers name the era, which a restore raises.
    """

    def __init__(self) -> None:
        self.items: dict[str, kv_store.KeyValue] = {}
        self.revision = 1
        self.is_down = False
        self.loses_answers = False
        self.pending: list[PendingWrite] = []
        # Revisions of deletions by key.
        self._deleted: dict[str, int] = {}
        self.era = store_era.StoreEra()
        self.names_era = False
        self._era = 1
        self._leases: dict[int, txn_store.Lease] = {}
        self._leased_keys: dict[str, int] = {}

    def end_leases(self) -> None:
        """Ends all leases, which removes their keys."""
        for key in self._leased_keys:
            self.items.pop(key, None)
        self._leases = {}
        self._leased_keys = {}
        self.revision += 1

    def copy(self) -> Copy:
        """Returns a copy for `restore`."""
        return Copy(
            dict(self.items),
            self.revision,
            dict(self._leases),
            dict(self._leased_keys),
        )

    def restore(self, copy: Copy) -> None:
        """Returns to a copy, which reuses revisions, and begins an era.

        Clients learn of the era with their next answer.
        """
        self.items = dict(copy.items)
        self.revision = copy.revision
        self._deleted = {
            key: revision
            for key, revision in self._deleted.items()
            if revision <= copy.revision
        }
        self._leases = dict(copy.leases)
        self._leased_keys = dict(copy.leased_keys)
        self._era += 1

    def _is_other_era(self) -> bool:
        """Names the era in an answer; returns whether it is another one."""
        started_in = self.era.current
        if not self.names_era:
            return False
        self.era.on_answer(self._era)
        return started_in not in (None, self._era)

    def apply(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        deletes: Sequence[str] = (),
    ) -> txn_store.Committed | txn_store.Conflict:
        """Executes a transaction if its conditions hold."""
        present = {k: self.items[k] for k in expected if k in self.items}
        revisions = {k: v.revision for k, v in present.items()}
        if any(revisions.get(k, 0) != rev for k, rev in expected.items()):
            return txn_store.Conflict(present)
        self.revision += 1
        for key in deletes:
            if self.items.pop(key, None):
                self._deleted[key] = self.revision
        for key, value in writes.items():
            self._deleted.pop(key, None)
            self.items[key] = kv_store.KeyValue(key, value, self.revision)
        return txn_store.Committed(self.revision)

    def deliver(self, index: int) -> None:
        """Executes a pending transaction."""
        write = self.pending.pop(index)
        self.apply(write.expected, write.writes, write.deletes)

    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class."""
        if self.is_down:
            return _down()
        if self._is_other_era():
            return _other_era(reason_lib.Reason.STALE)
        found = tuple(v for k, v in self.items.items() if k == key)
        return kv_store.ReadResult(found, self.revision)

    async def get_prefix(
        self,
        prefix: str,
        *,
        timeout_s: float,
        stale_ok: bool = False,
        on_reply: txn_store.OnReply | None = None,
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class."""
        if self.is_down:
            return _down()
        if self._is_other_era():
            return _other_era(reason_lib.Reason.STALE)
        if on_reply:
            await on_reply(0)
        found = tuple(
            v for k, v in sorted(self.items.items()) if k.startswith(prefix)
        )
        return kv_store.ReadResult(found, self.revision)

    async def poll(
        self,
        prefix: str,
        after: int,
        *,
        wait_s: float,
        timeout_s: float,
        max_bytes: int | None = None,
        on_reply: txn_store.OnReply | None = None,
    ) -> txn_store.PollResult | refusal.Refusal:
        """See base class; ignores `wait_s` and waits for a fixed short time."""
        await asyncio.sleep(_POLL_S)
        if self.is_down:
            return _down()
        if self._is_other_era():
            return _other_era(reason_lib.Reason.STALE)
        if on_reply:
            await on_reply(0)
        events = tuple(
            kv_store.WatchEvent(k, v.value, v.revision)
            for k, v in self.items.items()
            if k.startswith(prefix) and v.revision > after
        ) + tuple(
            kv_store.WatchEvent(k, None, revision)
            for k, revision in self._deleted.items()
            if k.startswith(prefix) and revision > after
        )
        return txn_store.PollResult(events, self.revision)

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        *,
        timeout_s: float,
        lease: txn_store.Lease | None = None,
    ) -> txn_store.Committed | txn_store.Conflict | refusal.Refusal:
        """See base class."""
        if self.is_down:
            return _down()
        if lease and lease.lease_id not in self._leases:
            return refusal.Refusal(reason_lib.Reason.STALE, "lease has ended")
        if lease:
            self._leased_keys |= dict.fromkeys(writes, lease.lease_id)
        if self.loses_answers:
            self.pending.append(
                PendingWrite(dict(expected), dict(writes), tuple(deletes))
            )
            return refusal.Refusal(reason_lib.Reason.TIMEOUT, "no answer")
        outcome = self.apply(expected, writes, deletes)
        if self._is_other_era():
            return _other_era(reason_lib.Reason.TIMEOUT)
        return outcome

    async def create_lease(
        self, ttl_s: float, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class; a lease ends only by `end_leases`."""
        if self.is_down:
            return _down()
        if self._is_other_era():
            return _other_era(reason_lib.Reason.STALE)
        self.revision += 1
        lease = txn_store.Lease(self.revision, ttl_s)
        self._leases[lease.lease_id] = lease
        return lease

    async def renew_lease(
        self, lease: txn_store.Lease, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class."""
        if self.is_down:
            return _down()
        if self._is_other_era():
            return _other_era(reason_lib.Reason.STALE)
        if lease.lease_id not in self._leases:
            return refusal.Refusal(reason_lib.Reason.STALE, "lease has ended")
        return lease


def _down() -> refusal.Refusal:
    return refusal.Refusal(reason_lib.Reason.UNAVAILABLE, "the store is down")


def _other_era(reason: reason_lib.Reason) -> refusal.Refusal:
    return refusal.Refusal(reason, "the answer is of another era")


class Connection(txn_store.TxnStore):
    """A client of a store in memory, which learns of eras by itself."""

    def __init__(self, shared: MemoryStore) -> None:
        self.era = store_era.StoreEra()
        self._shared = shared

    def _enter(self) -> MemoryStore:
        """Makes the next answer of the store count for this client."""
        self._shared.era = self.era
        return self._shared

    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class."""
        return await self._enter().get(key, timeout_s=timeout_s)

    async def get_prefix(
        self,
        prefix: str,
        *,
        timeout_s: float,
        stale_ok: bool = False,
        on_reply: txn_store.OnReply | None = None,
    ) -> kv_store.ReadResult | refusal.Refusal:
        """See base class."""
        return await self._enter().get_prefix(prefix, timeout_s=timeout_s)

    async def poll(self, *_: object, **__: object) -> refusal.Refusal:
        """Always refuses."""
        return _down()

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        *,
        timeout_s: float,
        lease: txn_store.Lease | None = None,
    ) -> txn_store.Committed | txn_store.Conflict | refusal.Refusal:
        """See base class."""
        return await self._enter().commit(
            expected, writes, deletes, timeout_s=timeout_s, lease=lease
        )

    async def create_lease(
        self, ttl_s: float, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class."""
        return await self._enter().create_lease(ttl_s, timeout_s=timeout_s)

    async def renew_lease(
        self, lease: txn_store.Lease, *, timeout_s: float
    ) -> txn_store.Lease | refusal.Refusal:
        """See base class."""
        return await self._enter().renew_lease(lease, timeout_s=timeout_s)
