"""Combines the VM list, heartbeats and observations of the request path."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random

import attrs

from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation as incarnation_lib
from hibiscuspass.core.membership import config
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.core.membership import marks
from hibiscuspass.core.membership import members
from hibiscuspass.core.membership import messages
from hibiscuspass.core.membership import neighbours

# A router that learns of a change passes it on in this many heartbeats and
# replies.
_GOSSIP_REPEATS = 24


@attrs.frozen
class Target:
    """A router to send a heartbeat to; `name` is empty for a seed address."""

    name: str
    address: str


class Tracker:
    """Membership of one process, without I/O.

    Times are seconds of a monotonic clock.
    """

    def __init__(
        self,
        cfg: config.MembershipConfig,
        own: messages.MemberRecord,
        rng: random.Random,
        seeds: Sequence[str] = (),
    ) -> None:
        self._cfg = cfg
        self._own = own
        self._rng = rng
        self._seeds = tuple(seeds)
        self._marks = marks.MarkTable(cfg)
        self._members = members.MemberTable(cfg, own.incarnation.name)
        self._listed: dict[str, vm_list.Vm] = {}
        # VMs that the last reads of the list lacked, and the number of these
        # consecutive reads.
        self._missing_vms: dict[str, tuple[vm_list.Vm, int]] = {}
        # How often records, by name of the router, and replaced incarnations
        # are still to be passed on.
        self._records_to_spread: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._gone_to_spread: dict[incarnation_lib.Incarnation, int] = {}
        self._push_pending = False
        self._view_changed = True
        # Backend servers of the last view; None after a change.
        self._backends: tuple[fleet_view.BackendMember, ...] | None = None

    @property
    def own(self) -> messages.MemberRecord:
        """Record of this process."""
        return self._own

    @property
    def listed_vms(self) -> int:
        """Number of VMs in the last list."""
        return len(self._listed)

    def take_push_pending(self) -> bool:
        """Returns whether a change must be pushed now; resets the flag."""
        pending, self._push_pending = self._push_pending, False
        return pending

    def take_view_changed(self) -> bool:
        """Returns whether the view may have changed; resets the flag."""
        changed, self._view_changed = self._view_changed, False
        return changed

    def on_vm_list(self, vms: Sequence[vm_list.Vm], now_s: float) -> None:
        """Applies a successful read of the VM list."""
        new = {vm.name: vm for vm in vms}
        for name in new:
            if name in self._missing_vms:
                del self._missing_vms[name]
            if name not in self._listed:
                self._members.on_listed_again(name)
        for name, vm in self._listed.items():
            if name not in new:
                self._missing_vms.setdefault(name, (vm, 0))
        for name, (vm, reads) in list(self._missing_vms.items()):
            if reads + 1 < self._cfg.drop_after_reads:
                self._missing_vms[name] = (vm, reads + 1)
                continue
            del self._missing_vms[name]
            self._members.on_unlisted(name, now_s)
        self._listed = new
        self._backends = None
        self._view_changed = True
        backends = {
            n: vm
            for n, vm in new.items()
            if vm.role is not vm_list.VmRole.ROUTER
        }
        if self._marks.on_listed_backends(backends, now_s):
            self._on_marks_changed()

    def on_heartbeat(
        self, msg: messages.Heartbeat, now_s: float, *, is_reply: bool
    ) -> None:
        """Applies a heartbeat, or the reply to a heartbeat of this process."""
        if self._members.on_sender_record(msg.sender, now_s, is_reply=is_reply):
            self._queue_record(msg.sender)
        for record in msg.members:
            if record.incarnation == self._own.incarnation:
                self._refute(record)
        for record in self._members.on_relayed_records(msg.members, now_s):
            self._queue_record(record)
        own = self._own.incarnation
        for inc in self._members.on_replaced(
            (i for i in msg.gone if i != own), now_s
        ):
            self._gone_to_spread[inc] = _GOSSIP_REPEATS
            self._view_changed = True
        if self._marks.merge(msg.marks, now_s):
            self._on_marks_changed()

    def needs_all_marks(self, reply: messages.Heartbeat) -> bool:
        """Returns whether the marks of a peer differ after its reply."""
        return reply.marks_digest != self._marks.digest()

    def on_heartbeat_failed(self, name: str, now_s: float) -> None:
        """Records that a heartbeat to a router failed."""
        suspicion = self._members.on_heartbeat_failed(name, now_s)
        if suspicion is not None:
            self._queue_record(suspicion)

    def report_backend(self, name: str, draining: bool, now_s: float) -> None:
        """Records an observation of the request path on a backend server."""
        source = messages.MarkSource.OBSERVED
        if self._marks.observe(name, source, draining, now_s) is not None:
            self._on_marks_changed()

    def set_leaving(self) -> None:
        """Records that this process is stopping."""
        self._own = attrs.evolve(self._own, leaving=True)
        self._push_pending = True
        self._view_changed = True

    def start_round(self, now_s: float) -> tuple[Target, ...]:
        """Starts a round; returns the routers to send heartbeats to."""
        self._own = attrs.evolve(self._own, counter=self._own.counter + 1)
        self._members.expire(now_s)
        # Suspicions can begin and end without any message.
        self._view_changed = True
        if self._marks.expire(now_s):
            self._on_marks_changed()
        addresses = self._addresses()
        near = self._neighbours(addresses)
        if (
            len(near) > self._cfg.max_heartbeats
            and len(addresses) > self._cfg.max_neighbours
        ):
            # Only the nearest neighbours get regular heartbeats; the others get
            # urgent changes.
            near = near[: self._cfg.max_heartbeats - 1]
        return (*near, *self._choose_probe(near, addresses))

    def neighbours(self) -> tuple[Target, ...]:
        """Returns the routers that urgent changes are pushed to."""
        return self._neighbours(self._addresses())

    def make_heartbeat(
        self,
        now_s: float,
        *,
        first_contact: bool = False,
        all_marks: bool = False,
        random_records: int = 1,
    ) -> messages.Heartbeat:
        """Returns the heartbeat to send now.

        Args:
          now_s: Current time in seconds.
          first_contact: Whether to ask for the records of all routers.
          all_marks: Whether to include all marks, not only recent ones.
          random_records: Number of random records to include if there are no
            changes to pass on.
        """
        return messages.Heartbeat(
            sender=self._own,
            marks_digest=self._marks.digest(),
            marks=self._marks.shared()
            if all_marks
            else self._marks.recent(now_s),
            members=self._take_records(random_records),
            gone=self._take_gone(),
            first_contact=first_contact,
        )

    def make_reply(
        self, msg: messages.Heartbeat, now_s: float
    ) -> messages.Heartbeat:
        """Returns the reply to a heartbeat that was applied."""
        reply = self.make_heartbeat(
            now_s,
            all_marks=msg.marks_digest != self._marks.digest(),
            random_records=0,
        )
        if not msg.first_contact:
            return reply
        return attrs.evolve(
            reply,
            members=self._members.records(),
            gone=self._members.replaced(),
        )

    def is_known(self, name: str) -> bool:
        """Returns whether the current incarnation of a router is known."""
        return self._members.record(name) is not None

    def view(self, now_s: float) -> fleet_view.FleetView:
        """Returns the fleet as this process sees it."""
        leaving = frozenset(
            vm.name
            for vm in self._listed.values()
            if vm.state is vm_list.VmState.LEAVING
        )
        own = self._own
        is_leaving = own.leaving or own.incarnation.name in leaving
        own_view = fleet_view.RouterMember(
            incarnation=own.incarnation,
            peer_address=own.peer_address,
            failure_domain=own.failure_domain,
            region=own.region,
            state=fleet_view.MemberState.LEAVING
            if is_leaving
            else fleet_view.MemberState.LIVE,
        )
        routers = (own_view, *self._members.routers(leaving, now_s))
        if self._backends is None:
            self._backends = self._merge_backends()
        return fleet_view.FleetView(
            routers=tuple(
                sorted(
                    routers,
                    key=lambda r: (r.incarnation.name, r.incarnation.start_id),
                )
            ),
            backends=self._backends,
        )

    def _on_marks_changed(self) -> None:
        self._push_pending = True
        self._view_changed = True
        self._backends = None

    def _merge_backends(self) -> tuple[fleet_view.BackendMember, ...]:
        listed = [
            fleet_view.BackendMember(vm, not self._marks.is_leaving(vm.name))
            for vm in self._listed.values()
            if vm.role is not vm_list.VmRole.ROUTER
        ]
        missing = [
            fleet_view.BackendMember(vm, False)
            for vm, _ in self._missing_vms.values()
            if vm.role is not vm_list.VmRole.ROUTER
        ]
        return tuple(sorted([*listed, *missing], key=lambda b: b.vm.name))

    def _addresses(self) -> dict[str, str]:
        """Returns the peer addresses of all other known or listed routers."""
        addresses = {
            vm.name: vm.address
            for vm in self._listed.values()
            if vm.role is vm_list.VmRole.ROUTER
        }
        for record in self._members.records():
            addresses[record.incarnation.name] = record.peer_address
        addresses.pop(self._own.incarnation.name, None)
        return addresses

    def _neighbours(self, addresses: Mapping[str, str]) -> tuple[Target, ...]:
        is_large = len(addresses) > self._cfg.max_neighbours
        # In a small fleet, suspected routers get heartbeats as well.
        names = neighbours.ring_neighbours(
            self._own.incarnation.name,
            [
                n
                for n in addresses
                if not is_large or not self._is_marked_suspected(n)
            ],
            self._cfg.max_neighbours,
        )
        return tuple(Target(n, addresses[n]) for n in names)

    def _is_marked_suspected(self, name: str) -> bool:
        record = self._members.record(name)
        return record is not None and record.suspected

    def _choose_probe(
        self, near: Iterable[Target], addresses: Mapping[str, str]
    ) -> tuple[Target, ...]:
        """Returns one random other router, so that healed links are noticed."""
        skip = {t.name for t in near}
        others = [Target(n, a) for n, a in addresses.items() if n not in skip]
        known_addresses = {t.address for t in [*near, *others]}
        others += [
            Target("", a)
            for a in self._seeds
            if a not in known_addresses and a != self._own.peer_address
        ]
        return (self._rng.choice(others),) if others else ()

    def _refute(self, record: messages.MemberRecord) -> None:
        if record.suspected and record.counter >= self._own.counter:
            self._own = attrs.evolve(self._own, counter=record.counter + 1)
        if record.suspected:
            self._queue_record(self._own)

    def _queue_record(self, record: messages.MemberRecord) -> None:
        self._view_changed = True
        self._records_to_spread[record.incarnation.name] = _GOSSIP_REPEATS
        self._records_to_spread.move_to_end(record.incarnation.name, last=False)
        if record.leaving:
            self._push_pending = True

    def _take_records(
        self, random_records: int
    ) -> tuple[messages.MemberRecord, ...]:
        """Returns the records to pass on, or else random records."""
        names = list(self._records_to_spread)[: self._cfg.max_records]
        for name in names:
            self._records_to_spread[name] -= 1
            self._records_to_spread.move_to_end(name)
            if self._records_to_spread[name] <= 0:
                del self._records_to_spread[name]
        known_names = [r.incarnation.name for r in self._members.records()]
        # Random records make up for lost messages.
        count = min(len(known_names), 0 if names else random_records)
        picked = dict.fromkeys([*names, *self._rng.sample(known_names, count)])
        own = self._own.incarnation.name
        records = (
            self._own if n == own else self._members.record(n) for n in picked
        )
        return tuple(r for r in records if r is not None)

    def _take_gone(self) -> tuple[incarnation_lib.Incarnation, ...]:
        taken = list(self._gone_to_spread)[: self._cfg.max_records]
        for inc in taken:
            self._gone_to_spread[inc] -= 1
            if self._gone_to_spread[inc] <= 0:
                del self._gone_to_spread[inc]
        return tuple(taken)
