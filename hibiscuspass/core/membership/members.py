"""Table of the routers that one process knows."""

from collections.abc import Iterable

import attrs

from hibiscuspass.core import incarnation as incarnation_lib
from hibiscuspass.core.membership import config
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.core.membership import messages

# Consecutive failed heartbeats before a router is suspected, and the time
# without a further attempt after which earlier failures are ignored.
_MIN_FAILURES = 3
_FAILURE_MEMORY_S = 10.0
# Shortest time between two suspicions of the same router, which may refute each
# of them. Without this limit one broken link between two live routers would
# cause a steady stream of messages in the whole fleet.
_SUSPICION_INTERVAL_S = 30.0
# Bounds the memory used by gone incarnations; enough for several days of
# restarts.
_MAX_GONE = 2000


@attrs.define
class _Member:
    record: messages.MemberRecord
    # Time of the last heartbeat or reply received directly from the router.
    last_heard_s: float
    # Consecutive failed heartbeats to the router: number, first and last time.
    failures: int = 0
    first_failure_s: float = float("-inf")
    last_failure_s: float = float("-inf")
    last_suspicion_s: float = float("-inf")

    def is_failing(self, suspect_after_s: float, now_s: float) -> bool:
        """Returns whether heartbeats to the router failed for long enough."""
        silent_s = self.last_failure_s - max(
            self.first_failure_s, self.last_heard_s
        )
        return (
            self.failures >= _MIN_FAILURES
            and silent_s >= suspect_after_s
            and now_s - self.last_failure_s <= _FAILURE_MEMORY_S
        )


@attrs.frozen
class _Gone:
    record: messages.MemberRecord
    since_s: float
    # Whether a newer incarnation replaced it, which is final. Otherwise the VM
    # is no longer listed; the router is known again if its VM is listed again.
    replaced: bool


class MemberTable:
    """Table of the current incarnation of each name and of gone incarnations.

    A later heartbeat counter of the same incarnation replaces an earlier one;
    at the same counter a suspicion wins, as in SWIM (Das et al., 2002).
    """

    def __init__(self, cfg: config.MembershipConfig, own_name: str) -> None:
        self._cfg = cfg
        self._own_name = own_name
        self._members: dict[str, _Member] = {}
        self._gone: dict[incarnation_lib.Incarnation, _Gone] = {}

    def records(self) -> tuple[messages.MemberRecord, ...]:
        """Returns the records of all routers that are not gone."""
        return tuple(m.record for m in self._members.values())

    def record(self, name: str) -> messages.MemberRecord | None:
        """Returns the record of the current incarnation of a name."""
        member = self._members.get(name)
        return member.record if member else None

    def replaced(self) -> tuple[incarnation_lib.Incarnation, ...]:
        """Returns the incarnations that were replaced by newer ones."""
        return tuple(i for i, g in self._gone.items() if g.replaced)

    def is_suspected(self, name: str, now_s: float) -> bool:
        """Returns whether this process or a peer suspects a router."""
        member = self._members[name]
        return member.record.suspected or member.is_failing(
            self._cfg.suspect_after_s, now_s
        )

    def on_sender_record(
        self, record: messages.MemberRecord, now_s: float, *, is_reply: bool
    ) -> bool:
        """Applies the record that a router sent about itself.

        A reply to a heartbeat of this router comes from a process that runs
        now, so it replaces any other incarnation of its name. A request may
        have been delayed, so the start times are compared.

        Args:
          record: The sender's record of itself.
          now_s: Current time in seconds.
          is_reply: Whether the record came in a reply.

        Returns:
          Whether the change must be passed on to other routers.
        """
        name = record.incarnation.name
        if name == self._own_name or record.incarnation in self._gone:
            return False
        member = self._members.get(name)
        if member is None:
            self._members[name] = _Member(record, now_s)
            return True
        old = member.record
        if old.incarnation != record.incarnation:
            if not is_reply and record.started_ms <= old.started_ms:
                return False
            self._replace(old, record, now_s)
            return True
        member.last_heard_s = now_s
        if is_reply:
            member.failures = 0
        return self._update(member, record)

    def on_relayed_records(
        self, records: Iterable[messages.MemberRecord], now_s: float
    ) -> tuple[messages.MemberRecord, ...]:
        """Applies records relayed by a peer; returns those to pass on."""
        changed = []
        for record in records:
            name = record.incarnation.name
            if name == self._own_name or record.incarnation in self._gone:
                continue
            member = self._members.get(name)
            if member is None:
                self._members[name] = _Member(record, now_s)
            elif member.record.incarnation != record.incarnation:
                if record.started_ms <= member.record.started_ms:
                    continue
                self._replace(member.record, record, now_s)
            elif not self._update(member, record):
                continue
            changed.append(record)
        return tuple(changed)

    def on_replaced(
        self, gone: Iterable[incarnation_lib.Incarnation], now_s: float
    ) -> tuple[incarnation_lib.Incarnation, ...]:
        """Records replaced incarnations; returns those that are new."""
        changed = []
        for inc in gone:
            known_gone = self._gone.get(inc)
            if known_gone is not None and known_gone.replaced:
                continue
            member = self._members.get(inc.name)
            if member is not None and member.record.incarnation == inc:
                record = member.record
                del self._members[inc.name]
            elif known_gone is not None:
                record = known_gone.record
            else:
                record = messages.MemberRecord(inc, "", "", "")
            self._gone[inc] = _Gone(record, now_s, replaced=True)
            changed.append(inc)
        return tuple(changed)

    def on_heartbeat_failed(
        self, name: str, now_s: float
    ) -> messages.MemberRecord | None:
        """Records a failed heartbeat to a router.

        Returns:
          The router's record if the router is suspected from now on, to be
          passed on to other routers; else None.
        """
        member = self._members.get(name)
        if member is None:
            return None
        if not member.failures or (
            now_s - member.last_failure_s > _FAILURE_MEMORY_S
        ):
            member.failures = 0
            member.first_failure_s = now_s
        member.failures += 1
        member.last_failure_s = now_s
        if (
            member.record.suspected
            or not member.is_failing(self._cfg.suspect_after_s, now_s)
            or now_s - member.last_suspicion_s < _SUSPICION_INTERVAL_S
        ):
            return None
        member.last_suspicion_s = now_s
        member.record = attrs.evolve(member.record, suspected=True)
        return member.record

    def on_unlisted(self, name: str, now_s: float) -> None:
        """Records that the VM of a router is no longer listed."""
        member = self._members.pop(name, None)
        if member is not None:
            self._gone[member.record.incarnation] = _Gone(
                member.record, now_s, replaced=False
            )

    def on_listed_again(self, name: str) -> None:
        """Forgets that a router was gone because its VM was not listed."""
        for inc, gone in list(self._gone.items()):
            if inc.name == name and not gone.replaced:
                del self._gone[inc]

    def expire(self, now_s: float) -> None:
        """Forgets incarnations gone for longer than the retention time."""
        for inc, gone in list(self._gone.items()):
            if now_s - gone.since_s > self._cfg.retention_s:
                del self._gone[inc]
        for inc in list(self._gone)[:-_MAX_GONE]:
            del self._gone[inc]

    def routers(
        self, leaving: frozenset[str], now_s: float
    ) -> tuple[fleet_view.RouterMember, ...]:
        """Returns all routers except this one, including gone incarnations.

        Args:
          leaving: Names of routers that the platform lists as leaving.
          now_s: Current time in seconds.
        """
        current = [
            _to_view(m.record, self._state(m.record, leaving, now_s))
            for m in self._members.values()
        ]
        gone = [
            _to_view(g.record, fleet_view.MemberState.GONE)
            for g in self._gone.values()
        ]
        return (*current, *gone)

    def _state(
        self,
        record: messages.MemberRecord,
        leaving: frozenset[str],
        now_s: float,
    ) -> fleet_view.MemberState:
        name = record.incarnation.name
        if self.is_suspected(name, now_s):
            return fleet_view.MemberState.SUSPECTED
        if record.leaving or name in leaving:
            return fleet_view.MemberState.LEAVING
        return fleet_view.MemberState.LIVE

    def _replace(
        self,
        old: messages.MemberRecord,
        new: messages.MemberRecord,
        now_s: float,
    ) -> None:
        self._gone[old.incarnation] = _Gone(old, now_s, replaced=True)
        self._members[new.incarnation.name] = _Member(new, now_s)

    def _update(self, member: _Member, new: messages.MemberRecord) -> bool:
        """Applies a newer record; returns whether it must be passed on."""
        old = member.record
        leaving = old.leaving or new.leaving
        if (new.counter, new.suspected) > (old.counter, old.suspected):
            member.record = attrs.evolve(new, leaving=leaving)
        elif leaving != old.leaving:
            member.record = attrs.evolve(old, leaving=leaving)
        return (old.suspected, old.leaving) != (
            member.record.suspected,
            member.record.leaving,
        )


def _to_view(
    record: messages.MemberRecord, state: fleet_view.MemberState
) -> fleet_view.RouterMember:
    return fleet_view.RouterMember(
        incarnation=record.incarnation,
        peer_address=record.peer_address,
        failure_domain=record.failure_domain,
        region=record.region,
        state=state,
    )
