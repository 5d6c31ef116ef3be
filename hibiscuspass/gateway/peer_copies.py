"""Copies of what peers have read, for use while the store's reply is slow."""

import abc
import asyncio
from collections.abc import Callable
import random

from hibiscuspass.backends import kv_store
from hibiscuspass.core.membership import copy_policy


class Copier(abc.ABC):
    """Copies what a peer has read below a prefix."""

    @abc.abstractmethod
    async def copy(
        self, address: str, revision: int
    ) -> kv_store.ReadResult | None:
        """Returns all entries that subscribers use; None if the peer fails.

        Args:
          address: `host:port` of the peer link of a peer.
          revision: Change that the peer must have read.
        """


class PeerCopies:
    """Asks peers for a copy, a second one only if the first is slow.

    Attributes:
      copier: Asks a peer; None if there is no link to peers yet.
    """

    def __init__(self, on_copy: Callable[[], None]) -> None:
        """Creates an instance that knows no peers.

        Args:
          on_copy: Called when a copy has arrived.
        """
        self.copier: Copier | None = None
        self._on_copy = on_copy
        self._policy = copy_policy.CopyPolicy(random.Random())
        self._tasks: set[asyncio.Task[None]] = set()
        self._copy: kv_store.ReadResult | None = None

    def on_announced(self, address: str, revision: int) -> None:
        """Records that a peer has read a change."""
        self._policy.on_announced(copy_policy.Source(address, revision))

    def on_restored(self) -> None:
        """Drops copies and announcements with revisions of an earlier era."""
        self._policy.on_restored()
        self._copy = None
        self._cancel()

    def on_transfer(self, size: int, transfer_s: float) -> None:
        """Records how long a reply of the store took to arrive.

        Args:
          size: Size of the whole reply in bytes.
          transfer_s: Time until it was complete, or until a copy replaced it.
        """
        self._policy.on_transfer(size, transfer_s)

    def hold_s(self, size: int) -> float:
        """Returns for how long a reply of some bytes waits for a copy."""
        return self._policy.hold_s(size) if self.copier else 0.0

    def ask_if_late(
        self,
        newest_change: int,
        size: int,
        arriving_since_s: float,
        now_s: float,
    ) -> None:
        """Asks a peer if the reply of the store is slow.

        Args:
          newest_change: Newest change that this router has read.
          size: Size of the reply in bytes.
          arriving_since_s: Time at which the reply of the store began.
          now_s: Current time.
        """
        if not self.copier:
            return
        source = self._policy.choose(
            newest_change, size, arriving_since_s, now_s
        )
        if source:
            self._policy.on_ask(source, now_s)
            task = asyncio.create_task(self._ask(self.copier, source))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def replaces_check(
        self, newest_change: int, size: int, now_s: float
    ) -> bool:
        """Asks a peer for an announced change instead of the store.

        Args:
          newest_change: Newest change that this router has read.
          size: Expected size of the reply of the store in bytes.
          now_s: Current time.

        Returns:
          Whether a peer was asked that may still answer soon.
        """
        if not self.copier or not self._policy.is_slow(size):
            return False
        self.ask_if_late(newest_change, size, float("-inf"), now_s)
        return self._policy.is_waiting(now_s)

    @property
    def has_copy(self) -> bool:
        """Whether a copy has arrived that was not taken."""
        return self._copy is not None

    def take(self, revision: int) -> kv_store.ReadResult | None:
        """Returns a copy with changes after a revision, once."""
        copy, self._copy = self._copy, None
        if copy and copy.revision > revision:
            return copy
        return None

    def _cancel(self) -> None:
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    async def _ask(self, copier: Copier, source: copy_policy.Source) -> None:
        try:
            copy = await copier.copy(source.address, source.revision)
        finally:
            self._policy.on_end(source)
        if copy is None:
            self._policy.on_failed(source)
            return
        self._copy = copy
        self._cancel()
        self._on_copy()
