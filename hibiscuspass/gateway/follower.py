"""Follows the changes of all keys below a prefix of the store."""

import abc
import asyncio
from collections.abc import Sequence
import random

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
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


class Follower:
    """Reads a prefix once, then polls the store for changes.

    After each failed poll the whole prefix is read again, because the store may
    have discarded the history of changes that were missed. A poll is refused as
    `STALE` if this has happened, although the store is reachable.
    """

    def __init__(
        self,
        store: txn_store.TxnStore,
        prefix: str,
        subscriber: Subscriber,
        wait_s: float,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._subscriber = subscriber
        self._wait_s = wait_s
        self._is_reachable: bool | None = None
        self._backoff = backoff_lib.Backoff(_BACKOFF, random.Random())

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        failures = 0
        while True:
            result = await self._store.get_prefix(
                self._prefix, timeout_s=_READ_TIMEOUT_S
            )
            if isinstance(result, refusal.Refusal):
                self._set_reachable(False, result)
                failures += 1
                await asyncio.sleep(self._backoff.delay_s(failures))
                continue
            failures = 0
            self._set_reachable(True)
            self._subscriber.on_list(result.entries)
            await self._poll(result.revision)

    async def _poll(self, revision: int) -> None:
        while True:
            changes = await self._store.poll(
                self._prefix,
                revision,
                wait_s=self._wait_s,
                timeout_s=self._wait_s + _POLL_MARGIN_S,
            )
            if isinstance(changes, refusal.Refusal):
                if changes.reason is not reason_lib.Reason.STALE:
                    self._set_reachable(False, changes)
                return
            for event in changes.events:
                self._subscriber.on_event(event)
            revision = max(revision, changes.revision)

    def _set_reachable(
        self, is_reachable: bool, refused: refusal.Refusal | None = None
    ) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        _log.info(
            "store reachable" if is_reachable else "store unreachable",
            prefix=self._prefix,
            detail=refused.detail if refused else "",
        )
        self._subscriber.on_reachability_changed(is_reachable)
