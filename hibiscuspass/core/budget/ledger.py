"""The durable budget record of a workspace and its transitions.

Every transition is a pure function that returns the next ledger or a refusal.
Transitions are idempotent, so a writer that got no reply reads the key again
and repeats them.
"""

from collections.abc import Mapping

import attrs

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import grant as grant_lib


class InvariantError(Exception):
    """Raised for a ledger that no sequence of transitions can produce."""


@attrs.frozen
class Ledger:
    """Budget of one workspace; amounts are integers in budget units.

    Attributes:
      workspace: Workspace that pays.
      prepaid: Sum of all top-ups.
      settled: Spend of closed grants.
      grants: Open grants by id.
      primary: Id of the grant that serves keyed requests, or an empty string.
      top_ups: Amounts by top-up id.
      wants: Return requests by incarnation: the amounts that routers ask the
        holders of grants to return to the ledger.
    """

    workspace: str
    prepaid: int = 0
    settled: int = 0
    grants: Mapping[str, grant_lib.Grant] = attrs.field(factory=dict)
    primary: str = ""
    top_ups: Mapping[str, int] = attrs.field(factory=dict)
    wants: Mapping[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        _check_invariants(self)

    @property
    def granted(self) -> int:
        """Sum of the amounts of all open grants."""
        return sum(g.amount for g in self.grants.values())

    @property
    def free(self) -> int:
        """Amount that can still be drawn."""
        return self.prepaid - self.settled - self.granted


def _check_invariants(led: Ledger) -> None:
    spent_or_granted = led.settled + led.granted
    if not 0 <= led.settled <= spent_or_granted <= led.prepaid:
        raise InvariantError(
            f"ledger {led.workspace!r}: settled {led.settled} and granted"
            f" {led.granted} exceed prepaid {led.prepaid}"
        )
    if led.prepaid != sum(led.top_ups.values()):
        raise InvariantError(
            f"ledger {led.workspace!r}: prepaid {led.prepaid} is not the sum"
            " of the top-ups"
        )
    for g in led.grants.values():
        if not 0 <= g.settled <= g.amount:
            raise InvariantError(
                f"grant {g.id!r}: settled {g.settled}, allowed 0 to {g.amount}"
            )


def _refuse(reason: reason_lib.Reason, detail: str) -> refusal.Refusal:
    return refusal.Refusal(reason, detail)


def _with_grant(led: Ledger, g: grant_lib.Grant) -> Ledger:
    return attrs.evolve(led, grants={**led.grants, g.id: g})


def _current_grant(
    led: Ledger, grant_id: str, operation: str
) -> grant_lib.Grant | refusal.Refusal:
    g = led.grants.get(grant_id)
    if g is None:
        return _refuse(
            reason_lib.Reason.NOT_FOUND, f"grant {grant_id!r} is not open"
        )
    if g.operation != operation:
        return _refuse(
            reason_lib.Reason.STALE,
            f"grant {grant_id!r} is at operation {g.operation!r}, expected"
            f" {operation!r}",
        )
    return g


def top_up(
    led: Ledger, top_up_id: str, amount: int
) -> Ledger | refusal.Refusal:
    """Adds prepaid units; a repeated id has no further effect."""
    if amount <= 0:
        return _refuse(
            reason_lib.Reason.INVALID_REQUEST,
            f"top-up amount {amount}: must be above 0",
        )
    existing = led.top_ups.get(top_up_id)
    if existing == amount:
        return led
    if existing is not None:
        return _refuse(
            reason_lib.Reason.CONFLICT,
            f"top-up {top_up_id!r} exists with amount {existing}, not {amount}",
        )
    return attrs.evolve(
        led,
        prepaid=led.prepaid + amount,
        top_ups={**led.top_ups, top_up_id: amount},
    )


def draw(
    led: Ledger,
    grant_id: str,
    holder: incarnation.Incarnation,
    witness: incarnation.Incarnation | None,
    amount: int,
    *,
    primary: bool = False,
) -> Ledger | refusal.Refusal:
    """Opens a grant; `primary` also makes it the primary grant."""
    if grant_id in led.grants:
        return led
    if not 0 < amount <= led.free:
        return _refuse(
            reason_lib.Reason.BUDGET_EXHAUSTED,
            f"draw of {amount} units: {led.free} are free",
        )
    if primary and led.primary:
        return _refuse(
            reason_lib.Reason.CONFLICT,
            f"primary grant {led.primary!r} exists",
        )
    g = grant_lib.Grant(
        grant_id, holder, witness, 1, amount, operation=grant_id
    )
    new = _with_grant(led, g)
    return attrs.evolve(new, primary=grant_id) if primary else new


def set_primary(
    led: Ledger, grant_id: str, operation: str
) -> Ledger | refusal.Refusal:
    """Makes an open grant the primary grant if there is none."""
    g = _current_grant(led, grant_id, operation)
    if isinstance(g, refusal.Refusal):
        return g
    if led.primary == grant_id:
        return led
    if led.primary:
        return _refuse(
            reason_lib.Reason.CONFLICT,
            f"primary grant {led.primary!r} exists",
        )
    return attrs.evolve(led, primary=grant_id)


def set_amount(
    led: Ledger, grant_id: str, operation: str, amount: int
) -> Ledger | refusal.Refusal:
    """Sets the amount of a grant, which draws or returns units.

    The amount is absolute, so that a repeated write is harmless. Only the
    holder of the epoch changes it.
    """
    g = _current_grant(led, grant_id, operation)
    if isinstance(g, refusal.Refusal):
        return g
    if amount - g.amount > led.free:
        return _refuse(
            reason_lib.Reason.BUDGET_EXHAUSTED,
            f"enlarge by {amount - g.amount} units: {led.free} are free",
        )
    if amount < g.settled:
        return _refuse(
            reason_lib.Reason.INVALID_REQUEST,
            f"amount {amount}: must be at least the settled {g.settled}",
        )
    return _with_grant(led, attrs.evolve(g, amount=amount))


def record_settlement(
    led: Ledger, grant_id: str, operation: str, settled: int, batches: int
) -> Ledger | refusal.Refusal:
    """Copies the totals of a grant's billing log to the ledger."""
    g = _current_grant(led, grant_id, operation)
    if isinstance(g, refusal.Refusal):
        return g
    if batches <= g.batches:
        return led
    return _with_grant(led, attrs.evolve(g, settled=settled, batches=batches))


def take_over(
    led: Ledger,
    grant_id: str,
    sealed_operation: str,
    operation: str,
    holder: incarnation.Incarnation,
    witness: incarnation.Incarnation | None,
) -> Ledger | refusal.Refusal:
    """Moves a grant to a new holder and witness in the next epoch.

    Args:
      led: Ledger to change.
      grant_id: Grant to move.
      sealed_operation: Operation of the sealed epoch whose table the new
        holder has.
      operation: Id of this change.
      holder: New holder.
      witness: New witness, which already has the table; None for a solo grant.
    """
    existing = led.grants.get(grant_id)
    if existing is not None and existing.operation == operation:
        return led
    g = _current_grant(led, grant_id, sealed_operation)
    if isinstance(g, refusal.Refusal):
        return g
    return _with_grant(
        led,
        attrs.evolve(
            g,
            holder=holder,
            witness=witness,
            epoch=g.epoch + 1,
            operation=operation,
        ),
    )


def change_witness(
    led: Ledger,
    grant_id: str,
    old_operation: str,
    operation: str,
    witness: incarnation.Incarnation | None,
) -> Ledger | refusal.Refusal:
    """Replaces the witness of a grant; the holder stays the same."""
    g = led.grants.get(grant_id)
    if g is None:
        return _refuse(
            reason_lib.Reason.NOT_FOUND, f"grant {grant_id!r} is not open"
        )
    return take_over(led, grant_id, old_operation, operation, g.holder, witness)


def close(
    led: Ledger, grant_id: str, operation: str, settled: int
) -> Ledger | refusal.Refusal:
    """Closes a grant; its spend stays settled, the rest becomes free.

    The primary grant can't be closed, because its table recognizes retries of
    keyed requests.
    """
    if led.primary == grant_id:
        return _refuse(
            reason_lib.Reason.CONFLICT,
            f"grant {grant_id!r} is the primary grant and stays open",
        )
    if grant_id not in led.grants:
        return led
    g = _current_grant(led, grant_id, operation)
    if isinstance(g, refusal.Refusal):
        return g
    if not g.settled <= settled <= g.amount:
        return _refuse(
            reason_lib.Reason.INVALID_REQUEST,
            f"settled {settled}: allowed {g.settled} to {g.amount}",
        )
    return attrs.evolve(
        led,
        settled=led.settled + settled,
        grants={k: v for k, v in led.grants.items() if k != grant_id},
    )


def charge(
    led: Ledger, grant_id: str, operation: str, logged: int, charged: int
) -> Ledger | refusal.Refusal:
    """Closes a grant in doubt and charges the amount an operator chose.

    Args:
      led: Ledger to change.
      grant_id: Grant in doubt.
      operation: Operation of the grant that the operator saw.
      logged: Spend in the grant's billing log before the operator's record.
      charged: Amount of the operator's billing record.
    """
    if charged < 0:
        return _refuse(
            reason_lib.Reason.INVALID_REQUEST,
            f"charged amount {charged}: must not be negative",
        )
    if led.primary == grant_id:
        # The table of the grant is lost, so the next keyed request opens
        # another primary grant.
        led = attrs.evolve(led, primary="")
    return close(led, grant_id, operation, logged + charged)


def request_return(
    led: Ledger, router: incarnation.Incarnation, amount: int
) -> Ledger:
    """Asks holders to return units for a router; 0 withdraws the request."""
    key = str(router)
    if led.wants.get(key, 0) == amount:
        return led
    others = {k: v for k, v in led.wants.items() if k != key}
    return attrs.evolve(
        led, wants={**others, key: amount} if amount > 0 else others
    )
