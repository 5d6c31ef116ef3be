"""Determines whether all routers have applied a configuration change."""

import asyncio

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import vm_list as vm_list_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import acceptance as acceptance_lib
from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import member as member_lib
from hibiscuspass.core.configuration import messages
from hibiscuspass.peers import codec
from hibiscuspass.peers import transport as transport_lib

for _type in messages.MESSAGE_TYPES:
    codec.DEFAULT.add(_type)

_MAX_CONCURRENT_REQUESTS = 64
# Each round asks the routers that were first named in the previous round.
_MAX_ROUNDS = 16


@attrs.frozen
class ChangeStatus:
    """Progress of a configuration change.

    Attributes:
      workspace: Name of the workspace.
      revision: Revision of the change.
      accepted: Whether every known router acknowledged the change.
      missing: Names of the routers that have not acknowledged it.
      unknown: Reasons why the list of routers may be incomplete; if there are
        any, the change is not reported as accepted.
      routers: Revision that each router has, None if it did not answer.
    """

    workspace: str
    revision: int
    accepted: bool
    missing: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()
    routers: tuple[acceptance_lib.RouterStatus, ...] = ()


class ChangeTracker:
    """Announces changes to routers and collects acknowledgements."""

    def __init__(
        self,
        store: kv_store.KvStore,
        vm_list: vm_list_lib.VmList,
        transport: transport_lib.Transport,
        kv_timeout_s: float,
        router_timeout_s: float,
    ) -> None:
        self._store = store
        self._vm_list = vm_list
        self._transport = transport
        self._kv_timeout_s = kv_timeout_s
        self._router_timeout_s = router_timeout_s

    async def check(
        self, name: str, revision: int | None = None
    ) -> ChangeStatus | refusal.Refusal:
        """Announces the stored workspace and reports who has applied it.

        Args:
          name: Name of the workspace.
          revision: Revision to report on, None for the stored one.
        """
        result = await self._store.get(
            keys.workspace(name), timeout_s=self._kv_timeout_s
        )
        if isinstance(result, refusal.Refusal):
            return result
        entry = entry_lib.ConfigEntry(name, None, result.revision)
        for kv_entry in result.entries:
            entry = entry_lib.ConfigEntry(
                name, kv_entry.value, kv_entry.revision
            )
        target_revision = entry.revision if revision is None else revision
        acceptance = acceptance_lib.Acceptance(name, target_revision)
        # The list of routers is read after the change was written. A router
        # that registers later reads the change itself.
        unknown = await self._add_expected_routers(acceptance)
        unknown += await self._ask_rounds(acceptance, entry)
        return ChangeStatus(
            workspace=name,
            revision=target_revision,
            accepted=acceptance.is_accepted() and not unknown,
            missing=acceptance.missing(),
            unknown=unknown,
            routers=acceptance.routers(),
        )

    async def _add_expected_routers(
        self, acceptance: acceptance_lib.Acceptance
    ) -> tuple[str, ...]:
        unknown: list[str] = []
        members = await self._store.get_prefix(
            keys.MEMBERS, timeout_s=self._kv_timeout_s
        )
        if isinstance(members, refusal.Refusal):
            unknown.append(f"registrations can't be read: {members.detail}")
        else:
            acceptance.add_targets(map(_target_of_member, members.entries))
        vms = await self._vm_list.fetch(timeout_s=self._kv_timeout_s)
        if isinstance(vms, refusal.Refusal):
            unknown.append(f"the VM list can't be read: {vms.detail}")
        else:
            acceptance.add_targets(
                acceptance_lib.Target(vm.name, vm.address)
                for vm in vms
                if vm.role is vm_list_lib.VmRole.ROUTER
            )
        return tuple(unknown)

    async def _ask_rounds(
        self,
        acceptance: acceptance_lib.Acceptance,
        entry: entry_lib.ConfigEntry,
    ) -> tuple[str, ...]:
        for _ in range(_MAX_ROUNDS):
            targets = acceptance.begin_round()
            if not targets:
                return ()
            await self._ask(acceptance, targets, entry)
        return (f"routers still name new ones after {_MAX_ROUNDS} rounds",)

    async def _ask(
        self,
        acceptance: acceptance_lib.Acceptance,
        targets: tuple[acceptance_lib.Target, ...],
        entry: entry_lib.ConfigEntry,
    ) -> None:
        limit = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
        msg = messages.ConfigAnnounce((entry,))

        async def ask(address: str) -> messages.ConfigAck | None:
            async with limit:
                reply = await self._transport.request(
                    address, msg, timeout_s=self._router_timeout_s
                )
            return reply if isinstance(reply, messages.ConfigAck) else None

        # A router is often listed twice: as a registration and as a VM.
        addresses = sorted({t.address for t in targets if t.address})
        replies = await asyncio.gather(*map(ask, addresses))
        acks = dict(zip(addresses, replies, strict=True))
        for target in targets:
            ack = acks.get(target.address)
            if ack is not None:
                acceptance.record_ack(target, ack)


def _target_of_member(kv_entry: kv_store.KeyValue) -> acceptance_lib.Target:
    member = member_lib.decode(kv_entry.value)
    # A router without an address can't be asked and is reported as missing.
    return acceptance_lib.Target(
        kv_entry.key.removeprefix(keys.MEMBERS),
        "" if member is None else member.address,
    )
