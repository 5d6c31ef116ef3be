"""Simulates configuration changes in a fleet of routers with faults.

Checks that each change that the administration program reported as accepted is
served by all routers.
"""

import asyncio

import attrs

from hibiscuspass.admin import change_status
from hibiscuspass.admin import config_store
from hibiscuspass.admin import registrations
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.router import config_runtime
from hibiscuspass.settings import config_sync
from hibiscuspass.settings import process as process_lib
from hibiscuspass.telemetry import recorder as recorder_lib
from tests import config_fakes

WORKSPACES = ("bakery", "laundry")
_KV_TIMEOUT_S = 3.0


@attrs.define
class Router:
    """One running router.

    Attributes:
      process: Incarnation of the router.
      runtime: Configuration runtime, the code under test.
      store: Client of the key-value service.
      transport: Peer transport.
      view: Membership as this router sees it.
      served: Highest revision served per workspace.
    """

    process: incarnation.Incarnation
    runtime: config_runtime.ConfigRuntime
    store: config_fakes.FakeKvStore
    transport: config_fakes.FakeTransport
    view: config_fakes.FakeFleet
    served: dict[str, int] = attrs.field(factory=dict)


class Simulation:
    """Routers in numbered slots, operators and an administration program.

    Public coroutine methods are the steps of a scenario; see `apply`.

    Args:
      mutate: Called with each new runtime; may inject a fault to show that the
        checks detect it.
    """

    def __init__(self, mutate=lambda runtime: None):
        self._mutate = mutate
        self.data = config_fakes.KvData()
        self.network = config_fakes.Network()
        self.routers: dict[int, Router] = {}
        self.accepted = dict.fromkeys(WORKSPACES, 0)
        self.statuses = 0
        self.reversions: list[str] = []
        self._background_uses: list[asyncio.Task[None]] = []
        self._starts = 0
        self._names: dict[int, str] = {}
        self._admin_store = config_fakes.FakeKvStore(self.data)
        self._vm_list = config_fakes.FakeVmList()
        admin = incarnation.Incarnation("admin", "1")
        transport = config_fakes.FakeTransport(self.network, admin, "admin:1")
        self._config_store = config_store.ConfigStore(
            self._admin_store, _KV_TIMEOUT_S
        )
        self._tracker = change_status.ChangeTracker(
            self._admin_store, self._vm_list, transport, _KV_TIMEOUT_S, 0.5
        )
        self._janitor = registrations.RegistrationJanitor(
            self._admin_store,
            self._vm_list,
            recorder_lib.Recorder(admin),
            _KV_TIMEOUT_S,
        )

    async def apply(self, step):
        """Runs one step of the form `(method name, *arguments)`."""
        name, *args = step
        await getattr(self, name)(*args)
        assert not self.reversions, self.reversions

    async def start(self, slot, up, replace):
        """Starts a router after aborting the one that runs in the slot.

        Args:
          slot: Slot of the router.
          up: Whether the router reaches the key-value service.
          replace: Whether it runs on a new VM, with a new name.
        """
        await self._end(slot, graceful=False)
        self._starts += 1
        if replace or slot not in self._names:
            self._names[slot] = f"r{slot}-{self._starts}"
        process = incarnation.Incarnation(self._names[slot], str(self._starts))
        address = f"{process.name}:1"
        store = config_fakes.FakeKvStore(self.data)
        store.up = up
        transport = config_fakes.FakeTransport(self.network, process, address)
        view = config_fakes.FakeFleet()
        runtime = config_runtime.make_config_runtime(
            process=process,
            place=process_lib.ProcessSettings(
                process.name, "127.0.0.1", "domain-a", "north"
            ),
            peer_address=address,
            store=store,
            transport=transport,
            fleet=view,
            recorder=recorder_lib.Recorder(process),
            cfg=config_sync.ConfigSyncSettings(
                max_workspaces=1, poll_interval_s=0.5
            ),
            kv_timeout_s=_KV_TIMEOUT_S,
        )
        self._mutate(runtime)
        await transport.start()
        self.routers[slot] = Router(process, runtime, store, transport, view)
        self._refresh_view(slot)
        runtime.changes().subscribe(self._make_reversion_check(str(process)))
        await runtime.start()

    def _make_reversion_check(self, process):
        highest = {}

        def check(entry):
            last = highest.setdefault(entry.name, entry.revision)
            if entry.revision < last:
                self.reversions.append(
                    f"{process} applied {entry.revision} of {entry.name}"
                    f" after {last}"
                )
            highest[entry.name] = max(last, entry.revision)

        return check

    async def stop(self, slot):
        """Stops a router gracefully."""
        await self._end(slot, graceful=True)

    async def write(self, workspace, operators):
        """Operators concurrently change the same revision of a workspace."""
        seen = await self._config_store.workspaces.get(workspace)
        if isinstance(seen, refusal.Refusal):
            return
        revision = 0 if seen is None else seen.revision
        outcomes = await asyncio.gather(
            *(
                self._config_store.workspaces.put(
                    workspace,
                    revision,
                    record.Record(
                        workspace_lib.Workspace(workspace, priority=operator)
                    ),
                )
                for operator in range(operators)
            )
        )
        stored = [o for o in outcomes if isinstance(o, config_store.Stored)]
        conflicts = [
            o for o in outcomes if isinstance(o, config_store.Conflict)
        ]
        assert len(stored) <= 1, "two changes won one race"
        assert all(c.current is not None for c in conflicts)

    async def delete(self, workspace):
        """An operator deletes a workspace."""
        seen = await self._config_store.workspaces.get(workspace)
        if isinstance(seen, config_store.Stored):
            await self._config_store.workspaces.delete(workspace, seen.revision)

    async def status(self, workspace):
        """Queries the status of a change.

        If the change is accepted, checks at once that all routers serve it.
        """
        status = await self._tracker.check(workspace)
        if isinstance(status, refusal.Refusal) or not status.accepted:
            return
        self.statuses += 1
        self.accepted[workspace] = max(
            self.accepted[workspace], status.revision
        )
        for slot in list(self.routers):
            await self.use(slot, workspace)

    async def use(self, slot, workspace):
        """A request uses a workspace on a router; checks the revision."""
        router = self.routers.get(slot)
        if router is None:
            return
        accepted = self.accepted[workspace]
        loaded = await router.runtime.load(workspace)
        if isinstance(loaded, refusal.Refusal):
            return
        revision = router.runtime.revision(workspace)
        if revision == 0:
            return
        assert revision >= accepted, (
            f"{router.process} serves {workspace} at {revision}, but"
            f" {accepted} was accepted"
        )
        assert revision >= router.served.get(workspace, 0), (
            f"{router.process} went back to {revision} of {workspace}"
        )
        router.served[workspace] = revision

    async def begin_use(self, slot, workspace):
        """A request begins to use a workspace while the next steps run."""
        self._background_uses.append(
            asyncio.create_task(self.use(slot, workspace))
        )
        await asyncio.sleep(0.01)

    async def link(self, slot, up, lose_replies, delay_s):
        """Sets the faults between a router and the key-value service."""
        router = self.routers.get(slot)
        if router is not None:
            router.store.up = up
            router.store.lose_replies = lose_replies
            router.store.reply_delay_s = delay_s

    async def outage(self):
        """Cuts all routers off from the key-value service and ends watches."""
        for slot, router in self.routers.items():
            await self.link(slot, False, False, 0.0)
            router.store.lose_watches()

    async def lose_watch(self, slot, silent):
        """Ends a router's watches; if `silent`, new ones deliver nothing."""
        router = self.routers.get(slot)
        if router is not None:
            router.store.watch_silent = silent
            router.store.lose_watches()

    async def cut(self, slot, other):
        """Cuts a router off from another one.

        If the other slot is empty, cuts it off from the administration program.
        """
        one = self.routers.get(slot)
        peer = self.routers.get(other)
        if one is not None:
            address = peer.transport.address if peer else "admin:1"
            self.network.cut.add(frozenset((one.transport.address, address)))

    async def isolate(self, slot):
        """Cuts a router off from everything but its callers."""
        for other in range(4):
            if other != slot:
                await self.cut(slot, other)
        await self.link(slot, False, False, 0.0)
        await self.lose_watch(slot, False)

    async def gossip(self):
        """Updates the membership views of all routers."""
        for slot in self.routers:
            self._refresh_view(slot)

    async def update_vm_list(self):
        """Updates the VM list, which otherwise lags behind."""
        self._vm_list.vms = tuple(
            config_fakes.make_vm(r.process.name, r.transport.address)
            for r in self.routers.values()
        )
        await self._janitor.compare()

    async def wait(self, seconds):
        """Advances the virtual time."""
        await asyncio.sleep(seconds)

    async def heal(self):
        """Ends all faults and waits until the fleet has recovered."""
        self.network.cut.clear()
        for slot, router in self.routers.items():
            router.store.watch_silent = False
            await self.link(slot, True, False, 0.0)
        await self.gossip()
        await asyncio.sleep(5)
        for _ in range(2):
            await self.update_vm_list()
        # The janitor can't remove a router that crashed before the VM list
        # contained its VM, so an operator removes its registration. The peers
        # that advertise the router notice this and stop.
        running = {str(r.process) for r in self.routers.values()}
        for key in list(self.data.values):
            process = key.removeprefix(keys.MEMBERS)
            if key.startswith(keys.MEMBERS) and process not in running:
                assert await self._janitor.forget(process) is True
        await asyncio.sleep(5)

    async def check_convergence(self):
        """Checks that changes are accepted and served after all faults."""
        await self.heal()
        for done in await asyncio.gather(
            *self._background_uses, return_exceptions=True
        ):
            # A load is cancelled when its router stops.
            if not isinstance(done, (asyncio.CancelledError, type(None))):
                raise done
        for workspace in WORKSPACES:
            await self.write(workspace, 1)
            status = await self._tracker.check(workspace)
            assert status.accepted, status
            self.accepted[workspace] = status.revision
            for slot in list(self.routers):
                await self.use(slot, workspace)

    async def end(self):
        """Aborts all routers and cancels pending uses."""
        for slot in list(self.routers):
            await self._end(slot, graceful=False)
        for task in self._background_uses:
            task.cancel()
        await asyncio.gather(*self._background_uses, return_exceptions=True)

    async def _end(self, slot, graceful):
        router = self.routers.pop(slot, None)
        if router is None:
            return
        if graceful:
            await router.runtime.stop()
        else:
            await router.runtime.abort()
        await router.transport.close()

    def _refresh_view(self, slot):
        self.routers[slot].view.routers = tuple(
            config_fakes.make_router_member(str(r.process), r.transport.address)
            for r in self.routers.values()
        )
