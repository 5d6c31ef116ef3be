"""Reads and changes workspaces and templates at the key-value service."""

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

# A compare-and-swap by revision may be sent again: it takes effect once.
_MAX_ATTEMPTS = 3


@attrs.frozen
class Stored(Generic[T]):
    """A stored record; `record` is None after a deletion."""

    record: T | None
    revision: int


@attrs.frozen
class Malformed:
    """A stored value that can't be parsed.

    Attributes:
      problems: What is wrong with it.
      revision: Revision of the value, to overwrite it.
    """

    problems: tuple[structure.Problem, ...]
    revision: int


@attrs.frozen
class Conflict(Generic[T]):
    """A change lost the race; `current` is what is stored, None if absent."""

    current: Stored[T] | Malformed | None


class Collection(Generic[T]):
    """Records below one prefix, changed with the revision last seen."""

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
        """Returns a record, None if there is none."""
        read = await self._store.get(
            self._prefix + name, timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        return self._parse(read.entries[0]) if read.entries else None

    async def list(
        self, prefix: str = ""
    ) -> dict[str, Stored[T] | Malformed] | refusal.Refusal:
        """Returns all records whose name has a prefix, by name."""
        read = await self._store.get_prefix(
            self._prefix + prefix, timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        return {
            found.key.removeprefix(self._prefix): self._parse(found)
            for found in read.entries
        }

    async def put(
        self, name: str, seen_revision: int, record: T
    ) -> Stored[T] | Conflict[T] | refusal.Refusal:
        """Writes a record if the stored revision is the one last seen.

        Args:
          name: Name of the record.
          seen_revision: Revision that the operator saw; 0 to create.
          record: New value; its operation id is set here.
        """
        own = attrs.evolve(record, operation=uuid.uuid4().hex)
        written = await self._swap(name, seen_revision, self._encode(own))
        if isinstance(written, refusal.Refusal):
            return written
        if written.succeeded:
            return Stored(own, written.revision)
        current = None if not written.current else self._parse(written.current)
        if isinstance(current, Stored) and _is_own(current.record, own):
            return Stored(own, current.revision)
        return Conflict(current)

    async def delete(
        self, name: str, seen_revision: int
    ) -> Stored[T] | Conflict[T] | refusal.Refusal:
        """Deletes a record if the stored revision is the one last seen."""
        written = await self._swap(name, seen_revision, None)
        if isinstance(written, refusal.Refusal):
            return written
        if written.succeeded:
            return Stored(None, written.revision)
        if written.current is None:
            # Deleted by an attempt whose reply was lost, or by someone else.
            read = await self._store.get(
                self._prefix + name, timeout_s=self._timeout_s
            )
            if isinstance(read, refusal.Refusal):
                return read
            if not read.entries:
                return Stored(None, read.revision)
            return Conflict(self._parse(read.entries[0]))
        return Conflict(self._parse(written.current))

    async def _swap(
        self, name: str, seen_revision: int, value: bytes | None
    ) -> kv_store.CasResult | refusal.Refusal:
        outcome: kv_store.CasResult | refusal.Refusal = refusal.Refusal(
            reason.Reason.UNAVAILABLE
        )
        may_have_run = False
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._store.compare_and_swap(
                self._prefix + name,
                seen_revision,
                value,
                timeout_s=self._timeout_s,
            )
            if isinstance(outcome, kv_store.CasResult):
                return outcome
            may_have_run |= outcome.reason is reason.Reason.TIMEOUT
            if outcome.reason is not reason.Reason.TIMEOUT:
                break
        if may_have_run:
            return refusal.Refusal(
                reason.Reason.TIMEOUT,
                "the key-value service did not confirm the change; it may"
                " have taken effect, so read the current revision first",
                run_state.RunState.UNKNOWN,
            )
        return outcome

    def _parse(self, found: kv_store.KeyValue) -> Stored[T] | Malformed:
        parsed = self._decode(found.value)
        if isinstance(parsed, tuple):
            return Malformed(parsed, found.revision)
        return Stored(parsed, found.revision)


def _is_own(current: Any, own: Any) -> bool:
    return current is not None and current.operation == own.operation


class ConfigStore:
    """All configuration.

    Attributes:
      workspaces: Workspaces by name.
      templates: Templates by name.
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
