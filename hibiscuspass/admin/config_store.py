"""Reads and writes workspaces and templates in the key-value service."""

from collections.abc import Callable
from typing import Any
from typing import Generic
from typing import TypeVar
import uuid

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core import run_state
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import record as record_lib
from hibiscuspass.core.configuration import template as template_lib
from hibiscuspass.settings import structure

T = TypeVar("T", record_lib.Record, template_lib.TemplateRecord)

# A compare-and-swap on a revision takes effect at most once, so that it can be
# retried safely.
_MAX_ATTEMPTS = 3


@attrs.frozen
class Stored(Generic[T]):
    """A stored record and its revision.

    Attributes:
      record: The record, None after a deletion.
      revision: Revision of the record or of the deletion.
    """

    record: T | None
    revision: int


@attrs.frozen
class Malformed:
    """A stored value that can't be parsed.

    Attributes:
      problems: Errors found when the value was parsed.
      revision: Revision of the value, needed to overwrite it.
    """

    problems: tuple[structure.Problem, ...]
    revision: int


@attrs.frozen
class Conflict(Generic[T]):
    """A write failed because the stored revision was not the expected one.

    Attributes:
      current: The stored record, None if there is none.
    """

    current: Stored[T] | Malformed | None


class Collection(Generic[T]):
    """Records below one key prefix, written by compare-and-swap."""

    def __init__(
        self,
        store: kv_store.KvStore,
        prefix: str,
        encode: Callable[[T], bytes],
        decode: Callable[[bytes], T | tuple[structure.Problem, ...]],
        timeout_s: float,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._encode: Callable[[T], bytes] = encode
        self._decode: Callable[[bytes], T | tuple[structure.Problem, ...]] = (
            decode
        )
        self._timeout_s = timeout_s

    async def get(
        self, name: str
    ) -> Stored[T] | Malformed | refusal.Refusal | None:
        """Returns a record, or None if it does not exist."""
        read = await self._store.get(
            self._prefix + name, timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        return self._parse(read.entries[0]) if read.entries else None

    async def list(
        self, prefix: str = ""
    ) -> dict[str, Stored[T] | Malformed] | refusal.Refusal:
        """Returns all records whose name starts with a prefix, by name."""
        read = await self._store.get_prefix(
            self._prefix + prefix, timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        return {
            kv_entry.key.removeprefix(self._prefix): self._parse(kv_entry)
            for kv_entry in read.entries
        }

    async def put(
        self, name: str, seen_revision: int, record: T
    ) -> Stored[T] | Conflict[T] | refusal.Refusal:
        """Writes a record if the stored revision is the one last seen.

        Args:
          name: Name of the record.
          seen_revision: Revision that the operator last saw, 0 to create.
          record: New value; a new operation id is set in it, by which a retry
            recognises its own earlier write.
        """
        new_record = attrs.evolve(record, operation=uuid.uuid4().hex)
        outcome = await self._compare_and_swap(
            name, seen_revision, self._encode(new_record)
        )
        if isinstance(outcome, refusal.Refusal):
            return outcome
        if outcome.succeeded:
            return Stored(new_record, outcome.revision)
        current = None if not outcome.current else self._parse(outcome.current)
        if isinstance(current, Stored) and _is_same_write(
            current.record, new_record
        ):
            return Stored(new_record, current.revision)
        return Conflict(current)

    async def delete(
        self, name: str, seen_revision: int
    ) -> Stored[T] | Conflict[T] | refusal.Refusal:
        """Deletes a record if the stored revision is the one last seen."""
        outcome = await self._compare_and_swap(name, seen_revision, None)
        if isinstance(outcome, refusal.Refusal):
            return outcome
        if outcome.succeeded:
            return Stored(None, outcome.revision)
        if outcome.current is None:
            # The record was deleted by an attempt whose reply was lost, or by
            # another operator.
            read = await self._store.get(
                self._prefix + name, timeout_s=self._timeout_s
            )
            if isinstance(read, refusal.Refusal):
                return read
            if not read.entries:
                return Stored(None, read.revision)
            return Conflict(self._parse(read.entries[0]))
        return Conflict(self._parse(outcome.current))

    async def _compare_and_swap(
        self, name: str, seen_revision: int, value: bytes | None
    ) -> kv_store.CasResult | refusal.Refusal:
        outcome: kv_store.CasResult | refusal.Refusal = refusal.Refusal(
            reason.Reason.UNAVAILABLE
        )
        may_have_applied = False
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._store.compare_and_swap(
                self._prefix + name,
                seen_revision,
                value,
                timeout_s=self._timeout_s,
            )
            if isinstance(outcome, kv_store.CasResult):
                return outcome
            may_have_applied |= outcome.reason is reason.Reason.TIMEOUT
            if outcome.reason is not reason.Reason.TIMEOUT:
                break
        if may_have_applied:
            return refusal.Refusal(
                reason.Reason.TIMEOUT,
                "the key-value service did not confirm the change; it may"
                " have taken effect, so read the current revision first",
                run_state.RunState.UNKNOWN,
            )
        return outcome

    def _parse(self, kv_entry: kv_store.KeyValue) -> Stored[T] | Malformed:
        parsed = self._decode(kv_entry.value)
        if isinstance(parsed, tuple):
            return Malformed(parsed, kv_entry.revision)
        return Stored(parsed, kv_entry.revision)


def _is_same_write(current: Any, new_record: Any) -> bool:
    return current is not None and current.operation == new_record.operation


class ConfigStore:
    """Access to all configuration records.

    Attributes:
      workspaces: Collection of workspaces.
      templates: Collection of templates.
    """

    def __init__(self, store: kv_store.KvStore, timeout_s: float) -> None:
        self.workspaces: Collection[record_lib.Record] = Collection(
            store,
            keys.WORKSPACES,
            record_lib.encode,
            record_lib.decode,
            timeout_s,
        )
        self.templates: Collection[template_lib.TemplateRecord] = Collection(
            store,
            keys.TEMPLATES,
            template_lib.encode,
            template_lib.decode,
            timeout_s,
        )
