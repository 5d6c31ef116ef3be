"""Routers on a virtual clock and a simulated network with faults."""

import asyncio
from collections.abc import Iterable
import random
from typing import Any

import attrs

from hibiscuspass.backends import vm_list
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.core.membership import config
from hibiscuspass.peers import transport
from hibiscuspass.router import fleet_runtime
from tests import virtual_time


class Network:
    """Delays and loses messages with a seeded generator; links can be cut.

    Attributes:
      links: Peer links of the running routers by name.
      cut: Pairs of routers whose link is cut.
      loss: Probability that a message is lost.
      delay_s: Mean delay of a message in seconds.
      messages: Number of messages sent so far.
      rng: Random generator of delays and losses.
    """

    def __init__(self, seed: int) -> None:
        self.links: dict[str, PeerLink] = {}
        self.cut: set[frozenset[str]] = set()
        self.loss = 0.0
        self.delay_s = 0.002
        self.messages = 0
        self.rng = random.Random(seed)

    async def deliver(self, a: str, b: str) -> bool:
        self.messages += 1
        await asyncio.sleep(self.delay_s * self.rng.uniform(0.5, 1.5))
        return (
            frozenset((a, b)) not in self.cut
            and self.rng.random() >= self.loss
            and b in self.links
        )


class PeerLink(transport.Transport):
    """Peer link of one router in the simulated network."""

    def __init__(
        self, network: Network, process: incarnation.Incarnation
    ) -> None:
        self._network = network
        self._process = process
        self._handler: Any = None
        network.links[process.name] = self

    async def request(
        self, address: str, msg: Any, *, timeout_s: float
    ) -> Any | refusal.Refusal:
        lost = refusal.Refusal(reason_lib.Reason.TIMEOUT)
        own, peer = self._process.name, address
        begin_s = virtual_time.now_s()
        if await self._network.deliver(own, peer):
            node = self._network.links[peer]
            reply = await node._handler(self._process, msg)
            if await self._network.deliver(peer, own):
                return reply
        await asyncio.sleep(timeout_s - (virtual_time.now_s() - begin_s))
        return lost

    def register(self, msg_type: type, handler: transport.Handler) -> None:
        self._handler = handler

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass


class FakeVmList(vm_list.VmList):
    """The VM list as one router reads it; `down` makes reads fail."""

    def __init__(self, vms: dict[str, vm_list.Vm]) -> None:
        self.vms = vms
        self.down = False

    async def fetch(
        self, *, timeout_s: float
    ) -> tuple[vm_list.Vm, ...] | refusal.Refusal:
        if self.down:
            return refusal.Refusal(reason_lib.Reason.UNAVAILABLE)
        return tuple(self.vms.values())

    async def close(self) -> None:
        pass


def _vm(name: str, role: vm_list.VmRole) -> vm_list.Vm:
    return vm_list.Vm(name, name, "fd0", "r", role, vm_list.VmState.LIVE)


class Fleet:
    """Routers `r0`, `r1`, ..., engines `e0` and `e1`, and service `s0`."""

    def __init__(self, size: int, seed: int = 0) -> None:
        self.network = Network(seed)
        vms = [_vm(f"r{n}", vm_list.VmRole.ROUTER) for n in range(size)]
        vms += [_vm(f"e{n}", vm_list.VmRole.ENGINE) for n in range(2)]
        vms += [_vm("s0", vm_list.VmRole.SERVICE)]
        self.listed = {vm.name: vm for vm in vms}
        self.lists: dict[str, FakeVmList] = {}
        self.runtimes: dict[str, fleet_runtime.FleetRuntime] = {}
        self.size = size

    async def start(self) -> "Fleet":
        for n in range(self.size):
            await self.start_router(f"r{n}")
        await asyncio.sleep(3.0)
        return self

    async def start_router(self, name: str, start_id: str = "a") -> None:
        process = incarnation.Incarnation(name, start_id)
        self.lists[name] = FakeVmList(dict(self.listed))
        self.runtimes[name] = fleet_runtime.make_fleet_runtime(
            config.MembershipConfig(),
            process,
            PeerLink(self.network, process),
            self.lists[name],
            peer_address=name,
            failure_domain="fd0",
            region="r",
            seed=len(self.runtimes),
            monotonic=virtual_time.now_s,
        )
        await self.runtimes[name].start()

    async def kill(self, name: str) -> None:
        del self.network.links[name]
        await self.runtimes.pop(name).close()

    async def close(self) -> None:
        for runtime in self.runtimes.values():
            await runtime.close()

    def accepts(self, router: str, backend: str) -> bool:
        backends = self.runtimes[router].view().backends
        return any(b.vm.name == backend and b.accepts_work for b in backends)

    def state(self, router: str, other: str, start_id: str = "a") -> Any:
        inc = incarnation.Incarnation(other, start_id)
        members = self.runtimes[router].view().routers
        return next((m.state for m in members if m.incarnation == inc), None)

    def set_list(self, router: str, backend: str, state: Any) -> None:
        vms = self.lists[router].vms
        vms[backend] = attrs.evolve(vms[backend], state=state)

    async def seconds_until_refused(
        self, backend: str, routers: Iterable[str] = ()
    ) -> float:
        begin_s = virtual_time.now_s()
        names = tuple(routers or self.runtimes)
        while any(self.accepts(r, backend) for r in names):
            assert virtual_time.now_s() - begin_s < 30.0
            await asyncio.sleep(0.01)
        return virtual_time.now_s() - begin_s
