"""Caps on the draws of one router, which bound what it may have drawn unseen.

Load pattern: a router ends or is cut off around a restore of the store from a
copy. Nobody knows what it has drawn since the copy, so all undrawn tokens would
have to count as used.

Each record of a router names a cap on the tokens that the router (all starts of
its name) draws altogether. For `WINDOW_S` after a record was replaced, its cap
still holds. If the copy is younger than that, the record in the copy therefore
bounds the draws that were lost.
"""

from collections.abc import Mapping

import attrs

from hibiscuspass.core.prepaid import store_record

# Longest age of a copy, with the time until its restore is noticed, for which
# the draws of missing routers are bounded. Drills use copies of some seconds.
WINDOW_S = 15.0
# Tolerance for differences between the rates of the clocks of two routers.
_CLOCK_MARGIN_S = 0.5


@attrs.frozen
class Headroom:
    """Tokens that a router may draw beyond those drawn so far.

    Attributes:
      tokens: Tokens by workspace.
      now_s: Current monotonic time.
    """

    tokens: Mapping[str, int]
    now_s: float


@attrs.define
class _Sent:
    """Caps of a record that the store may contain, or did a while ago.

    Attributes:
      caps: Caps by workspace.
      is_replaced: Whether a later record was confirmed.
      replaced_s: Time from which on the record was not in the store.
    """

    caps: Mapping[str, int]
    is_replaced: bool = False
    replaced_s: float | None = None


class DrawCaps:
    """Draws of a router and the caps on them.

    Attributes:
      gross: Tokens that all starts of this router drew, by workspace, without
        regard to returns.
      is_active: Whether records name caps.
    """

    def __init__(self) -> None:
        self.gross: dict[str, int] = {}
        self.is_active = False
        # Draws of writes that may still take effect.
        self._uncertain: dict[str, int] = {}
        self._sent: list[_Sent] = []
        # Largest draws that did not fit, with the times until which caps leave
        # room for them.
        self._wanted: dict[str, tuple[int, float]] = {}

    def inherit(
        self, record: store_record.RouterRecord | None, now_s: float
    ) -> None:
        """Begins with what the last record of an earlier start says."""
        if record and record.caps_in_force is not None:
            self.gross = dict(record.gross)
            self._sent.append(
                _Sent(record.caps_in_force, is_replaced=True, replaced_s=now_s)
            )

    def plan(
        self, deltas: Mapping[str, int], headroom: Headroom
    ) -> dict[str, int]:
        """Adds a record; returns its caps."""
        self.is_active = True
        for name, delta in deltas.items():
            if delta > 0:
                self._uncertain[name] = self._uncertain.get(name, 0) + delta
        self._wanted = {
            name: wanted
            for name, wanted in self._wanted.items()
            if wanted[1] > headroom.now_s
        }
        caps = {
            name: self._attempted(name)
            + max(tokens, self._wanted.get(name, (0, 0.0))[0])
            for name, tokens in headroom.tokens.items()
        }
        self._sent.append(_Sent(caps))
        return caps

    def on_committed(self, deltas: Mapping[str, int]) -> None:
        """Confirms the last record, after which no earlier one can succeed."""
        self._uncertain = {}
        self.gross = self.gross_after(deltas)
        for sent in self._sent[:-1]:
            sent.is_replaced = True

    def on_read_back(self, gross: Mapping[str, int]) -> None:
        """Applies a record of unknown outcome that took effect."""
        self._uncertain = {}
        self.gross = dict(gross)

    def on_not_done(self, deltas: Mapping[str, int]) -> None:
        """Reverts draws that certainly have no effect."""
        for name, delta in deltas.items():
            if delta > 0 and name in self._uncertain:
                self._uncertain[name] -= delta

    def on_restored(self) -> None:
        """Drops draws without an answer, which count as not done."""
        self._uncertain = {}

    def gross_after(self, deltas: Mapping[str, int]) -> dict[str, int]:
        """Returns the tokens drawn after a write."""
        draws = {name: delta for name, delta in deltas.items() if delta > 0}
        return store_record.with_changes(self.gross, draws)

    def in_force(self, now_s: float) -> dict[str, int]:
        """Returns the caps that hold now, by workspace."""
        for sent in self._sent:
            if sent.is_replaced and sent.replaced_s is None:
                sent.replaced_s = now_s
        oldest_s = now_s - WINDOW_S - _CLOCK_MARGIN_S
        self._sent = [
            sent
            for sent in self._sent
            if sent.replaced_s is None or sent.replaced_s >= oldest_s
        ]
        lowest: dict[str, int] = {}
        for sent in self._sent:
            for name, cap in sent.caps.items():
                lowest[name] = min(cap, lowest.get(name, cap))
        return lowest

    def clip(self, changes: Mapping[str, int], now_s: float) -> dict[str, int]:
        """Reduces draws to what the caps allow, and drops those without any."""
        if not self.is_active:
            return dict(changes)
        caps = self.in_force(now_s)
        for name, size in changes.items():
            if name in caps and size > caps[name] - self._attempted(name):
                wanted = max(size, self._wanted.get(name, (0, 0.0))[0])
                self._wanted[name] = (wanted, now_s + 2 * WINDOW_S)
        sizes = {
            name: min(size, max(0, caps[name] - self._attempted(name)))
            if name in caps and size > 0
            else size
            for name, size in changes.items()
        }
        return {name: size for name, size in sizes.items() if size}

    def _attempted(self, name: str) -> int:
        return self.gross.get(name, 0) + self._uncertain.get(name, 0)


def unseen_draws(
    record: store_record.RouterRecord,
) -> dict[str, int] | None:
    """Returns what a router may have drawn since a record, by workspace.

    Draws of other workspaces, or all of them if the result is None, are not
    bounded.
    """
    if record.caps is None:
        return None
    before = record.gross_before
    return {
        name: max(0, cap - before.get(name, 0))
        for name, cap in record.caps.items()
    }
