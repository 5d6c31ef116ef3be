"""Gathers budget reports from ledgers, holders and other routers."""

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

# Limit on routers asked for their ledger copy while the key-value service is
# unavailable.
_MAX_ROUTERS_ASKED = 8


@attrs.frozen
class KnownRouters:
    """Routers in the registrations and the VM list.

    Attributes:
      addresses: Peer link address by `name/start_id` for registrations and by
        name for listed VMs.
      is_complete: Whether both sources could be read. Only then has a router
        that is in neither of them certainly ended.
    """

    addresses: dict[str, str]
    is_complete: bool

    def address_of(self, router: incarnation.Incarnation) -> str:
        """Returns a router's peer link address, empty if it is unknown."""
        return self.addresses.get(
            str(router), self.addresses.get(router.name, "")
        )

    def is_gone(self, router: incarnation.Incarnation) -> bool:
        """Returns whether an incarnation of a router has certainly ended.

        A registration lasts until the router shuts down gracefully, its VM is
        gone, or the next incarnation with the same name starts. An
        incarnation without registration may still run on a listed VM unless
        a later incarnation with its name is registered.
        """
        if not self.is_complete or str(router) in self.addresses:
            return False
        is_replaced = any(
            p.startswith(f"{router.name}/") for p in self.addresses
        )
        return is_replaced or router.name not in self.addresses


class ReportGatherer:
    """Builds budget reports."""

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
        # Used while the key-value service is unavailable and registrations
        # can't be read.
        self._last_addresses: dict[str, str] = {}

    async def report(
        self, workspace: str
    ) -> budget_report.BudgetReport | refusal.Refusal:
        """Reports the current budget of a workspace.

        Returns:
          The report, or a refusal if neither the key-value service nor any
          router with a copy of the ledger can be reached.
        """
        # The ledger is read first. The answers of holders then include all
        # permits issued before that read, and every holder in the ledger is
        # already registered when registrations are read.
        ledger_copy = await self._ledgers.read(workspace)
        known_routers = await self._read_routers()
        if isinstance(ledger_copy, refusal.Refusal):
            return await self._report_in_outage(
                workspace, known_routers, ledger_copy
            )
        states = await self._ask_holders(ledger_copy.ledger, known_routers)
        grants = tuple(
            budget_report.view_grant(
                g, states.get(g.id), _is_lost(g, known_routers)
            )
            for g in ledger_copy.ledger.grants.values()
        )
        return budget_report.make_report(
            ledger_copy.ledger, ledger_copy.revision, 0.0, grants
        )

    async def _read_routers(self) -> KnownRouters:
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
            return KnownRouters({**self._last_addresses, **addresses}, False)
        for kv_entry in members.entries:
            member = member_lib.decode(kv_entry.value)
            process = kv_entry.key.removeprefix(keys.MEMBERS)
            addresses[process] = "" if member is None else member.address
        self._last_addresses = addresses
        return KnownRouters(addresses, not isinstance(vms, refusal.Refusal))

    async def _ask_holders(
        self, ledger: ledger_lib.Ledger, known_routers: KnownRouters
    ) -> dict[str, messages.GrantState]:
        holders = sorted({g.holder for g in ledger.grants.values()})
        answers = await asyncio.gather(
            *(
                self._ask(
                    known_routers.address_of(h),
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
        self,
        workspace: str,
        known_routers: KnownRouters,
        cause: refusal.Refusal,
    ) -> budget_report.BudgetReport | refusal.Refusal:
        addresses = sorted({a for a in known_routers.addresses.values() if a})
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
        problem = (
            f"the key-value service can't be reached ({cause.reason.value})"
        )
        if not reports:
            return refusal.Refusal(
                reason.Reason.UNAVAILABLE,
                f"{problem}, and none of {len(addresses)} routers has a copy"
                " of the ledger; nothing is known about the budget",
            )
        # A higher revision is newer; of equal revisions, the report with the
        # narrower bounds is preferred.
        newest = max(
            reports, key=lambda r: (r.revision, r.spent_at_least, -r.age_s)
        )
        age = budget_report.format_age(newest.age_s)
        return budget_report.from_router(
            newest,
            {},
            f"{problem}; a router's copy of the ledger is shown, read"
            f" {age} ago. Later draws and top-ups are not in it",
        )


def _is_lost(grant: grant_lib.Grant, known_routers: KnownRouters) -> bool:
    return known_routers.is_gone(grant.holder) and (
        grant.witness is None or known_routers.is_gone(grant.witness)
    )
