"""Claims of non-repeatable calls, kept in the key-value service."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import claim
from hibiscuspass.core import refusal
from hibiscuspass.router import lifecycle as lifecycle_lib

# Delays of the attempts to delete a claim that this router may have created. If
# the write that creates it takes effect after the last attempt, only an
# operator can delete the claim; until then, calls with its key are refused with
# run state `unknown`.
_RELEASE_DELAYS_S = (0.1, 0.5, 2.0, 5.0, 10.0, 20.0, 30.0)
_STORE_DELAYS_S = (0.0, 0.1, 0.5, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0)


@attrs.frozen
class Claim:
    """A claim that this process holds.

    Attributes:
      key: Key in the key-value service.
      record: The record that was stored when the claim was created.
      revision: Revision of the key.
    """

    key: str
    record: claim.Record
    revision: int


class ClaimStore:
    """Makes, completes and releases claims."""

    def __init__(
        self,
        store: kv_store.KvStore,
        lifecycle: lifecycle_lib.Lifecycle,
        *,
        timeout_s: float,
    ) -> None:
        self._store = store
        self._lifecycle = lifecycle
        self._timeout_s = timeout_s

    async def acquire(
        self, key: str, operation: str, fingerprint: str
    ) -> Claim | claim.Replay | refusal.Refusal:
        """Claims a call.

        If the attempt is cancelled, its claim is released in the background.

        Args:
          key: Key of the claim in the key-value service.
          operation: Id of this attempt.
          fingerprint: Digest of method, path and body of the call.

        Returns:
          The claim, the stored outcome of an earlier attempt, or a refusal.
        """
        attempt = claim.Attempt(operation, fingerprint)
        create = attempt.start()
        action: claim.Action = create
        try:
            while not isinstance(action, claim.Dispatch):
                if isinstance(action, claim.Replay):
                    return action
                if isinstance(action, claim.Refuse):
                    if action.release:
                        self._release_in_background(key, operation)
                    return action.refused
                action = await self._execute(key, attempt, action)
        except asyncio.CancelledError:
            self._release_in_background(key, operation)
            raise
        return Claim(key, create.record, action.revision)

    async def _execute(
        self,
        key: str,
        attempt: claim.Attempt,
        action: claim.Create | claim.Read,
    ) -> claim.Action:
        if isinstance(action, claim.Create):
            return attempt.on_create(
                await self._store.compare_and_swap(
                    key,
                    0,
                    claim.encode(action.record),
                    timeout_s=self._timeout_s,
                )
            )
        return attempt.on_read(
            await self._store.get(key, timeout_s=self._timeout_s)
        )

    async def store_or_release(
        self,
        held_claim: Claim,
        outcome: claim.StoredOutcome | refusal.Refusal,
        response_sent: asyncio.Event,
    ) -> None:
        """Stores an outcome, or releases the claim of a call that did not run.

        The release waits for `response_sent`, because another attempt may run
        as soon as the claim is gone, and an answer `not run` that is sent
        later would be false. Only the first write is awaited; retries of
        the write continue in the background.
        """
        record = claim.record_after_dispatch(held_claim.record, outcome)
        value = None if record is None else claim.encode(record)
        if value is None:
            await response_sent.wait()
        if not await self._write(held_claim, value):
            self._spawn(self._write_repeatedly(held_claim, value))

    async def _write(self, held_claim: Claim, value: bytes | None) -> bool:
        reply = await self._store.compare_and_swap(
            held_claim.key,
            held_claim.revision,
            value,
            timeout_s=self._timeout_s,
        )
        # A failed comparison is final as well: either an earlier try of this
        # write took effect or an operator deleted the claim.
        return not isinstance(reply, refusal.Refusal)

    async def _write_repeatedly(
        self, held_claim: Claim, value: bytes | None
    ) -> None:
        for delay_s in _STORE_DELAYS_S:
            await asyncio.sleep(delay_s)
            if await self._write(held_claim, value):
                return

    def _release_in_background(self, key: str, operation: str) -> None:
        # A graceful stop need not wait for the release: a claim that remains
        # only causes refusals of calls with its key.
        self._spawn(self._release_if_own(key, operation), essential=False)

    async def _release_if_own(self, key: str, operation: str) -> None:
        """Deletes the claim if the given operation created it."""
        for delay_s in _RELEASE_DELAYS_S:
            await asyncio.sleep(delay_s)
            reply = await self._store.get(key, timeout_s=self._timeout_s)
            if isinstance(reply, refusal.Refusal) or not reply.entries:
                continue
            current = reply.entries[0]
            record = claim.decode(current.value)
            if record is None or record.operation != operation:
                return
            deleted = await self._store.compare_and_swap(
                key, current.revision, None, timeout_s=self._timeout_s
            )
            if not isinstance(deleted, refusal.Refusal):
                return

    def _spawn(
        self, work: Coroutine[Any, Any, None], *, essential: bool = True
    ) -> None:
        self._lifecycle.spawn(asyncio.create_task(work), essential=essential)
