"""Ends the registrations of routers whose VM is gone."""

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

# One read of a lagging list may lack a VM that still runs.
_READS_UNTIL_GONE = 2


class RegistrationJanitor:
    """Compares registrations with the VM list.

    A VM is gone if the list showed it and shows it no more. That it was shown
    is written into the registration, so that any administration program can
    go on. A VM that is too new for the lagging list is not taken for gone.
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
        # Reads in a row that lacked a router's VM.
        self._absences: dict[str, int] = {}

    async def run(self, interval_s: float) -> None:
        """Compares at an interval until cancelled."""
        while True:
            await self.compare()
            await asyncio.sleep(interval_s)

    async def compare(self) -> None:
        """Compares once."""
        # The list is read second: an older one could lack a VM that another
        # administration program has already seen in it.
        members = await self._store.get_prefix(
            keys.MEMBERS, timeout_s=self._timeout_s
        )
        vms = await self._vm_list.fetch(timeout_s=self._timeout_s)
        if isinstance(members, refusal.Refusal) or isinstance(
            vms, refusal.Refusal
        ):
            return
        names = {vm.name for vm in vms if vm.role is vm_list_lib.VmRole.ROUTER}
        for found in members.entries:
            await self._compare_one(found, names)

    async def list(self) -> dict[str, Any] | refusal.Refusal:
        """Returns the registrations by `name/start_id`."""
        read = await self._store.get_prefix(
            keys.MEMBERS, timeout_s=self._timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return read
        return {
            found.key.removeprefix(keys.MEMBERS): structure.unstructure(
                member_lib.decode(found.value)
            )
            for found in read.entries
        }

    async def forget(self, process: str) -> bool | refusal.Refusal:
        """Ends a registration by an operator's decision.

        It is needed for a router that crashed before the VM list showed its
        VM. The operator must be certain that the router does not run: a
        change can be reported as accepted without it from now on.

        Returns:
          Whether there was such a registration.
        """
        key = keys.member(process)
        read = await self._store.get(key, timeout_s=self._timeout_s)
        if isinstance(read, refusal.Refusal):
            return read
        for found in read.entries:
            outcome = await self._swap(found, None)
            if isinstance(outcome, refusal.Refusal):
                return outcome
            self._recorder.emit("config.router_forgotten", router=process)
        return bool(read.entries)

    async def _compare_one(
        self, found: kv_store.KeyValue, names: set[str]
    ) -> None:
        process = found.key.removeprefix(keys.MEMBERS)
        member = member_lib.decode(found.value)
        if member is None:
            _log.error("registration is malformed", router=process)
            return
        if process.partition("/")[0] in names:
            self._absences.pop(process, None)
            if not member.listed:
                shown = attrs.evolve(member, listed=True)
                await self._swap(found, member_lib.encode(shown))
            return
        self._absences[process] = self._absences.get(process, 0) + 1
        if member.listed and self._absences[process] >= _READS_UNTIL_GONE:
            del self._absences[process]
            await self._swap(found, None)
            _log.info("registration ended: the VM is gone", router=process)
            self._recorder.emit("config.router_gone", router=process)

    async def _swap(
        self, found: kv_store.KeyValue, value: bytes | None
    ) -> kv_store.CasResult | refusal.Refusal:
        return await self._store.compare_and_swap(
            found.key, found.revision, value, timeout_s=self._timeout_s
        )
