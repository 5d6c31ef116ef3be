"""Follows the changes of all keys below a prefix of the store."""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
import time

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import poll_guard
from hibiscuspass.core.retry import backoff as backoff_lib

_log = structlog.get_logger(__name__)

_READ_TIMEOUT_S = 1.5
# A poll that lasts this much longer than the requested wait has lost its
# connection.
_POLL_MARGIN_S = 0.6
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


class Witnesses(abc.ABC):
    """Peers that follow the same prefixes."""

    @abc.abstractmethod
    def count(self) -> int:
        """Returns the number of peers whose announcements arrive."""

    @abc.abstractmethod
    def announce(self, prefix: str, revision: int) -> None:
        """Tells peers the newest change of a prefix that was read."""


class Follower:
    """Reads a prefix once, then polls the store for changes.

    After each failed poll the whole prefix is read again, because the store may
    have discarded the history of changes that were missed. A poll is refused as
    `STALE` if this has happened, although the store is reachable.

    Attributes:
      prefix: Prefix of the keys.
    """

    def __init__(
        self,
        store: txn_store.TxnStore,
        prefix: str,
        subscriber: Subscriber,
        witnesses: Witnesses,
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
          witnesses: Peers that follow the same prefix.
          contact_s: Time within which a lost connection must be noticed, in
            seconds.
          min_interval_s: Shortest time from a poll that returned changes to
            the next one, so that changes in quick succession share a reply.
          monotonic_s: Clock in seconds.
        """
        self.prefix = prefix
        self._store = store
        self._subscriber = subscriber
        self._witnesses = witnesses
        self._min_interval_s = min_interval_s
        self._monotonic_s = monotonic_s
        self._guard = poll_guard.PollGuard(contact_s)
        self._poll_task: (
            asyncio.Task[txn_store.PollResult | refusal.Refusal] | None
        ) = None
        self._is_lost = False
        self._is_reachable: bool | None = None
        self._backoff = backoff_lib.Backoff(_BACKOFF, random.Random())

    def on_announced(self, revision: int) -> None:
        """Handles the announcement of a change that a peer has read."""
        self._guard.on_announced(revision, self._monotonic_s())

    def check(self) -> None:
        """Replaces a waiting poll whose reply was probably lost."""
        if self._poll_task and self._guard.should_restart(
            self._witnesses.count(), self._monotonic_s()
        ):
            _log.info("poll replaced", prefix=self.prefix)
            self._poll_task.cancel()

    def on_store_unreachable(self) -> None:
        """Reads the prefix again as soon as the store answers."""
        self._is_lost = True
        if self._poll_task:
            self._poll_task.cancel()

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        failures = 0
        while True:
            result = await self._store.get_prefix(
                self.prefix, timeout_s=_READ_TIMEOUT_S
            )
            if isinstance(result, refusal.Refusal):
                self._set_reachable(False, result)
                failures += 1
                await asyncio.sleep(self._backoff.delay_s(failures))
                continue
            failures = 0
            self._is_lost = False
            self._set_reachable(True)
            self._subscriber.on_list(result.entries)
            newest = max((e.revision for e in result.entries), default=0)
            self._witnesses.announce(self.prefix, newest)
            await self._poll(result.revision)

    async def _poll(self, revision: int) -> None:
        """Polls for changes until a full read is needed."""
        while not self._is_lost:
            changes = await self._poll_once(revision)
            if changes is None:
                continue
            if isinstance(changes, refusal.Refusal):
                if changes.reason is not reason_lib.Reason.STALE:
                    self._set_reachable(False, changes)
                return
            for event in changes.events:
                self._subscriber.on_event(event)
            revision = max(revision, changes.revision)
            if changes.events:
                newest = max(e.revision for e in changes.events)
                self._witnesses.announce(self.prefix, newest)
                await asyncio.sleep(self._min_interval_s)
        self._set_reachable(False)

    async def _poll_once(
        self, revision: int
    ) -> txn_store.PollResult | refusal.Refusal | None:
        """Polls once; returns None if the poll was replaced."""
        wait_s = self._guard.start(
            revision, self._witnesses.count(), self._monotonic_s()
        )
        poll = asyncio.create_task(
            self._store.poll(
                self.prefix,
                revision,
                wait_s=wait_s,
                timeout_s=wait_s + _POLL_MARGIN_S,
            )
        )
        self._poll_task = poll
        try:
            await asyncio.wait({poll})
            return None if poll.cancelled() else poll.result()
        finally:
            self._poll_task = None
            poll.cancel()

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
