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
_ROUNDS_PER_REGISTRATION_CHECK = 15


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
        self._advertising_peers: dict[str, str] = {}
        # Routers that this one must name: registration seen yet or not.
        self._advertised: dict[str, str] = {}
        self._seen_registrations: set[str] = set()

    @property
    def is_registered(self) -> bool:
        """Whether the registration is known to be stored."""
        return self._registered

    @property
    def is_discoverable(self) -> bool:
        """Whether this router may read configuration."""
        return self._registered or bool(self._advertising_peers)

    def config_peer_addresses(self) -> tuple[str, ...]:
        """Returns the peers that configuration may be copied from.

        A router without registration copies from its sponsors only: a sponsor
        either had acknowledged a change before it learnt of this router, and
        then passes the change on, or names this router when it acknowledges.
        """
        if self._registered:
            return tuple(r.peer_address for r in self._peers())
        return tuple(self._advertising_peers.values())

    def advertised_routers(self) -> tuple[messages.KnownRouter, ...]:
        """Returns the routers to name in acknowledgements."""
        gone = {
            str(r.incarnation)
            for r in self._ctx.fleet.view().routers
            if r.state is fleet_view.MemberState.GONE
        }
        for process in gone & self._advertised.keys():
            del self._advertised[process]
        named = {
            str(r.incarnation): r.peer_address for r in self._peers()
        } | self._advertised
        named[str(self._ctx.process)] = self._ctx.member.address
        return tuple(
            messages.KnownRouter(p, a) for p, a in sorted(named.items())
        )

    def advertise(self, routers: Iterable[messages.KnownRouter]) -> None:
        """Names routers in acknowledgements from now on."""
        self._advertised.update(
            (r.process, r.address)
            for r in routers
            if r.process != str(self._ctx.process)
        )

    async def make_discoverable(self) -> bool:
        """Registers, or finds sponsors while that is not possible."""
        if not self._registered:
            self._registered = await self._register(
                str(self._ctx.process), self._ctx.member
            )
            if self._registered:
                await self._remove_earlier_registrations()
        if not self._registered:
            await self._find_advertising_peers()
        return self.is_discoverable

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
        await self.make_discoverable()
        if self._registered:
            for process, address in list(self._advertised.items()):
                await self._maintain_advertised(process, address)
        return True

    async def _check_registration(self) -> bool:
        self._rounds += 1
        if (
            not self._registered
            or self._rounds % _ROUNDS_PER_REGISTRATION_CHECK
        ):
            return True
        stored = await self._is_stored(keys.member(str(self._ctx.process)))
        if stored is not False:
            return True
        _log.warning("registration has been ended; registering again")
        # Sponsors of an earlier outage may have stopped naming this router.
        self._advertising_peers.clear()
        self._registered = False
        return False

    async def leave(self) -> None:
        """Ends the registration of a router that serves no more requests.

        The registration stays if a sponsored router could not be handed to
        another one; a change then stays pending until the VM is gone.
        """
        if not await self._hand_over_advertised():
            _log.warning(
                "registration kept: no peer took over the sponsored routers",
                sponsored=sorted(self._advertised),
            )
            return
        await self._delete_registration(str(self._ctx.process))

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

    async def _remove_earlier_registrations(self) -> None:
        prefix = keys.member(f"{self._ctx.process.name}/")
        read = await self._ctx.store.get_prefix(
            prefix, timeout_s=self._ctx.kv_timeout_s
        )
        if isinstance(read, refusal.Refusal):
            return
        for stored in read.entries:
            if stored.key != keys.member(str(self._ctx.process)):
                await self._ctx.store.compare_and_swap(
                    stored.key,
                    stored.revision,
                    None,
                    timeout_s=self._ctx.kv_timeout_s,
                )

    async def _find_advertising_peers(self) -> None:
        own = messages.KnownRouter(
            str(self._ctx.process), self._ctx.member.address
        )
        peers = [r.peer_address for r in self._peers()]
        answers = await asyncio.gather(
            *(self._request_advertising(a, (own,)) for a in peers)
        )
        self._advertising_peers.update(
            (ack.process, address)
            for address, ack in zip(peers, answers, strict=True)
            if ack is not None
        )

    async def _request_advertising(
        self, address: str, routers: tuple[messages.KnownRouter, ...]
    ) -> messages.ConfigAck | None:
        reply = await self._ctx.transport.request(
            address,
            messages.ConfigHello(routers),
            timeout_s=self._ctx.peer_timeout_s,
        )
        return reply if isinstance(reply, messages.ConfigAck) else None

    async def _maintain_advertised(self, process: str, address: str) -> None:
        if process not in self._seen_registrations:
            member = member_lib.Member(address, "", "")
            if await self._register(process, member):
                self._seen_registrations.add(process)
            return
        # The registration is the authority once it is stored. If it is gone
        # again, the router has stopped.
        if await self._is_stored(keys.member(process)) is False:
            self._seen_registrations.discard(process)
            self._advertised.pop(process, None)

    async def _hand_over_advertised(self) -> bool:
        routers = tuple(
            messages.KnownRouter(p, a)
            for p, a in self._advertised.items()
            if p not in self._seen_registrations
        )
        if not routers:
            return True
        answers = [
            await self._request_advertising(r.peer_address, routers)
            for r in self._peers()
        ]
        return any(a is not None for a in answers)

    async def _delete_registration(self, process: str) -> None:
        key = keys.member(process)
        read = await self._ctx.store.get(key, timeout_s=self._ctx.kv_timeout_s)
        if isinstance(read, refusal.Refusal):
            return
        for stored in read.entries:
            await self._ctx.store.compare_and_swap(
                key,
                stored.revision,
                None,
                timeout_s=self._ctx.kv_timeout_s,
            )
