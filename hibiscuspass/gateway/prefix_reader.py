"""Reads a prefix of the store, and the changes of its keys."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import functools
from typing import Any

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal
from hibiscuspass.gateway import peer_copies
from hibiscuspass.gateway import pending_reply
from hibiscuspass.gateway import reply_timer

_READ_TIMEOUT_S = 1.5
# A poll that lasts this much longer than the requested wait has lost its
# connection.
_POLL_MARGIN_S = 0.6
# A poll returns each version of a value, a read only the newest ones. A reply
# to a poll that is longer than a read by this factor is not worth its transfer.
# Replies up to the smallest limit take little time on any link.
_MAX_HISTORY_FACTOR = 1.5
_MIN_HISTORY_LIMIT_BYTES = 64 * 1024
# Size of an entry in a reply: its value in base64 and its other fields.
_ENCODED_BYTES_PER_BYTE = 4 / 3
_ENTRY_BYTES = 250

ReadReply = kv_store.ReadResult | refusal.Refusal
PollReply = txn_store.PollResult | refusal.Refusal


class PrefixReader:
    """Starts reads and polls, and holds replies for which a copy may come.

    Attributes:
      expected_bytes: Size of the last full read, or of a longer reply since.
    """

    def __init__(
        self,
        store: txn_store.TxnStore,
        prefix: str,
        copies: peer_copies.PeerCopies,
        on_held: Callable[[], None],
        monotonic_s: Callable[[], float],
    ) -> None:
        """Creates a reader.

        Args:
          store: Store with the keys.
          prefix: Prefix of the keys.
          copies: Decides how long a reply waits for a copy.
          on_held: Called when a reply begins to wait for a copy.
          monotonic_s: Clock in seconds.
        """
        self.expected_bytes = 0
        self._store = store
        self._prefix = prefix
        self._copies = copies
        self._on_held = on_held
        self._monotonic_s = monotonic_s

    def read(self) -> pending_reply.PendingReply[ReadReply]:
        """Starts to read all keys."""
        pending = pending_reply.PendingReply[ReadReply](self._monotonic_s())
        pending.task = asyncio.create_task(self._read(pending))
        return pending

    def poll(
        self, revision: int, wait_s: float
    ) -> pending_reply.PendingReply[PollReply]:
        """Starts to ask for changes after a revision.

        Args:
          revision: Revision of the last known change.
          wait_s: How long the store waits for a change; 0 for a check, whose
            reply never waits for a copy.
        """
        pending = pending_reply.PendingReply[PollReply](self._monotonic_s())
        pending.task = asyncio.create_task(
            self._poll(pending, revision, wait_s)
        )
        return pending

    def on_entries(
        self, entries: Sequence[kv_store.KeyValue | kv_store.WatchEvent]
    ) -> None:
        """Records entries that take a longer reply than is expected."""
        self.expected_bytes = max(self.expected_bytes, _encoded_bytes(entries))

    def on_copy(self, pending: pending_reply.PendingReply[Any]) -> None:
        """Records that a copy has replaced a reply."""
        if pending.is_arriving and not pending.is_held:
            self._copies.on_transfer(
                pending.size, self._monotonic_s() - pending.begun_s
            )

    async def _read(
        self, pending: pending_reply.PendingReply[ReadReply]
    ) -> ReadReply:
        timer = reply_timer.ReplyTimer("read", self._prefix, self._monotonic_s)
        result = await self._store.get_prefix(
            self._prefix,
            timeout_s=_READ_TIMEOUT_S,
            on_reply=functools.partial(
                self._on_reply, pending, timer, may_wait=True
            ),
        )
        self._on_end(timer, result)
        if isinstance(result, kv_store.ReadResult):
            self.expected_bytes = _encoded_bytes(result.entries)
        return result

    async def _poll(
        self,
        pending: pending_reply.PendingReply[PollReply],
        revision: int,
        wait_s: float,
    ) -> PollReply:
        timer = reply_timer.ReplyTimer(
            "poll" if wait_s else "check", self._prefix, self._monotonic_s
        )
        result = await self._store.poll(
            self._prefix,
            revision,
            wait_s=wait_s,
            timeout_s=wait_s + _POLL_MARGIN_S,
            max_bytes=max(
                _MIN_HISTORY_LIMIT_BYTES,
                round(_MAX_HISTORY_FACTOR * self.expected_bytes),
            ),
            on_reply=functools.partial(
                self._on_reply, pending, timer, may_wait=wait_s > 0
            ),
        )
        self._on_end(timer, result)
        return result

    async def _on_reply(
        self,
        pending: pending_reply.PendingReply[Any],
        timer: reply_timer.ReplyTimer,
        size: int,
        *,
        may_wait: bool,
    ) -> None:
        """Holds a reply; a copy that arrives meanwhile cancels the request."""
        timer.on_reply(size)
        if pending.begun.is_set():
            # The next page.
            return
        pending.begun.set()
        pending.begun_s = self._monotonic_s()
        pending.size = size
        hold_s = self._copies.hold_s(size)
        if may_wait and hold_s:
            pending.is_held = True
            self._on_held()
            await asyncio.sleep(hold_s)
            timer.on_resumed()

    def _on_end(
        self, timer: reply_timer.ReplyTimer, reply: reply_timer.Reply
    ) -> None:
        timer.on_end(reply)
        if not isinstance(reply, refusal.Refusal):
            self._copies.on_transfer(timer.size, timer.transfer_s)


def _encoded_bytes(
    entries: Sequence[kv_store.KeyValue | kv_store.WatchEvent],
) -> int:
    """Returns about how long a reply with some entries is."""
    value_bytes = sum(len(e.value or b"") for e in entries)
    return round(
        value_bytes * _ENCODED_BYTES_PER_BYTE + len(entries) * _ENTRY_BYTES
    )
