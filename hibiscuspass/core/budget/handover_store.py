"""Stores the permit tables of a stopping fleet in the key-value service.

The last router of a fleet has no other router to hand its grants over to. It
stores the permit tables, so that the next router to start can take the grants
over and still recognizes retries. A table is valid only as long as the ledger
has the grant with the same operation, that is, in the same epoch.
"""

import attrs
import msgspec

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import held_grant
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit_table

_KEY_PREFIX = "handover/"


@attrs.frozen
class StoredTable:
    """Permit table as it is stored in the key-value service.

    Attributes:
      operation: Id of the ledger change that began the epoch of the table.
      table: Permits of the grant at the end of the epoch.
    """

    operation: str
    table: permit_table.TableSnapshot


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(StoredTable)


class HandoverStore:
    """Stores and reads the tables of one workspace, one call at a time.

    Attributes:
      stored: Ids of the grants whose table has certainly been stored.
    """

    def __init__(self, ctx: node_context.NodeContext, workspace: str) -> None:
        self._ctx = ctx
        self._workspace = workspace
        self._token = 0
        self._saving: held_grant.HeldGrant | None = None
        self._fetching: grant_lib.Grant | None = None
        self._value = b""
        self._revisions: dict[str, int] = {}
        self.stored: set[str] = set()

    @property
    def busy(self) -> bool:
        """Whether a call is in flight."""
        return self._token != 0

    def owns(self, token: int) -> bool:
        """Whether a token belongs to the call in flight."""
        return token == self._token

    def save(self, held: held_grant.HeldGrant) -> None:
        """Starts to store the table of a frozen grant.

        Does nothing if the table is stored already or a call is in flight.
        """
        if self._token or held.id in self.stored:
            return
        self._saving = held
        self._value = _encoder.encode(
            StoredTable(held.operation, held.table.snapshot())
        )
        self._token = self._ctx.start_call(self._workspace)
        self._ctx.out.append(
            actions.KvCas(
                self._token,
                self._key(held.id),
                self._revisions.get(held.id, 0),
                self._value,
            )
        )

    def fetch(self, grant: grant_lib.Grant) -> None:
        """Starts to read the table of a grant, unless a call is in flight."""
        if self._token:
            return
        self._fetching = grant
        self._token = self._ctx.start_call(self._workspace)
        self._ctx.out.append(actions.KvRead(self._token, self._key(grant.id)))

    def on_cas(self, result: kv_store.CasResult | refusal.Refusal) -> None:
        """Handles the result of `save`, which can be called again on failure.

        A write that timed out may have taken effect. The next one then fails
        but finds its own value.
        """
        self._token = 0
        held, self._saving = self._saving, None
        if held is None or isinstance(result, refusal.Refusal):
            return
        current = result.current
        if result.succeeded or (current and current.value == self._value):
            self.stored.add(held.id)
        else:
            self._revisions[held.id] = current.revision if current else 0

    def on_read(
        self, result: kv_store.ReadResult | refusal.Refusal
    ) -> tuple[grant_lib.Grant, permit_table.TableSnapshot] | None:
        """Handles the result of `fetch`.

        Returns:
          The grant and its table; None if there is no valid table.
        """
        self._token = 0
        grant, self._fetching = self._fetching, None
        if grant is None or isinstance(result, refusal.Refusal):
            return None
        if not result.entries:
            return None
        stored = _decoder.decode(result.entries[0].value)
        if stored.operation != grant.operation:
            return None
        return grant, stored.table

    def _key(self, grant_id: str) -> str:
        return f"{_KEY_PREFIX}{self._workspace}/{grant_id}"
