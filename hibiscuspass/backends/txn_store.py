"""Interface of a key-value service with transactions over several keys."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal
from hibiscuspass.core import store_era

# Called with the size of a reply in bytes when it begins to arrive, 0 if that
# is not known. The rest of the reply is not read before it returns.
OnReply = Callable[[int], Awaitable[None]]


@attrs.frozen
class PollResult:
    """Reply to a poll.

    Attributes:
      events: Changes in the order of their revisions.
      revision: Revision to pass as `after` to the next poll.
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
      current: Current values of those keys of the conditions that exist.
    """

    current: Mapping[str, kv_store.KeyValue]


@attrs.frozen
class Lease:
    """Lease of the service; its keys are removed when it ends.

    Attributes:
      lease_id: Number that the service gave to the lease.
      ttl_s: Time in seconds after which it ends unless it is renewed.
    """

    lease_id: int
    ttl_s: float


class TxnStore(abc.ABC):
    """Key-value service with long polls and conditional transactions.

    A refusal with `UNAVAILABLE` or `RATE_LIMITED` means that the call had no
    effect. `TIMEOUT` means that it may have taken effect, or may still take
    effect if its conditions hold then. `STALE` means that the service no
    longer has the changes after the revision of a poll, or that they are longer
    than the caller accepts.

    The time limits of `get_prefix` and `poll` bound the time until the reply
    begins. A reply that has begun may take longer while its data arrives.

    A call whose answer comes from another era than the one known when it began
    is refused: `commit` as `TIMEOUT`, all others as `STALE`.

    Attributes:
      era: Newest known era of the service.
    """

    era: store_era.StoreEra

    @abc.abstractmethod
    async def get(
        self, key: str, *, timeout_s: float
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads one key; linearizable."""

    @abc.abstractmethod
    async def get_prefix(
        self,
        prefix: str,
        *,
        timeout_s: float,
        stale_ok: bool = False,
        on_reply: OnReply | None = None,
    ) -> kv_store.ReadResult | refusal.Refusal:
        """Reads all keys with a prefix.

        Args:
          prefix: Prefix of the keys.
          timeout_s: Time limit in seconds until the reply begins.
          stale_ok: Whether to accept a reply that is cheaper but may be
            seconds old; otherwise the read is linearizable.
          on_reply: Called when a reply begins to arrive.
        """

    @abc.abstractmethod
    async def poll(
        self,
        prefix: str,
        after: int,
        *,
        wait_s: float,
        timeout_s: float,
        max_bytes: int | None = None,
        on_reply: OnReply | None = None,
    ) -> PollResult | refusal.Refusal:
        """Waits for changes of keys with a prefix after a revision.

        Args:
          prefix: Prefix of the keys.
          after: Revision of the last known change.
          wait_s: Longest time in seconds that the service waits for a change
            before it replies.
          timeout_s: Time limit in seconds until the reply begins, greater than
            `wait_s`.
          max_bytes: Size of the longest reply that is read; a longer one is
            refused as `STALE` when it begins. None for no limit.
          on_reply: Called when a reply begins to arrive.
        """

    @abc.abstractmethod
    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        *,
        timeout_s: float,
        lease: Lease | None = None,
    ) -> Committed | Conflict | refusal.Refusal:
        """Makes all writes and deletes if all conditions hold, else none.

        Args:
          expected: Conditions: the revision that each key must have; 0 if the
            key must not exist.
          writes: New values by key.
          deletes: Keys to delete.
          timeout_s: Time limit in seconds.
          lease: Lease that the written keys are attached to; None for keys
            that stay. If it has ended, the call is refused as `STALE`.
        """

    @abc.abstractmethod
    async def create_lease(
        self, ttl_s: float, *, timeout_s: float
    ) -> Lease | refusal.Refusal:
        """Creates a lease; its time runs from the arrival of the call."""

    @abc.abstractmethod
    async def renew_lease(
        self, lease: Lease, *, timeout_s: float
    ) -> Lease | refusal.Refusal:
        """Renews a lease; refused as `STALE` if it has ended."""

    async def close(self) -> None:  # noqa: B027, fakes own no connection.
        """Closes all connections."""
