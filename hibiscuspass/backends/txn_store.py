"""A key-value service with transactions over several keys."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal


@attrs.frozen
class Changes:
    """Reply to a poll.

    Attributes:
      events: Changes in the order of their revisions.
      revision: Revision after which the next poll continues.
    """

    events: tuple[kv_store.WatchEvent, ...]
    revision: int


@attrs.frozen
class Committed:
    """A transaction that took effect."""

    revision: int


@attrs.frozen
class Conflict:
    """A transaction that did not take effect because a condition failed.

    Attributes:
      current: Present values of the keys of the condition that exist.
    """

    current: Mapping[str, kv_store.KeyValue]


class TxnStore(abc.ABC):
    """Reads, long polls and conditional transactions.

    Refusals: `UNAVAILABLE` and `RATE_LIMITED` mean that nothing was done;
    `TIMEOUT` that the call may have taken effect or may do so later, if its
    condition still holds; `STALE` that the history of a poll is gone.
    """

    @abc.abstractmethod
    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads one key; linearizable."""

    @abc.abstractmethod
    async def get_prefix(
        self, prefix: str, *, timeout_s: float, stale_ok: bool = False
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads all keys below a prefix.

        Args:
          prefix: Prefix of the keys.
          timeout_s: Time limit in seconds.
          stale_ok: Whether a cheaper reply that is seconds old will do.
        """

    @abc.abstractmethod
    async def poll(
        self, prefix: str, after: int, *, wait_s: float, timeout_s: float
    ) -> Changes | refusal.Refusal:
        """Waits for changes below a prefix after a revision.

        Args:
          prefix: Prefix of the keys.
          after: Revision of the last known change.
          wait_s: Time that the service may hold the call, in seconds.
          timeout_s: Time limit of the call in seconds, above `wait_s`.
        """

    @abc.abstractmethod
    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        *,
        timeout_s: float,
    ) -> Committed | Conflict | refusal.Refusal:
        """Writes all keys if all conditions hold, else nothing.

        Args:
          expected: Revision that each key must have; 0 if it must be absent.
          writes: New values by key.
          deletes: Keys to delete.
          timeout_s: Time limit in seconds.
        """

    async def close(self) -> None:  # noqa: B027, fakes own no connection.
        """Closes all connections."""
