"""The platform's key-value service."""

import abc
from collections.abc import AsyncIterator

import attrs

from hibiscuspass.core import refusal


@attrs.frozen
class KeyValue:
    """One stored value.

    Attributes:
      key: Full key.
      value: Value, at most 1 MB.
      revision: Revision of the last change of this key.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class ReadResult:
    """Reply to a read.

    Attributes:
      entries: Values found, ordered by key.
      revision: Store revision at which the read took place.
    """

    entries: tuple[KeyValue, ...]
    revision: int


@attrs.frozen
class CasResult:
    """Reply to a compare-and-swap whose outcome is known.

    Attributes:
      succeeded: Whether the write took effect.
      revision: New revision of the key if the write took effect.
      current: The value that stands in the way, None if the key is absent or
        the write took effect.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@attrs.frozen
class WatchEvent:
    """One change of a watched key; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class KvStore(abc.ABC):
    """Compare-and-swap, leases and watches.

    Refusals: `UNAVAILABLE` means that the request did not reach the service;
    `TIMEOUT` that it may or may not have taken effect; `RATE_LIMITED` that the
    local client did not send it.
    """

    @abc.abstractmethod
    async def get(
        self, key: str, *, timeout_s: float
    ) -> ReadResult | refusal.Refusal:
        """Reads one key; linearizable."""

    @abc.abstractmethod
    async def get_prefix(
        self, prefix: str, *, timeout_s: float
    ) -> ReadResult | refusal.Refusal:
        """Reads all keys below a prefix; linearizable."""

    @abc.abstractmethod
    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        *,
        lease_id: int = 0,
        timeout_s: float,
    ) -> CasResult | refusal.Refusal:
        """Writes a key if its revision is the expected one.

        Args:
          key: Key to write.
          expected_revision: Revision the key must have; 0 if it must be absent.
          value: New value; None deletes the key.
          lease_id: Lease that the key is attached to; 0 for none.
          timeout_s: Time limit in seconds.
        """

    @abc.abstractmethod
    async def grant_lease(
        self, ttl_s: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Creates a lease and returns its id."""

    @abc.abstractmethod
    async def keep_alive(
        self, lease_id: int, *, timeout_s: float
    ) -> int | refusal.Refusal:
        """Renews a lease and returns its TTL in seconds.

        `NOT_FOUND` means that the lease has expired.
        """

    @abc.abstractmethod
    async def revoke_lease(
        self, lease_id: int, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Ends a lease and deletes its keys."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchEvent]:
        """Yields changes below a prefix; ends when the watch is lost."""

    async def close(self) -> None:  # noqa: B027, wrappers own no connection.
        """Closes all connections."""
