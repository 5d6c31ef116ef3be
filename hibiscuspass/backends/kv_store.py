"""Interface of the platform's key-value service."""

import abc
from collections.abc import AsyncIterator

import attrs

from hibiscuspass.core import refusal


@attrs.frozen
class KeyValue:
    """A key with its value.

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
      entries: Keys that exist, with their values, ordered by key.
      revision: Store revision at which the read took place.
    """

    entries: tuple[KeyValue, ...]
    revision: int


@attrs.frozen
class CasResult:
    """Reply to a compare-and-swap whose outcome is known.

    Attributes:
      succeeded: Whether the write took effect.
      revision: New revision of the key if the write took effect, else 0.
      current: Current value of the key if the write did not take effect; None
        if the key does not exist or the write took effect.
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
    """Key-value service with compare-and-swap, leases and watches.

    A refusal with `UNAVAILABLE` means that the request did not reach the
    service, one with `TIMEOUT` that it may or may not have taken effect, and
    one with `RATE_LIMITED` that the local client did not send it.
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
        """Reads all keys with a prefix; linearizable."""

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
        """Writes or deletes a key if its revision is the expected one.

        Args:
          key: Key to write.
          expected_revision: Revision that the key must have; 0 if the key must
            not exist.
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

        The refusal is `NOT_FOUND` if the lease has expired.
        """

    @abc.abstractmethod
    async def revoke_lease(
        self, lease_id: int, *, timeout_s: float
    ) -> refusal.Refusal | None:
        """Revokes a lease and deletes its keys."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[WatchEvent]:
        """Yields changes of keys with a prefix until the watch is lost.

        Args:
          prefix: Prefix of the watched keys.
          from_revision: First revision to report; 0 for future changes only.
        """

    async def close(self) -> None:  # noqa: B027, wrappers own no connection.
        """Closes all connections."""
