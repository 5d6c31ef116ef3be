"""Decides which of several grants bills a request.

An entry router that gets no answer asks another router, so one attempt can have
permits under two grants. It uses only the permit of the router that it asked
last. If the entry router then fails, neither holder knows which permit was
used. The holder that creates the request's claim key writes the billing record;
the other one releases its hold. Both holds cover the worst-case cost, so either
choice is safe.
"""

from collections.abc import Callable

from hibiscuspass.backends import kv_store
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import actions
from hibiscuspass.core.budget import node_context
from hibiscuspass.core.budget import permit as permit_lib
from hibiscuspass.core.budget import permit_row

_OnRow = Callable[[permit_row.PermitRow], None]


def is_needed(row: permit_row.PermitRow) -> bool:
    """Whether another grant may hold a permit for the same request.

    Keyed requests only get permits under the primary grant. If an uncontested
    permit was used and settled, its holder is the only router that was asked.
    """
    estimated = row.kind is permit_lib.CostKind.ESTIMATED
    return not row.keyed and (row.contested or estimated)


def key(workspace: str, request_id: str) -> str:
    """Returns the key of a request's claim; the value is a grant id."""
    return f"orphans/{workspace}/{request_id}"


class RequestClaims:
    """Claims requests on behalf of one grant.

    Attributes:
      unresolved: Rows whose claim has no result yet, by request id.
    """

    def __init__(
        self,
        ctx: node_context.NodeContext,
        workspace: str,
        grant_id: str,
        *,
        on_won: _OnRow,
        on_lost: _OnRow,
    ) -> None:
        self._ctx = ctx
        self._workspace = workspace
        self._grant_id = grant_id
        self._on_won = on_won
        self._on_lost = on_lost
        self._tokens: dict[int, str] = {}
        self._retry_at_s: dict[str, float] = {}
        self.unresolved: dict[str, permit_row.PermitRow] = {}

    @property
    def unresolved_cost(self) -> int:
        """Sum of the costs of rows whose claim has no result yet."""
        return sum(r.cost for r in self.unresolved.values())

    def owns(self, token: int) -> bool:
        """Whether a token belongs to a call of this object."""
        return token in self._tokens

    def add(self, row: permit_row.PermitRow) -> None:
        """Starts to claim the request of a settled row."""
        if row.request_id not in self.unresolved:
            self.unresolved[row.request_id] = row
            self._retry_at_s[row.request_id] = self._ctx.now_s

    def pump(self) -> float | None:
        """Starts the calls that are due; returns the time of the next one."""
        due = [
            i for i, at_s in self._retry_at_s.items() if at_s <= self._ctx.now_s
        ]
        for request_id in due:
            del self._retry_at_s[request_id]
            token = self._ctx.start_call(self._workspace)
            self._tokens[token] = request_id
            self._ctx.out.append(
                actions.KvCas(
                    token,
                    key(self._workspace, request_id),
                    0,
                    self._grant_id.encode(),
                )
            )
        return min(self._retry_at_s.values(), default=None)

    def on_cas(
        self, token: int, result: kv_store.CasResult | refusal.Refusal
    ) -> None:
        """Handles the result of a create call."""
        request_id = self._tokens.pop(token)
        if isinstance(result, refusal.Refusal):
            # If this create succeeded, the repeated one finds its own grant id.
            self._retry_at_s[request_id] = (
                self._ctx.now_s + self._ctx.timing.kv_backoff_s
            )
            return
        row = self.unresolved.pop(request_id)
        stored = result.current
        if result.succeeded or (
            stored is not None and stored.value.decode() == self._grant_id
        ):
            self._on_won(row)
        else:
            self._on_lost(row)
