"""In-memory fakes of the key-value service, peer transport and membership."""

import asyncio
import random

import attrs
import reactivex
from reactivex import subject

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.router import fleet_source

TIMEOUT = refusal.Refusal(reason.Reason.TIMEOUT, "no reply in time")
UNAVAILABLE = refusal.Refusal(reason.Reason.UNAVAILABLE, "not reachable")


class KvData:
    """State of the key-value service, shared by the stores of all processes."""

    def __init__(self) -> None:
        self.revision = 1
        self.values: dict[str, kv_store.KeyValue] = {}
        self.log: list[kv_store.WatchEvent] = []
        self.watchers: list[asyncio.Queue[kv_store.WatchEvent | None]] = []

    def read(self, prefix: str, exact: bool) -> kv_store.ReadResult:
        found = [
            v
            for k, v in sorted(self.values.items())
            if (k == prefix if exact else k.startswith(prefix))
        ]
        return kv_store.ReadResult(tuple(found), self.revision)

    def write(
        self, key: str, expected: int, value: bytes | None
    ) -> kv_store.CasResult:
        current = self.values.get(key)
        if (0 if current is None else current.revision) != expected:
            return kv_store.CasResult(False, 0, current)
        self.revision += 1
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = kv_store.KeyValue(key, value, self.revision)
        event = kv_store.WatchEvent(key, value, self.revision)
        self.log.append(event)
        for queue in self.watchers:
            queue.put_nowait(event)
        return kv_store.CasResult(True, self.revision)


class FakeKvStore(kv_store.KvStore):
    """One process's client of the key-value service.

    Attributes:
      up: Whether calls reach the service.
      lose_replies: Whether calls take effect but their replies are lost.
      reply_delay_s: Delay of replies and watch events, in seconds.
      watch_silent: Whether watches stay open but deliver nothing.
      calls: Number of calls made.
    """

    def __init__(self, data: KvData) -> None:
        self.data = data
        self.up = True
        self.lose_replies = False
        self.reply_delay_s = 0.0
        self.watch_silent = False
        self.calls = 0
        self._queues: list[asyncio.Queue[kv_store.WatchEvent | None]] = []

    async def _call(self, step, timeout_s):
        self.calls += 1
        await asyncio.sleep(0.001)
        if not self.up:
            return UNAVAILABLE
        result = step()
        if self.lose_replies or self.reply_delay_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return TIMEOUT
        await asyncio.sleep(self.reply_delay_s)
        return result

    async def get(self, key, *, timeout_s):
        return await self._call(lambda: self.data.read(key, True), timeout_s)

    async def get_prefix(self, prefix, *, timeout_s):
        return await self._call(
            lambda: self.data.read(prefix, False), timeout_s
        )

    async def compare_and_swap(
        self, key, expected_revision, value, *, lease_id=0, timeout_s
    ):
        return await self._call(
            lambda: self.data.write(key, expected_revision, value), timeout_s
        )

    async def grant_lease(self, ttl_s, *, timeout_s):
        raise NotImplementedError

    async def keep_alive(self, lease_id, *, timeout_s):
        raise NotImplementedError

    async def revoke_lease(self, lease_id, *, timeout_s):
        raise NotImplementedError

    async def watch(self, prefix, from_revision):
        await asyncio.sleep(0.001)
        if not self.up:
            return
        queue: asyncio.Queue[kv_store.WatchEvent | None] = asyncio.Queue()
        if from_revision:
            for event in self.data.log:
                if event.revision >= from_revision:
                    queue.put_nowait(event)
        self.data.watchers.append(queue)
        self._queues.append(queue)
        try:
            while True:
                event = await queue.get()
                if event is None:
                    return
                await asyncio.sleep(self.reply_delay_s)
                if event.key.startswith(prefix) and not self.watch_silent:
                    yield event
        finally:
            self.data.watchers.remove(queue)
            self._queues.remove(queue)

    def lose_watches(self) -> None:
        """Ends all watches of this process and drops their pending events."""
        for queue in self._queues:
            while not queue.empty():
                queue.get_nowait()
            queue.put_nowait(None)


class Network:
    """Network between the fake transports of all processes.

    Attributes:
      peers: Started transports by address.
      cut: Pairs of addresses whose connection is cut.
    """

    def __init__(self, seed: int = 0) -> None:
        self.peers: dict[str, FakeTransport] = {}
        self.cut: set[frozenset[str]] = set()
        self._random = random.Random(seed)

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cut

    def delay_s(self) -> float:
        return self._random.uniform(0.0005, 0.05)


class FakeTransport(transport_lib.Transport):
    """Peer transport of one process over a `Network`."""

    def __init__(
        self, network: Network, process: incarnation.Incarnation, address: str
    ) -> None:
        self._network = network
        self._process = process
        self.address = address
        self._handlers: dict[type, transport_lib.Handler] = {}

    async def request(self, address, msg, *, timeout_s):
        await asyncio.sleep(self._network.delay_s())
        peer = self._network.peers.get(address)
        if peer is None:
            return UNAVAILABLE
        if self._network.is_cut(self.address, address):
            await asyncio.sleep(timeout_s)
            return TIMEOUT
        handler = peer._handlers.get(type(msg))
        if handler is None:
            return UNAVAILABLE
        reply = await handler(self._process, msg)
        await asyncio.sleep(self._network.delay_s())
        if self._network.is_cut(self.address, address):
            return TIMEOUT
        return reply

    def register(self, msg_type, handler):
        assert msg_type not in self._handlers
        self._handlers[msg_type] = handler

    async def start(self):
        self._network.peers[self.address] = self

    async def close(self):
        if self._network.peers.get(self.address) is self:
            del self._network.peers[self.address]


class FakeFleet(fleet_source.FleetSource):
    """Membership whose view is set by the test."""

    def __init__(self, *routers: fleet_view.RouterMember) -> None:
        self._views = subject.BehaviorSubject(fleet_view.FleetView(routers))

    @property
    def routers(self) -> tuple[fleet_view.RouterMember, ...]:
        return self.view().routers

    @routers.setter
    def routers(self, routers: tuple[fleet_view.RouterMember, ...]) -> None:
        self._views.on_next(fleet_view.FleetView(routers))

    def view(self):
        return self._views.value

    def changes(self):
        changes: reactivex.Observable[fleet_view.FleetView] = self._views
        return changes


@attrs.define
class FakeVmList(vm_list.VmList):
    """VM list whose content is set by the test.

    Attributes:
      vms: VMs currently listed.
      up: Whether the list can be read.
    """

    vms: tuple[vm_list.Vm, ...] = ()
    up: bool = True

    async def fetch(self, *, timeout_s):
        return self.vms if self.up else UNAVAILABLE

    async def close(self):
        pass


def make_vm(name: str, address: str) -> vm_list.Vm:
    """Returns a live VM that runs a router."""
    return vm_list.Vm(
        name,
        address,
        "domain-a",
        "north",
        vm_list.VmRole.ROUTER,
        vm_list.VmState.LIVE,
    )


def make_router_member(
    process: str,
    address: str,
    state: fleet_view.MemberState = fleet_view.MemberState.LIVE,
) -> fleet_view.RouterMember:
    """Returns a router member of a fleet view."""
    return fleet_view.RouterMember(
        incarnation.parse(process), address, "domain-a", "north", state
    )
