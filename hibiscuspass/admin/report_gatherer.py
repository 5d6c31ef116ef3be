"""Collects what a budget report is made of."""

import asyncio
import itertools
from typing import Any

import attrs

from hibiscuspass.admin import budget_report
from hibiscuspass.admin import ledger_store
from hibiscuspass.backends import kv_store
from hibiscuspass.backends import vm_list as vm_list_lib
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.budget import grant as grant_lib
from hibiscuspass.core.budget import ledger as ledger_lib
from hibiscuspass.core.budget import messages
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import member as member_lib
from hibiscuspass.peers import codec
from hibiscuspass.peers import transport as transport_lib

for _type in (
    messages.GrantQuery,
    messages.GrantAnswer,
    messages.ReportRequest,
    messages.Report,
):
    codec.DEFAULT.add(_type)

# Routers that are asked for their ledger copy during an outage.
_MAX_ROUTERS_ASKED = 8


@attrs.frozen
class Fleet:
    """Routers as registrations and VM list show them.

    Attributes:
      addresses: Peer link by `name/start_id`, and by name for listed VMs.
      is_complete: Whether both sources could be read; only then a router
        that is in neither of them is certainly gone.
    """

    addresses: dict[str, str]
    is_complete: bool

    def address_of(self, router: incarnation.Incarnation) -> str:
        """Returns a router's peer link, empty if it isn't known."""
        return self.addresses.get(
            str(router), self.addresses.get(router.name, "")
        )

    def is_gone(self, router: incarnation.Incarnation) -> bool:
        """Whether an incarnation has certainly ended.

        A registration lasts until the graceful stop, the end of the VM, or
        the start of the next incarnation of the name. A router without one
        may still run on a listed VM, unless a later incarnation does.
        """
        if not self.is_complete or str(router) in self.addresses:
            return False
        is_replaced = any(
            p.startswith(f"{router.name}/") for p in self.addresses
        )
        return is_replaced or router.name not in self.addresses


class ReportGatherer:
    """Makes budget reports."""

    def __init__(
        self,
        ledgers: ledger_store.LedgerStore,
        store: kv_store.KvStore,
        vm_list: vm_list_lib.VmList,
        transport: transport_lib.Transport,
        kv_timeout_s: float,
        router_timeout_s: float,
    ) -> None:
        self._ledgers = ledgers
        self._store = store
        self._vm_list = vm_list
        self._transport = transport
        self._kv_timeout_s = kv_timeout_s
        self._router_timeout_s = router_timeout_s
        self._ask_ids = itertools.count(1)
        # Kept for an outage, in which registrations can't be read.
        self._last_addresses: dict[str, str] = {}

    async def report(
        self, workspace: str
    ) -> budget_report.BudgetReport | refusal.Refusal:
        """Returns what is known now.

        Returns:
          The report, or a refusal if neither the key-value service nor any
          router with a copy of the ledger can be reached.
        """
        # The ledger is read first: permits that a holder issued before are
        # then part of its answer, and holders in it are registered by now.
        copy = await self._ledgers.read(workspace)
        fleet = await self._read_fleet()
        if isinstance(copy, refusal.Refusal):
            return await self._report_in_outage(workspace, fleet, copy)
        states = await self._ask_holders(copy.ledger, fleet)
        grants = tuple(
            budget_report.view_grant(g, states.get(g.id), _is_lost(g, fleet))
            for g in copy.ledger.grants.values()
        )
        return budget_report.make_report(
            copy.ledger, copy.revision, 0.0, grants
        )

    async def _read_fleet(self) -> Fleet:
        members, vms = await asyncio.gather(
            self._store.get_prefix(keys.MEMBERS, timeout_s=self._kv_timeout_s),
            self._vm_list.fetch(timeout_s=self._kv_timeout_s),
        )
        addresses: dict[str, str] = {}
        if not isinstance(vms, refusal.Refusal):
            addresses |= {
                vm.name: vm.address
                for vm in vms
                if vm.role is vm_list_lib.VmRole.ROUTER
            }
        if isinstance(members, refusal.Refusal):
            return Fleet({**self._last_addresses, **addresses}, False)
        for found in members.entries:
            member = member_lib.decode(found.value)
            process = found.key.removeprefix(keys.MEMBERS)
            addresses[process] = "" if member is None else member.address
        self._last_addresses = addresses
        return Fleet(addresses, not isinstance(vms, refusal.Refusal))

    async def _ask_holders(
        self, ledger: ledger_lib.Ledger, fleet: Fleet
    ) -> dict[str, messages.GrantState]:
        holders = sorted({g.holder for g in ledger.grants.values()})
        answers = await asyncio.gather(
            *(
                self._ask(
                    fleet.address_of(h),
                    messages.GrantQuery(
                        next(self._ask_ids), h, ledger.workspace
                    ),
                )
                for h in holders
            )
        )
        return {
            state.grant_id: state
            for answer in answers
            if isinstance(answer, messages.GrantAnswer)
            for state in answer.grants
        }

    async def _ask(self, address: str, msg: Any) -> Any:
        if not address:
            return None
        return await self._transport.request(
            address, msg, timeout_s=self._router_timeout_s
        )

    async def _report_in_outage(
        self, workspace: str, fleet: Fleet, why: refusal.Refusal
    ) -> budget_report.BudgetReport | refusal.Refusal:
        addresses = sorted({a for a in fleet.addresses.values() if a})
        answers = await asyncio.gather(
            *(
                self._ask(
                    a, messages.ReportRequest(next(self._ask_ids), workspace)
                )
                for a in addresses[:_MAX_ROUTERS_ASKED]
            )
        )
        reports = [
            a for a in answers if isinstance(a, messages.Report) and a.known
        ]
        problem = f"the key-value service can't be reached ({why.reason.value})"
        if not reports:
            return refusal.Refusal(
                reason.Reason.UNAVAILABLE,
                f"{problem}, and none of {len(addresses)} routers has a copy"
                " of the ledger; nothing is known about the budget",
            )
        # A higher revision is newer; of equal ones the narrower is better.
        best = max(
            reports, key=lambda r: (r.revision, r.spent_at_least, -r.age_s)
        )
        age = budget_report.age_text(best.age_s)
        return budget_report.from_router(
            best,
            {},
            f"{problem}; a router's copy of the ledger is shown, read"
            f" {age} ago. Later draws and top-ups are not in it",
        )


def _is_lost(grant: grant_lib.Grant, fleet: Fleet) -> bool:
    return fleet.is_gone(grant.holder) and (
        grant.witness is None or fleet.is_gone(grant.witness)
    )
