"""Totals of the prepaid ledger after the store was restored from a copy.

Load pattern: a recovery drill loses the draws since the copy, while routers
still hold and use the drawn tokens. Others would draw the same tokens again.

Each router therefore writes a claim: the newest totals that it knew before the
restore. Nothing is drawn until the claims of all routers that may have drawn
are in the store. The newest of these totals counts all draws of the earlier
eras. While a router is missing, all tokens that it may have drawn count as
drawn, which are all that were not drawn yet.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from hibiscuspass.core.prepaid import draw_caps
from hibiscuspass.core.prepaid import store_record

KEY = "ledger/era"


class Reconciliation(msgspec.Struct, frozen=True):
    """Totals with which an era of the ledger begins; one record in the store.

    Attributes:
      era: The era.
      totals: Tokens drawn in earlier eras, by workspace.
      counted: Tokens that count as drawn besides, by workspace, because missing
        routers may have drawn them.
      heard: Names of the routers whose draws the totals contain.
      missing: Names of the other routers that may have drawn.
    """

    era: int
    totals: dict[str, int]
    counted: dict[str, int] = {}
    heard: list[str] = []
    missing: list[str] = []

    @property
    def is_complete(self) -> bool:
        """Whether the totals contain all draws of earlier eras."""
        return not self.missing

    def names(self, workspace: str) -> bool:
        """Returns whether tokens of a workspace were drawn earlier."""
        return workspace in self.totals or workspace in self.counted

    def opening(self, workspace: str) -> int:
        """Returns the total with which a workspace begins the era."""
        return self.totals.get(workspace, 0) + self.counted.get(workspace, 0)


_DECODER = msgspec.json.Decoder(Reconciliation)


def decode(data: bytes) -> Reconciliation:
    """Decodes the record.

    Raises:
      msgspec.MsgspecError: The data is not a valid record.
    """
    return _DECODER.decode(data)


def encode(record: Reconciliation) -> bytes:
    """Encodes the record."""
    return msgspec.json.encode(record)


def reconcile(
    era: int,
    routers: Mapping[str, store_record.RouterRecord],
    workspaces: Mapping[str, store_record.WorkspaceRecord],
    prepaid: Mapping[str, int],
    previous: Reconciliation | None = None,
) -> Reconciliation:
    """Returns the totals that the claims in the store add up to.

    Args:
      era: Present era of the store.
      routers: All records of routers, by key.
      workspaces: All records of workspaces, by workspace.
      prepaid: Largest prepaid amount that this router has known, by workspace.
      previous: Totals of the era from which routers are missing, if any.
    """
    claims: dict[str, list[store_record.Claim]] = {
        store_record.parse_router_key(key).name: [] for key in routers
    }
    for key, record in routers.items():
        if record.era == era and record.claim:
            name = store_record.parse_router_key(key).name
            claims[name].append(record.claim)
    all_claims = [claim for each in claims.values() for claim in each]
    heard = {
        name
        for name, each in claims.items()
        if any(c.since_era is not None and c.since_era < era for c in each)
    }
    known = {name for claim in all_claims for name in claim.names} | {
        store_record.parse_router_key(key).name
        for key, record in routers.items()
        if store_record.is_older(record.era, era) and not record.is_closing
    }
    totals = _totals(era, all_claims, workspaces)
    if previous:
        heard |= set(previous.heard)
        known |= set(previous.missing)
        for name, drawn in previous.totals.items():
            totals[name] = max(drawn, totals.get(name, 0))
    missing = known - heard
    undrawn = _undrawn(totals, all_claims, prepaid) if missing else {}
    unseen = _unseen(era, missing, routers, all_claims)
    return Reconciliation(
        era,
        totals,
        {
            name: min(tokens, sum(each.get(name, tokens) for each in unseen))
            if unseen is not None
            else tokens
            for name, tokens in undrawn.items()
        },
        sorted(heard),
        sorted(missing),
    )


def _totals(
    era: int,
    claims: Iterable[store_record.Claim],
    workspaces: Mapping[str, store_record.WorkspaceRecord],
) -> dict[str, int]:
    """Returns the newest claimed totals, and not less than the copy has."""
    newest: dict[str, tuple[int, int, int]] = {}
    for claim in claims:
        for name, total in claim.totals.items():
            newest[name] = max(total, newest.get(name, total))
    in_copy = {
        name: record.drawn
        for name, record in workspaces.items()
        if record.era != era
    }
    claimed = {name: drawn for name, (_, _, drawn) in newest.items()}
    return {
        name: max(claimed.get(name, 0), in_copy.get(name, 0))
        for name in sorted(claimed.keys() | in_copy.keys())
    }


def _unseen(
    era: int,
    missing: Iterable[str],
    routers: Mapping[str, store_record.RouterRecord],
    claims: Iterable[store_record.Claim],
) -> list[dict[str, int]] | None:
    """Returns what each missing router may have drawn since the copy.

    None if it is unknown for one of them, or if the copy may be too old.
    """
    ages_s = [c.copy_age_s for c in claims if c.copy_age_s is not None]
    if not ages_s or min(ages_s) > draw_caps.WINDOW_S:
        return None
    unseen: dict[str, list[dict[str, int] | None]] = {n: [] for n in missing}
    for key, record in routers.items():
        name = store_record.parse_router_key(key).name
        if name not in unseen:
            continue
        if store_record.is_older(record.era, era):
            unseen[name].append(draw_caps.unseen_draws(record))
        elif record.claim:
            unseen[name].append(record.claim.unseen)
    found = [each[0] for each in unseen.values() if len(each) == 1 and each[0]]
    return found if len(found) == len(unseen) else None


def _undrawn(
    totals: Mapping[str, int],
    claims: Iterable[store_record.Claim],
    prepaid: Mapping[str, int],
) -> dict[str, int]:
    """Returns the tokens that missing routers may have drawn."""
    most = dict(prepaid)
    for claim in claims:
        for name, amount in claim.prepaid.items():
            most[name] = max(amount, most.get(name, 0))
    return {
        name: max(0, amount - totals.get(name, 0))
        for name, amount in sorted(most.items())
    }
