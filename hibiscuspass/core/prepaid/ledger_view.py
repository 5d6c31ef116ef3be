"""Tokens that one router drew, including writes of unknown outcome."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs
import msgspec

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core.prepaid import draw_caps
from hibiscuspass.core.prepaid import ledger_era
from hibiscuspass.core.prepaid import ledger_write
from hibiscuspass.core.prepaid import reconciliation as reconciliation_lib
from hibiscuspass.core.prepaid import store_record
from hibiscuspass.core.prepaid import usage_limit

# Confirmed writes that each record repeats, and the shortest time between two
# of them. Together they cover the time for which limits apply.
_EARLIER_WRITES = 8
_EARLIER_WRITE_SPACING_MS = 400


@attrs.define
class _Total:
    revision: int = 0
    record: store_record.WorkspaceRecord = attrs.field(
        factory=store_record.WorkspaceRecord
    )


class LedgerView:
    """View that one router has of the ledger in the store.

    Tokens count as drawn only after their write is confirmed or read back, but
    as returned from the moment the write is planned. A write of unknown outcome
    may take effect later, as long as the record of this router has the revision
    that the write expects.

    Attributes:
      usage_limits: Usage limits in the record of this router.
      seen_revision: Newest known revision of the store.
      is_replaced: Whether a later start of this router has removed the record
        of this process.
      is_closing: Whether the router draws nothing any more.
      eras: What the router knows of the present and earlier eras.
      caps: Caps on the draws of this router.
    """

    def __init__(self, process: incarnation.Incarnation, address: str) -> None:
        self.usage_limits = usage_limit.UsageLimits()
        self.seen_revision = 0
        self.is_replaced = False
        self.is_closing = False
        self.eras = ledger_era.LedgerEras(process.name)
        self.caps = draw_caps.DrawCaps()
        self._process = process
        self._key = store_record.router_key(process)
        self._address = address
        self._own_revision = 0
        self._own_drawn: dict[str, int] = {}
        self._totals: dict[str, _Total] = {}
        # Tokens of returns that may still take effect, by workspace.
        self._uncertain_returns: dict[str, int] = {}
        self._earlier_writes: list[tuple[int, int]] = []

    def drawn(self, workspace: str) -> int:
        """Returns the tokens that certainly belong to this router."""
        return self._own_drawn.get(workspace, 0) - self._uncertain_returns.get(
            workspace, 0
        )

    def total(self, workspace: str) -> int:
        """Returns the last known total drawn by all routers."""
        return self._in_era(workspace).drawn

    def total_revision(self, workspace: str) -> int:
        """Returns the revision of the record that `total` was read from.

        It is 0 if the record is not one that other routers can use as it is.
        """
        total = self._totals.get(workspace)
        is_usable = total and self.eras.is_exact(total.record)
        return total.revision if total and is_usable else 0

    def _in_era(self, workspace: str) -> store_record.WorkspaceRecord:
        """Returns the record of a workspace as the present era has it."""
        total = self._totals.get(workspace) or _Total()
        return self.eras.in_era(workspace, total.record)

    @property
    def key(self) -> str:
        """Key of the record of this router."""
        return self._key

    def on_restored(
        self,
        era: int,
        prepaid: Mapping[str, int],
        names: Iterable[str],
        now_s: float,
    ) -> None:
        """Begins an era after the store was restored from a copy.

        The tokens that certainly belong to this router stay its own. A draw
        without an answer counts as not done, a return as done, for good.

        Args:
          era: The new era.
          prepaid: Largest known prepaid amount by workspace.
          names: Names of all known routers.
          now_s: Current monotonic time.
        """
        self.caps.on_restored()
        totals = {
            name: (total.revision, total.record)
            for name, total in self._totals.items()
        }
        self.eras.on_restored(era, totals, prepaid, names, now_s)
        self._own_drawn = {name: self.drawn(name) for name in self._own_drawn}
        self._uncertain_returns = {}
        self._own_revision = 0
        self._key = store_record.router_key(self._process, era)
        self._totals = {}
        self._earlier_writes = []
        self.seen_revision = 0

    def adopt(self, record: reconciliation_lib.Reconciliation) -> None:
        """Applies the totals with which the present era begins."""
        if self.eras.adopt(record):
            # Nobody knew of this router when the totals were fixed, so others
            # may draw the same tokens.
            self._own_drawn = {}

    def plan(
        self,
        deltas: Mapping[str, int],
        used: Mapping[str, int],
        rates: Mapping[str, dict[int, float]] | None = None,
        limits: ledger_write.Limits | None = None,
        token_takeover: ledger_write.TokenTakeover | None = None,
        also_expected: Mapping[str, int] | None = None,
        headroom: draw_caps.Headroom | None = None,
    ) -> ledger_write.Transaction:
        """Plans a write; at most one write may be in progress.

        Args:
          deltas: Tokens to draw (positive) or to return, by workspace.
          used: Tokens used so far by workspace, for reports.
          rates: Tokens per second by workspace and priority, the initial rates
            of routers that start later.
          limits: Usage limits of the record; None for a record without limits.
          token_takeover: Tokens to take over from a previous process. The
            caller deletes the record of that process in the same transaction.
          also_expected: Further conditions.
          headroom: Tokens that may be drawn without another record; None for a
            record without caps.
        """
        for name, delta in deltas.items():
            if delta < 0:
                self._uncertain_returns[name] = (
                    self._uncertain_returns.get(name, 0) - delta
                )
        expected = {**(also_expected or {}), self._key: self._own_revision}
        writes: dict[str, bytes] = {}
        for name, delta in deltas.items():
            total = self._totals.setdefault(name, _Total())
            key = store_record.workspace_key(name)
            expected[key] = total.revision
            writes[key] = store_record.encode(self._changed(name, delta))
        drawn = store_record.with_changes(self._own_drawn, deltas)
        if token_takeover:
            expected[token_takeover.key] = token_takeover.revision
            drawn = store_record.with_changes(drawn, token_takeover.drawn)
        record = store_record.RouterRecord(
            self._address,
            drawn,
            dict(used),
            dict(rates or {}),
            era=self.eras.present,
            claim=self.eras.claim,
            is_closing=self.is_closing,
        )
        if headroom and self.eras.present is not None:
            record = self._with_caps(record, deltas, headroom)
        if limits:
            record = self._with_limits(record, limits)
        writes[self._key] = store_record.encode(record)
        return ledger_write.Transaction(
            expected,
            writes,
            dict(deltas),
            drawn,
            record.limits,
            self.eras.present,
            record.written_s,
        )

    def _with_caps(
        self,
        record: store_record.RouterRecord,
        deltas: Mapping[str, int],
        headroom: draw_caps.Headroom,
    ) -> store_record.RouterRecord:
        caps = self.caps.plan(deltas, headroom)
        return msgspec.structs.replace(
            record,
            caps=caps,
            caps_in_force=self.caps.in_force(headroom.now_s),
            gross=self.caps.gross_after(deltas),
            gross_before=dict(self.caps.gross),
            written_s=headroom.now_s,
        )

    def _changed(self, name: str, delta: int) -> store_record.WorkspaceRecord:
        """Returns the record of a workspace after a draw or return."""
        record = self._in_era(name)
        return msgspec.structs.replace(record, drawn=record.drawn + delta)

    def _with_limits(
        self, record: store_record.RouterRecord, limits: ledger_write.Limits
    ) -> store_record.RouterRecord:
        previous = self.usage_limits.confirmed_stamp
        stamp = self.usage_limits.plan(
            limits.limits,
            limits.duration_s,
            usage_limit.Stamp(limits.now_s, limits.wall_ms, self.seen_revision),
        )
        return msgspec.structs.replace(
            record,
            limits=dict(limits.limits),
            seal_s=self.usage_limits.duration_s,
            sent_ms=stamp.wall_ms,
            seen_revision=stamp.seen_revision,
            previous_revision=self._own_revision if previous else 0,
            previous_ms=previous.wall_ms if previous else 0,
            earlier_writes=list(self._earlier_writes),
        )

    def on_unknown(self) -> None:
        """Records that the outcome of the last write is unknown."""
        self.usage_limits.on_unknown()

    def on_committed(
        self, txn: ledger_write.Transaction, revision: int
    ) -> None:
        """Applies a confirmed write, after which no earlier one can succeed.

        A write of an earlier era is ignored.
        """
        if txn.era != self.eras.present:
            return
        self._update_seen_revision(revision)
        self._add_earlier_write()
        self.usage_limits.on_confirmed(txn.limits)
        self.caps.on_committed(txn.deltas)
        self.eras.on_confirmed(txn.written_s)
        self._own_drawn = dict(txn.drawn)
        self._own_revision = revision
        self._uncertain_returns = {}
        for name, delta in txn.deltas.items():
            total = self._totals[name]
            total.record = self._changed(name, delta)
            total.revision = revision

    def _add_earlier_write(self) -> None:
        """Adds the confirmed record, which another one is about to replace."""
        stamp = self.usage_limits.confirmed_stamp
        if stamp is None:
            return
        writes = self._earlier_writes
        since_ms = abs(stamp.wall_ms - writes[-1][1]) if writes else math.inf
        if since_ms >= _EARLIER_WRITE_SPACING_MS:
            writes.append((self._own_revision, stamp.wall_ms))
            del writes[:-_EARLIER_WRITES]

    def on_not_done(self, txn: ledger_write.Transaction) -> None:
        """Reverts a planned write that certainly has no effect."""
        if txn.era != self.eras.present:
            return
        self.usage_limits.on_not_done()
        self.caps.on_not_done(txn.deltas)
        for name, delta in txn.deltas.items():
            if delta < 0:
                self._uncertain_returns[name] += delta

    def on_conflict(
        self,
        txn: ledger_write.Transaction,
        current: Mapping[str, kv_store.KeyValue],
    ) -> None:
        """Reverts a write whose condition failed and applies new values."""
        if txn.era != self.eras.present:
            return
        self.on_not_done(txn)
        self.on_read(txn.expected, current)

    def on_read(
        self,
        keys: Mapping[str, int],
        current: Mapping[str, kv_store.KeyValue],
    ) -> None:
        """Applies values read from the store.

        Args:
          keys: Keys that were read.
          current: Values of the keys that exist.
        """
        self._update_seen_revision(
            *(item.revision for item in current.values())
        )
        own = current.get(self._key)
        if own and own.revision > self._own_revision:
            # An earlier write of unknown outcome took effect.
            record = store_record.decode_router(own.value)
            if self._own_revision:
                self._note_totals(record, own.revision)
            self.usage_limits.on_confirmed(record.limits)
            self.caps.on_read_back(record.gross)
            self._own_drawn = dict(record.drawn)
            self._own_revision = own.revision
            self._uncertain_returns = {}
        elif own is None and self._own_revision and self._key in keys:
            self.on_replaced()
        for key in keys:
            if not key.startswith(store_record.WORKSPACE_PREFIX):
                continue
            name = key.removeprefix(store_record.WORKSPACE_PREFIX)
            self._update_total(name, current.get(key))

    def _note_totals(
        self, record: store_record.RouterRecord, revision: int
    ) -> None:
        """Keeps the totals that a write of unknown outcome has made.

        The records of its workspaces may not be read before the store is
        restored, and the claim of this router has to contain its own draws.
        """
        for name, drawn in record.drawn.items():
            change = drawn - self._own_drawn.get(name, 0)
            total = self._totals.get(name) or _Total()
            if change and total.revision < revision:
                self.eras.note_total(name, revision, self.total(name) + change)

    def on_replaced(self) -> None:
        """Leaves the tokens above the limits to the start that took them over.

        Only a later start of this router removes its record.
        """
        self.is_replaced = True
        lowest = self.usage_limits.lowest_limits
        self._own_drawn = {
            name: min(drawn, lowest.get(name, 0))
            for name, drawn in self._own_drawn.items()
        }

    def on_totals(
        self,
        totals: Mapping[str, int],
        revision: int,
        era: int | None = None,
    ) -> None:
        """Applies totals that a peer wrote, which avoids write conflicts."""
        if era != self.eras.present:
            return
        self._update_seen_revision(revision)
        for name, drawn in totals.items():
            total = self._totals.setdefault(name, _Total())
            if revision > total.revision:
                total.record = store_record.WorkspaceRecord(drawn, era)
                total.revision = revision

    def _update_seen_revision(self, *revisions: int) -> None:
        self.seen_revision = max(self.seen_revision, *revisions, 0)

    def _update_total(self, name: str, item: kv_store.KeyValue | None) -> None:
        total = self._totals.setdefault(name, _Total())
        if item is not None and item.revision > total.revision:
            total.record = store_record.decode_workspace(item.value)
            total.revision = item.revision
