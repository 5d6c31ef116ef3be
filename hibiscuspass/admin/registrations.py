"""Deletes the registrations of routers whose VM no longer exists."""

import asyncio
from typing import Any

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import vm_list as vm_list_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import member as member_lib
from hibiscuspass.settings import structure
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib

_log = logs.get_logger(__name__)

# A single read of the lagging VM list may lack a VM that is still running.
_ABSENCES_UNTIL_GONE = 2


class RegistrationJanitor:
    """Deletes registrations of routers whose VM has left the VM list.

    A VM counts as gone if an earlier read of the list contained it and the
    latest reads do not. The registration stores that the list has contained
    the VM, so that any administration program can continue the comparison. A
    VM that is too new for the lagging list therefore does not count as gone.
    """

    def __init__(
        self,
        store: kv_store.KvStore,
        vm_list: vm_list_lib.VmList,
        recorder: recorder_lib.Recorder,
        timeout_s: float,
    ) -> None:
        self._store = store
        self._vm_list = vm_list
        self._recorder = recorder
        self._timeout_s = timeout_s
        # Number of consecutive reads of the VM list that lacked a router's VM.
        self._absences: dict[str, int] = {}

    async def run(self, interval_s: float) -> None:
        """Compares the registrations periodically until cancelled."""
        while True:
            await self.compare()
            await asyncio.sleep(interval_s)

    async def compare(self) -> None:
        """Compares all registrations with the VM list once."""
        # The VM list is read after the registrations. An older list could lack
        # a VM that another administration program has already seen in it.
        members = await self._store.get_prefix(
            keys.MEMBERS, timeout_s=self._timeout_s
        )
        vms = await self._vm_list.fetch(timeout_s=self._timeout_s)
        if isinstance(members, refusal.Refusal) or isinstance(
            vms, refusal.Refusal
        ):
            return
        vm_names = {
            vm.name for vm in vms if vm.role is vm_list_lib.VmRole.ROUTER
        }
        for kv_entry in members.entries:
            await self._compare_registration(kv_entry, vm_names)

    async def list(self) -> dict[str, Any] | refusal.Refusal:
        """Returns the registrations by `name/start_id`."""
        read = await self._store.get_prefix(
            keys.MEMBERS, timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        return {
            kv_entry.key.removeprefix(keys.MEMBERS): structure.unstructure(
                member_lib.decode(kv_entry.value)
            )
            for kv_entry in read.entries
        }

    async def forget(self, process: str) -> bool | refusal.Refusal:
        """Deletes a registration at the request of an operator.

        This is needed for a router that crashed before the VM list contained
        its VM. The operator must be certain that the router is not running,
        because changes are then reported as accepted without its
        acknowledgement.

        Returns:
          Whether the registration existed.
        """
        key = keys.member(process)
        read = await self._store.get(key, timeout_s=self._timeout_s)
        if isinstance(read, refusal.Refusal):
            return read
        for kv_entry in read.entries:
            outcome = await self._compare_and_swap(kv_entry, None)
            if isinstance(outcome, refusal.Refusal):
                return outcome
            self._recorder.emit("config.router_forgotten", router=process)
        return bool(read.entries)

    async def _compare_registration(
        self, kv_entry: kv_store.KeyValue, vm_names: set[str]
    ) -> None:
        process = kv_entry.key.removeprefix(keys.MEMBERS)
        member = member_lib.decode(kv_entry.value)
        if member is None:
            _log.error("registration is malformed", router=process)
            return
        if process.partition("/")[0] in vm_names:
            self._absences.pop(process, None)
            if not member.listed:
                updated_member = attrs.evolve(member, listed=True)
                await self._compare_and_swap(
                    kv_entry, member_lib.encode(updated_member)
                )
            return
        self._absences[process] = self._absences.get(process, 0) + 1
        if member.listed and self._absences[process] >= _ABSENCES_UNTIL_GONE:
            del self._absences[process]
            await self._compare_and_swap(kv_entry, None)
            _log.info("registration ended: the VM is gone", router=process)
            self._recorder.emit("config.router_gone", router=process)

    async def _compare_and_swap(
        self, kv_entry: kv_store.KeyValue, value: bytes | None
    ) -> kv_store.CasResult | refusal.Refusal:
        return await self._store.compare_and_swap(
            kv_entry.key, kv_entry.revision, value, timeout_s=self._timeout_s
        )
