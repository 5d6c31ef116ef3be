"""What one router knows of the eras of the prepaid ledger.

See `reconciliation` for the way in which an era begins.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import draw_caps
from hibiscuspass.core.prepaid import reconciliation as reconciliation_lib
from hibiscuspass.core.prepaid import store_record

# Confirmed records whose times are kept. They are written every 0.75 s, and
# more often while requests wait, and cover more than `draw_caps.WINDOW_S`.
_MAX_CONFIRMED = 256
# Revision and record of a workspace.
_Read = tuple[int, store_record.WorkspaceRecord]


class LedgerEras:
    """Present era of the ledger, and this router's claim from earlier ones.

    Attributes:
      present: Era of the store that the ledger belongs to; None without eras.
      reconciliation: Totals with which the era began; None until known.
      claim: What the router knew before the era; None if it knew nothing, or
        if the totals contain it.
      is_begun: Whether `present` was set, as the registration does.
      is_baselined: Whether the router has read all totals after it had removed
        the records of its earlier starts.
      replaced: Start ids of processes whose records this one has removed.
    """

    def __init__(self, name: str) -> None:
        self.present: int | None = None
        self.reconciliation: reconciliation_lib.Reconciliation | None = None
        self.claim: store_record.Claim | None = None
        self.is_begun = False
        self.is_baselined = False
        self.replaced: list[str] = []
        self._name = name
        self._since: int | None = None
        self._known: dict[str, tuple[int, int, int]] = {}
        self._restored_s = 0.0
        # Times of the last records that the store has confirmed.
        self._confirmed_s: list[float] = []

    @property
    def is_open(self) -> bool:
        """Whether tokens may be drawn and returned in the present era."""
        return self.present is None or self.reconciliation is not None

    def begin(self, era: int | None) -> None:
        """Sets the era in which the router starts."""
        self.is_begun = True
        self.present = era

    def inherit(
        self,
        records: Iterable[store_record.RouterRecord],
        prepaid: Mapping[str, int],
    ) -> None:
        """Takes over the claim of an earlier start of this router.

        Without one, the draws of an earlier start of an earlier era are not
        accounted for, so the router counts as missing.

        Args:
          records: Records of earlier starts.
          prepaid: Largest known prepaid amount by workspace.
        """
        if self.claim is not None:
            return
        items = list(records)
        claims = [r.claim for r in items if r.era == self.present and r.claim]
        for claim in claims:
            if self.claim is None or claim.since_era is not None:
                self.claim = claim
        is_unaccounted = any(
            store_record.is_older(r.era, self.present) and not r.is_closing
            for r in items
        )
        if self.claim is None and is_unaccounted:
            older = [
                r for r in items if store_record.is_older(r.era, self.present)
            ]
            self.claim = store_record.Claim(
                None,
                prepaid=dict(prepaid),
                names=[self._name],
                unseen=draw_caps.unseen_draws(older[0])
                if len(older) == len(items) == 1
                else None,
            )

    def on_confirmed(self, written_s: float) -> None:
        """Records that the store has confirmed a record of this process."""
        self._confirmed_s.append(written_s)
        del self._confirmed_s[:-_MAX_CONFIRMED]

    def note_copy(
        self,
        records: Mapping[str, store_record.RouterRecord],
        process: incarnation.Incarnation,
    ) -> None:
        """Bounds the age of the copy by the newest own record in it.

        A record that was not confirmed may have arrived after the restore.

        Args:
          records: All records of this router's name, by key.
          process: This process.
        """
        own = [
            record.written_s
            for key, record in records.items()
            if store_record.start_id(key) == process.start_id
            and store_record.is_older(record.era, self.present)
        ]
        if (
            self.claim
            and self.claim.copy_age_s is None
            and own
            and max(own) in self._confirmed_s
        ):
            self.claim = msgspec.structs.replace(
                self.claim, copy_age_s=self._restored_s - max(own)
            )

    def lost_records(
        self,
        records: Mapping[str, store_record.RouterRecord],
        process: incarnation.Incarnation,
        own_key: str,
    ) -> list[str]:
        """Returns the keys that a new record of this process replaces.

        The store has these records again although they were replaced, or they
        were written by this process or earlier starts in earlier eras.

        Args:
          records: All records of this router's name, by key.
          process: This process.
          own_key: Key of its record in the present era.
        """
        starts = (process.start_id, *self.replaced)
        return [
            key
            for key, record in records.items()
            if key != own_key
            and (
                store_record.start_id(key) in starts
                or store_record.is_older(record.era, self.present)
            )
        ]

    def on_restored(
        self,
        era: int,
        totals: Mapping[str, _Read],
        prepaid: Mapping[str, int],
        names: Iterable[str],
        now_s: float,
    ) -> None:
        """Begins an era with a claim.

        Args:
          era: The new era.
          totals: Newest known records of workspaces.
          prepaid: Largest known prepaid amount by workspace.
          names: Names of all known routers.
          now_s: Current monotonic time.
        """
        self._restored_s = now_s
        if self.present is not None:
            self._remember(self.present, totals)
        known = self.claim.names if self.claim else ()
        self.claim = store_record.Claim(
            self._since,
            dict(self._known),
            dict(prepaid),
            sorted({self._name, *names, *known}),
            list(self.replaced),
        )
        self.present = era
        self.reconciliation = None

    def _remember(self, era: int, totals: Mapping[str, _Read]) -> None:
        """Keeps the totals of an era that has ended."""
        begun = self.reconciliation
        if begun:
            for name in begun.totals.keys() | begun.counted.keys():
                self._keep(name, (era, 0, begun.opening(name)))
        for name, (revision, record) in totals.items():
            if begun or record.era == era:
                drawn = self.in_era(name, record).drawn
                self._keep(name, (era, revision, drawn))

    def note_total(self, name: str, revision: int, drawn: int) -> None:
        """Keeps a total of the present era that no record was read for."""
        if self.present is not None:
            self._keep(name, (self.present, revision, drawn))

    def _keep(self, name: str, total: tuple[int, int, int]) -> None:
        self._known[name] = max(total, self._known.get(name, total))

    def adopt(self, record: reconciliation_lib.Reconciliation) -> bool:
        """Applies the totals with which the present era begins.

        Returns:
          Whether they were fixed without knowledge of this router, although it
          was there before.
        """
        if record.era != self.present:
            return False
        is_first = self.reconciliation is None
        self.reconciliation = record
        is_unknown = (
            is_first
            and self.claim is not None
            and self._name not in (*record.heard, *record.missing)
        )
        if record.is_complete:
            self.claim = None
        if self._since is None and self.is_baselined:
            self._since = self.present
        return is_unknown

    def in_era(
        self, name: str, record: store_record.WorkspaceRecord
    ) -> store_record.WorkspaceRecord:
        """Returns the record of a workspace as the present era has it."""
        begun = self.reconciliation
        if begun is None:
            return msgspec.structs.replace(record, era=self.present)
        if record.era != self.present and begun.names(name):
            opening = begun.opening(name)
            base = 0 if begun.is_complete else opening
            return store_record.WorkspaceRecord(opening, self.present, base)
        if record.base and begun.is_complete:
            # All routers were heard since the record was written.
            drawn = record.drawn + begun.opening(name) - record.base
            return store_record.WorkspaceRecord(drawn, self.present)
        return msgspec.structs.replace(record, era=self.present)

    def is_exact(self, record: store_record.WorkspaceRecord) -> bool:
        """Returns whether a record needs no change for the present era."""
        return record.era == self.present and not record.base


def is_replaced(
    records: Iterable[store_record.RouterRecord],
    process: incarnation.Incarnation,
) -> bool:
    """Returns whether a later start has removed the record of a process.

    Args:
      records: Records of the router's name.
      process: The process.
    """
    return any(
        r.claim and process.start_id in r.claim.replaced for r in records
    )
