"""Makes a router known before it reads configuration.

A change is accepted once every known router has acknowledged it. A router is
known if it is registered at the key-value service or if a peer, its sponsor,
names it in acknowledgements.
"""

import asyncio
from collections.abc import Iterable

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.core import incarnation
from hibiscuspass.core import reason
from hibiscuspass.core import refusal
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import member as member_lib
from hibiscuspass.core.configuration import messages
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.router import fleet_source
from hibiscuspass.telemetry import logs

_log = logs.get_logger(__name__)

# Rounds of `maintain` between two looks at the own registration; one read per
# router and half a minute is little for the key-value service.
_ROUNDS_PER_CHECK = 15


@attrs.frozen
class PresenceContext:
    """What presence works with.

    Attributes:
      process: This router.
      member: Its registration.
      store: Key-value service.
      transport: Peer links.
      fleet: Known routers.
      kv_timeout_s: Time limit of one call of the key-value service.
      peer_timeout_s: Time limit of one peer's answer.
    """

    process: incarnation.Incarnation
    member: member_lib.Member
    store: kv_store.KvStore
    transport: transport_lib.Transport
    fleet: fleet_source.FleetSource
    kv_timeout_s: float
    peer_timeout_s: float


class Presence:
    """Registration, sponsors, and the routers that this one sponsors."""

    def __init__(self, ctx: PresenceContext) -> None:
        self._ctx = ctx
        self._registered = False
        self._rounds = 0
        self._sponsors: dict[str, str] = {}
        # Routers that this one must name: registration seen yet or not.
        self._sponsored: dict[str, str] = {}
        self._seen_registered: set[str] = set()

    @property
    def is_registered(self) -> bool:
        """Whether the registration is known to be stored."""
        return self._registered

    @property
    def is_known(self) -> bool:
        """Whether this router may read configuration."""
        return self._registered or bool(self._sponsors)

    def copy_addresses(self) -> tuple[str, ...]:
        """Returns the peers that configuration may be copied from.

        A router without registration copies from its sponsors only: a sponsor
        either had acknowledged a change before it learnt of this router, and
        then passes the change on, or names this router when it acknowledges.
        """
        if self._registered:
            return tuple(r.peer_address for r in self._peers())
        return tuple(self._sponsors.values())

    def known_routers(self) -> tuple[messages.KnownRouter, ...]:
        """Returns the routers to name in acknowledgements."""
        gone = {
            str(r.incarnation)
            for r in self._ctx.fleet.view().routers
            if r.state is fleet_view.MemberState.GONE
        }
        for process in gone & self._sponsored.keys():
            del self._sponsored[process]
        named = {
            str(r.incarnation): r.peer_address for r in self._peers()
        } | self._sponsored
        named[str(self._ctx.process)] = self._ctx.member.address
        return tuple(
            messages.KnownRouter(p, a) for p, a in sorted(named.items())
        )

    def sponsor(self, routers: Iterable[messages.KnownRouter]) -> None:
        """Names routers in acknowledgements from now on."""
        self._sponsored.update(
            (r.process, r.address)
            for r in routers
            if r.process != str(self._ctx.process)
        )

    async def make_known(self) -> bool:
        """Registers, or finds sponsors while that is not possible."""
        if not self._registered:
            self._registered = await self._register(
                str(self._ctx.process), self._ctx.member
            )
            if self._registered:
                await self._remove_predecessors()
        if not self._registered:
            await self._greet_peers()
        return self.is_known

    async def maintain(self) -> bool:
        """Registers this router and sponsored ones that can't do so.

        Returns:
          False if the registration had been ended, for example because the VM
          list had dropped a VM that still runs. Changes may have been accepted
          without this router, so what it has loaded is of no use.
        """
        if not await self._check_registration():
            # Registered again in the next round, when nothing is loaded.
            return False
        await self.make_known()
        if self._registered:
            for process, address in list(self._sponsored.items()):
                await self._maintain_sponsored(process, address)
        return True

    async def _check_registration(self) -> bool:
        self._rounds += 1
        if not self._registered or self._rounds % _ROUNDS_PER_CHECK:
            return True
        stored = await self._is_stored(keys.member(str(self._ctx.process)))
        if stored is not False:
            return True
        _log.warning("registration has been ended; registering again")
        # Sponsors of an earlier outage may have stopped naming this router.
        self._sponsors.clear()
        self._registered = False
        return False

    async def leave(self) -> None:
        """Ends the registration of a router that serves no more requests.

        The registration stays if a sponsored router could not be handed to
        another one; a change then stays pending until the VM is gone.
        """
        if not await self._hand_over():
            _log.warning(
                "registration kept: no peer took over the sponsored routers",
                sponsored=sorted(self._sponsored),
            )
            return
        await self._delete(str(self._ctx.process))

    def _peers(self) -> list[fleet_view.RouterMember]:
        return [
            r
            for r in self._ctx.fleet.view().routers
            if r.state is not fleet_view.MemberState.GONE
            and r.incarnation.name != self._ctx.process.name
        ]

    async def _register(self, process: str, member: member_lib.Member) -> bool:
        key = keys.member(process)
        written = await self._ctx.store.compare_and_swap(
            key,
            0,
            member_lib.encode(member),
            timeout_s=self._ctx.kv_timeout_s,
        )
        if isinstance(written, kv_store.CasResult):
            # A value in the way is this registration, written by an attempt
            # whose reply was lost or by a sponsor.
            return True
        if written.reason is reason.Reason.TIMEOUT:
            return await self._is_stored(key) is True
        return False

    async def _is_stored(self, key: str) -> bool | refusal.Refusal:
        read = await self._ctx.store.get(key, timeout_s=self._ctx.kv_timeout_s)
        if isinstance(read, refusal.Refusal):
            return read
        return bool(read.entries)

    async def _remove_predecessors(self) -> None:
        prefix = keys.member(f"{self._ctx.process.name}/")
        read = await self._ctx.store.get_prefix(
            prefix, timeout_s=self._ctx.kv_timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return
        for found in read.entries:
            if found.key != keys.member(str(self._ctx.process)):
                await self._ctx.store.compare_and_swap(
                    found.key,
                    found.revision,
                    None,
                    timeout_s=self._ctx.kv_timeout_s,
                )

    async def _greet_peers(self) -> None:
        own = messages.KnownRouter(
            str(self._ctx.process), self._ctx.member.address
        )
        peers = [r.peer_address for r in self._peers()]
        answers = await asyncio.gather(*(self._greet(a, (own,)) for a in peers))
        self._sponsors.update(
            (ack.process, address)
            for address, ack in zip(peers, answers, strict=True)
            if ack is not None
        )

    async def _greet(
        self, address: str, routers: tuple[messages.KnownRouter, ...]
    ) -> messages.ConfigAck | None:
        reply = await self._ctx.transport.request(
            address,
            messages.ConfigHello(routers),
            timeout_s=self._ctx.peer_timeout_s,
        )
        return reply if isinstance(reply, messages.ConfigAck) else None

    async def _maintain_sponsored(self, process: str, address: str) -> None:
        if process not in self._seen_registered:
            member = member_lib.Member(address, "", "")
            if await self._register(process, member):
                self._seen_registered.add(process)
            return
        # The registration is the authority once it is stored. If it is gone
        # again, the router has stopped.
        if await self._is_stored(keys.member(process)) is False:
            self._seen_registered.discard(process)
            self._sponsored.pop(process, None)

    async def _hand_over(self) -> bool:
        routers = tuple(
            messages.KnownRouter(p, a)
            for p, a in self._sponsored.items()
            if p not in self._seen_registered
        )
        if not routers:
            return True
        answers = [
            await self._greet(r.peer_address, routers) for r in self._peers()
        ]
        return any(a is not None for a in answers)

    async def _delete(self, process: str) -> None:
        key = keys.member(process)
        read = await self._ctx.store.get(key, timeout_s=self._ctx.kv_timeout_s)
        if isinstance(read, refusal.Refusal):
            return
        for found in read.entries:
            await self._ctx.store.compare_and_swap(
                key,
                found.revision,
                None,
                timeout_s=self._ctx.kv_timeout_s,
            )
