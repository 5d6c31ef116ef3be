"""Follows the changes of all keys below a prefix of the store."""

import abc
import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
import random
import time
from typing import Any

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import poll_guard
from hibiscuspass.core.retry import backoff as backoff_lib
from hibiscuspass.gateway import peer_copies
from hibiscuspass.gateway import pending_reply
from hibiscuspass.gateway import prefix_reader
from hibiscuspass.gateway import store_probe
from hibiscuspass.gateway import wake as wake_lib

_log = structlog.get_logger(__name__)

# Longest wait that the store accepts.
_MAX_WAIT_S = 30.0
# Shortest time from a read to the second one after it. The next one follows a
# refused poll at once.
_MIN_TWO_READS_S = 0.5
# Pauses between reads while the store is unreachable. The longest one is short
# compared to the time within which a new configuration must be used.
_BACKOFF = backoff_lib.BackoffConfig(base_s=0.3, factor=2.0, max_s=1.0)


class Subscriber(abc.ABC):
    """Receives the entries and changes that a follower reads."""

    @abc.abstractmethod
    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        """Called with all entries below the prefix after each full read."""

    @abc.abstractmethod
    def on_event(self, event: kv_store.WatchEvent) -> None:
        """Called with each change."""

    @abc.abstractmethod
    def on_reachability_changed(self, is_reachable: bool) -> None:
        """Called after the first read, and when reachability changes."""

    def on_restored(self) -> None:  # noqa: B027, most keep no revisions.
        """Called when the store was restored; a full read follows."""


class Peers(abc.ABC):
    """Other routers that follow the same prefixes."""

    @abc.abstractmethod
    def announce(self, prefix: str, revision: int) -> None:
        """Tells peers that the store has answered.

        Args:
          prefix: Prefix that was polled or read.
          revision: Newest change of the prefix that was read.
        """


class Follower:
    """Reads a prefix once, then polls the store for changes.

    After each failed poll the whole prefix is read again, because the store may
    have discarded the history of changes that were missed. A poll is refused as
    `STALE` if this has happened, although the store is reachable, or if many
    changes would take longer to transfer than the whole prefix.

    Load pattern: large values that change in quick succession, read by hundreds
    of routers over links that need a second for one of them. While a reply
    arrives, nothing else is requested from the store. If a peer has the change
    already, its copy replaces the reply. Copies are also used between polls and
    while the store doesn't reply.

    Attributes:
      prefix: Prefix of the keys.
      newest_change: Revision of the newest change that was read; 0 if none.
      copies: Copies of what peers have read.
    """

    def __init__(
        self,
        store: txn_store.TxnStore,
        prefix: str,
        subscriber: Subscriber,
        peers: Peers,
        probe: store_probe.StoreProbe,
        *,
        contact_s: float,
        min_interval_s: float = 0.0,
        monotonic_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a follower.

        Args:
          store: Store with the keys.
          prefix: Prefix of the keys.
          subscriber: Receives the entries and changes.
          peers: Routers that follow the same prefix.
          probe: Shows when the store can be reached again.
          contact_s: Time within which a lost connection must be noticed, in
            seconds.
          min_interval_s: Shortest time from a poll that returned changes to
            the next one, so that changes in quick succession share a reply.
            Meanwhile, changes are copied from peers.
          monotonic_s: Clock in seconds.
        """
        self.prefix = prefix
        self.newest_change = 0
        self._store = store
        self._subscriber = subscriber
        self._peers = peers
        self._probe = probe
        self._min_interval_s = min_interval_s
        self._monotonic_s = monotonic_s
        self._guard = poll_guard.PollGuard(contact_s, random.Random())
        # Set when a check is due or the store was found unreachable.
        self._wake = wake_lib.Wake()
        self.copies = peer_copies.PeerCopies(self._wake.set)
        self._is_lost = False
        # Whether the follower asks nothing of the store for some time.
        self._is_waiting = False
        # Whether the store was restored since the last full read began.
        self._is_restored = False
        store.era.listen(self._on_era)
        self._pending: pending_reply.PendingReply[Any] | None = None
        # A read or a check, to which the store replies without waiting.
        self._awaited: pending_reply.PendingReply[Any] | None = None
        self._reader = prefix_reader.PrefixReader(
            store, prefix, self.copies, self._ask_for_copy, monotonic_s
        )
        self._is_reachable: bool | None = None
        self._backoff = backoff_lib.Backoff(_BACKOFF, random.Random())

    def on_announced(self, revision: int, address: str) -> None:
        """Handles the announcement of a peer that had an answer.

        Args:
          revision: Newest change that the peer has read.
          address: `host:port` of its peer link.
        """
        self._guard.on_announced(revision, self._monotonic_s())
        if revision > self.newest_change:
            self.copies.on_announced(address, revision)
            self._ask_for_copy()

    def check(self) -> None:
        """Asks for changes beside a poll whose reply may have been lost."""
        if (
            self._is_waiting
            or self._awaited
            or (self._pending and self._pending.is_arriving)
        ):
            self._ask_for_copy()
            return
        now_s = self._monotonic_s()
        if self._guard.is_check_due(now_s) and not self.copies.replaces_check(
            self.newest_change, self._reader.expected_bytes, now_s
        ):
            self._wake.set()

    def _ask_for_copy(self) -> None:
        """Asks a peer for what the store can't give, or gives slowly."""
        now_s = self._monotonic_s()
        if self._is_waiting:
            self.copies.ask_if_late(self.newest_change, 0, -math.inf, now_s)
        elif self._pending and self._pending.is_arriving:
            self.copies.ask_if_late(
                self.newest_change,
                self._pending.size,
                self._pending.begun_s,
                now_s,
            )
        elif self._awaited:
            self.copies.ask_if_late(
                self.newest_change, 0, self._awaited.started_s, now_s
            )

    def on_store_unreachable(self) -> None:
        """Reads the prefix again as soon as the store answers."""
        self._is_lost = True
        self._wake.set()

    def _on_era(self, _: int) -> None:
        """Reads the prefix again, since known revisions have lost meaning."""
        self._is_restored = True
        self.newest_change = 0
        self._guard.on_restored()
        self.copies.on_restored()
        self._subscriber.on_restored()
        self._wake.set()

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        failures = 0
        reads_s = collections.deque([-math.inf, -math.inf], maxlen=2)
        while True:
            # A store that answers reads may refuse all polls.
            wait_s = reads_s[0] + _MIN_TWO_READS_S - self._monotonic_s()
            await asyncio.sleep(max(0.0, wait_s))
            reads_s.append(self._monotonic_s())
            self._is_restored = False
            result = await self._read_or_copy()
            if self._is_restored:
                continue
            if isinstance(result, refusal.Refusal):
                self._set_reachable(False, result)
                failures += 1
                self._probe.on_failure()
                await self._wait_for_store(self._backoff.delay_s(failures))
                continue
            failures = 0
            self._is_lost = False
            self._set_reachable(True)
            self._subscriber.on_list(result.entries)
            self._on_answer(
                result.revision, (e.revision for e in result.entries)
            )
            await self._poll(result.revision)

    async def _wait_for_store(self, pause_s: float) -> None:
        """Waits until the store answers, and copies what peers announce.

        Args:
          pause_s: Shortest time to wait in seconds.
        """

        async def wait() -> None:
            await asyncio.sleep(pause_s)
            await self._probe.wait()

        await self._copy_until(asyncio.create_task(wait()))

    async def _copy_until(self, end: asyncio.Task[None]) -> None:
        """Copies what peers announce until a task is done."""
        self._is_waiting = True
        self._ask_for_copy()
        try:
            while not end.done():
                await self._wake.wait_for_any(end)
                if copy := self.copies.take(self.newest_change):
                    self.newest_change = copy.revision
                    self._guard.on_answer(copy.revision, self._monotonic_s())
                    self._subscriber.on_list(copy.entries)
                    self._peers.announce(self.prefix, copy.revision)
        finally:
            self._is_waiting = False
            end.cancel()

    async def _read_or_copy(self) -> kv_store.ReadResult | refusal.Refusal:
        """Reads the prefix; a peer's copy may replace a slow reply.

        A copy that comes before the reply begins is used, but doesn't show that
        the store can be reached.
        """
        self._pending = self._awaited = read = self._reader.read()
        newest: kv_store.ReadResult | None = None
        try:
            while not read.task.done():
                if copy := self.copies.take(
                    max(self._guard.revision, self.newest_change)
                ):
                    self.newest_change = copy.revision
                    if read.is_arriving:
                        self._reader.on_copy(read)
                        return copy
                    newest = copy
                    self._subscriber.on_list(copy.entries)
                    self._peers.announce(self.prefix, copy.revision)
                await self._wake.wait_for_any(read.task)
            result = read.task.result()
        finally:
            self._awaited = None
            read.task.cancel()
        is_older = (
            newest is not None
            and isinstance(result, kv_store.ReadResult)
            and result.revision < newest.revision
        )
        return newest if newest and is_older else result

    async def _poll(self, revision: int) -> None:
        """Polls for changes until a full read is needed."""
        while True:
            self._pending = poll = self._reader.poll(revision, _MAX_WAIT_S)
            try:
                changes = await self._wait_for_changes(poll, revision)
            finally:
                poll.task.cancel()
            if isinstance(changes, refusal.Refusal):
                if changes.reason is not reason_lib.Reason.STALE:
                    self._set_reachable(False, changes)
                return
            for event in changes.events:
                self._subscriber.on_event(event)
            self._reader.on_entries(changes.events)
            revision = max(revision, changes.revision)
            self._on_answer(revision, (e.revision for e in changes.events))
            if changes.events and self._min_interval_s:
                await self._copy_until(
                    asyncio.create_task(asyncio.sleep(self._min_interval_s))
                )
                revision = max(revision, self.newest_change)

    async def _wait_for_changes(
        self,
        poll: pending_reply.PendingReply[prefix_reader.PollReply],
        revision: int,
    ) -> prefix_reader.PollReply:
        """Returns the reply to a waiting poll or to a check, or a copy."""
        while True:
            if self._is_restored:
                return refusal.Refusal(
                    reason_lib.Reason.STALE, "the store was restored"
                )
            if self._is_lost and not poll.is_arriving:
                return refusal.Refusal(
                    reason_lib.Reason.UNAVAILABLE, "the store is unreachable"
                )
            # A change that was read already may be missing in an older copy.
            if copy := self.copies.take(revision):
                self.newest_change = copy.revision
                self._reader.on_copy(poll)
                self._subscriber.on_list(copy.entries)
                self._reader.on_entries(copy.entries)
                return txn_store.PollResult((), copy.revision)
            await self._wake.wait_for_any(poll.task)
            if poll.task.done():
                return poll.task.result()
            if self._is_lost or poll.is_arriving or self.copies.has_copy:
                continue
            reply = await self._check(poll, revision)
            if reply is not None:
                return reply

    async def _check(
        self,
        poll: pending_reply.PendingReply[prefix_reader.PollReply],
        revision: int,
    ) -> prefix_reader.PollReply | None:
        """Asks for changes beside a poll until the poll's reply begins.

        Returns:
          The reply; None if there are no changes, the poll's reply begins or a
          copy has arrived.
        """
        self._guard.on_check(self._monotonic_s())
        self._awaited = check = self._reader.poll(revision, 0.0)
        begun = asyncio.create_task(poll.begun.wait())
        try:
            await self._wake.wait_for_any(check.task, begun)
        finally:
            self._awaited = None
            begun.cancel()
            check.task.cancel()
        if not check.task.done():
            return None
        reply = check.task.result()
        if isinstance(reply, refusal.Refusal) or reply.events:
            return reply
        self._on_answer(revision, ())
        return None

    def _on_answer(self, revision: int, changes: Iterable[int]) -> None:
        self._guard.on_answer(revision, self._monotonic_s())
        self.newest_change = max(self.newest_change, *changes, 0)
        self._peers.announce(self.prefix, self.newest_change)

    def _set_reachable(
        self, is_reachable: bool, refused: refusal.Refusal | None = None
    ) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        _log.info(
            "store reachable" if is_reachable else "store unreachable",
            prefix=self.prefix,
            detail=refused.detail if refused else "",
        )
        self._subscriber.on_reachability_changed(is_reachable)
