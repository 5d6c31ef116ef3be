"""Measures how long the replies of the store take to arrive."""

from collections.abc import Callable

import structlog

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal

_log = structlog.get_logger(__name__)

# Replies that arrive faster are not logged.
_SLOW_TRANSFER_S = 0.1

Reply = kv_store.ReadResult | txn_store.PollResult | refusal.Refusal


class ReplyTimer:
    """Times of one call of the store.

    Attributes:
      size: Size of the reply in bytes, of its first page if it has several; 0
        before it begins.
      transfer_s: Time for which the reply has arrived in seconds; 0 before it
        is complete.
    """

    def __init__(
        self, call: str, prefix: str, monotonic_s: Callable[[], float]
    ) -> None:
        """Starts to measure.

        Args:
          call: Kind of the call, for the log.
          prefix: Prefix of the keys.
          monotonic_s: Clock in seconds.
        """
        self._call = call
        self._prefix = prefix
        self._monotonic_s = monotonic_s
        self._sent_s = monotonic_s()
        self._begun_s: float | None = None
        self._held_s = 0.0
        self.size = 0
        self.transfer_s = 0.0

    def on_reply(self, size: int) -> None:
        """Records that the reply, or its next page, begins to arrive."""
        if self._begun_s is None:
            self._begun_s = self._monotonic_s()
            self.size = size

    def on_resumed(self) -> None:
        """Records that the reply arrives again after it was held."""
        assert self._begun_s is not None
        self._held_s = self._monotonic_s() - self._begun_s

    def on_end(self, reply: Reply) -> None:
        """Logs a reply that was slow to arrive or did not arrive completely."""
        if self._begun_s is None:
            return
        self.transfer_s = self._monotonic_s() - self._begun_s - self._held_s
        is_cut = isinstance(reply, refusal.Refusal)
        if self.transfer_s < _SLOW_TRANSFER_S and not is_cut:
            return
        _log.info(
            "store reply cut" if is_cut else "slow store reply",
            call=self._call,
            prefix=self._prefix,
            wait_ms=round((self._begun_s - self._sent_s) * 1000),
            held_ms=round(self._held_s * 1000),
            transfer_ms=round(self.transfer_s * 1000),
            bytes=value_bytes(reply),
            detail=reply.detail if isinstance(reply, refusal.Refusal) else "",
        )


def value_bytes(reply: Reply) -> int:
    """Returns the size of all values in a reply; 0 for a refusal."""
    if isinstance(reply, refusal.Refusal):
        return 0
    if isinstance(reply, kv_store.ReadResult):
        return sum(len(e.value) for e in reply.entries)
    return sum(len(e.value or b"") for e in reply.events)
