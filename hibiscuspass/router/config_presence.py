"""Makes a router discoverable before it reads configuration.

A configuration change is accepted once every discoverable router has
acknowledged it. A router is discoverable if it is registered in the key-value
service or if a peer advertises it, that is, lists it in the acknowledgements
that the peer sends.
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

# Calls of `maintain` between two checks of this router's registration. One
# read per router every half minute is a small load for the key-value service.
_CALLS_PER_REGISTRATION_CHECK = 15


@attrs.frozen
class PresenceContext:
    """Dependencies and time limits of `Presence`.

    Attributes:
      process: Incarnation of this router.
      member: Value that this router registers in the key-value service.
      store: Key-value service.
      transport: Transport for requests to peers.
      fleet: Current view of the routers.
      kv_timeout_s: Time limit of one call to the key-value service.
      peer_timeout_s: Time limit of one request to a peer.
    """

    process: incarnation.Incarnation
    member: member_lib.Member
    store: kv_store.KvStore
    transport: transport_lib.Transport
    fleet: fleet_source.FleetSource
    kv_timeout_s: float
    peer_timeout_s: float


class Presence:
    """Manages the registration of this router and the advertising of others.

    While the key-value service can't be reached, this router asks its peers to
    advertise it. In turn it advertises the peers that asked for it, and
    registers them if they can't do so themselves.
    """

    def __init__(self, ctx: PresenceContext) -> None:
        self._ctx = ctx
        self._registered = False
        self._maintain_calls = 0
        self._advertising_peers: dict[str, str] = {}
        # Addresses by process, whether or not the router is registered yet.
        self._advertised: dict[str, str] = {}
        self._seen_registrations: set[str] = set()

    @property
    def is_registered(self) -> bool:
        """Whether the registration of this router has been confirmed."""
        return self._registered

    @property
    def is_discoverable(self) -> bool:
        """Whether this router may read configuration."""
        return self._registered or bool(self._advertising_peers)

    def config_peer_addresses(self) -> tuple[str, ...]:
        """Returns addresses of peers that configuration may be copied from.

        An unregistered router copies only from the peers that advertise it.
        For each change, such a peer has either acknowledged it before it began
        to advertise this router, and then its copy contains the change, or it
        lists this router when it acknowledges the change.
        """
        if self._registered:
            return tuple(r.peer_address for r in self._peers())
        return tuple(self._advertising_peers.values())

    def advertised_routers(self) -> tuple[messages.KnownRouter, ...]:
        """Returns the routers to list in acknowledgements.

        These are this router, its peers that are not certainly gone, and the
        routers that asked to be advertised.
        """
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
        """Adds routers to those listed in acknowledgements."""
        self._advertised.update(
            (r.process, r.address)
            for r in routers
            if r.process != str(self._ctx.process)
        )

    async def make_discoverable(self) -> bool:
        """Registers this router, or asks peers to advertise it.

        Returns:
          Whether this router is discoverable.
        """
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
        """Maintains the registrations of this and the advertised routers.

        Returns:
          False if the registration of this router had been removed, for
          example because the VM list omitted a VM that still runs. Changes may
          have been accepted without this router, so the caller must drop all
          loaded configuration.
        """
        if not await self._check_registration():
            # The next call registers again, after the caller has dropped the
            # loaded configuration.
            return False
        await self.make_discoverable()
        if self._registered:
            for process, address in list(self._advertised.items()):
                await self._maintain_advertised(process, address)
        return True

    async def _check_registration(self) -> bool:
        self._maintain_calls += 1
        if (
            not self._registered
            or self._maintain_calls % _CALLS_PER_REGISTRATION_CHECK
        ):
            return True
        stored = await self._is_stored(keys.member(str(self._ctx.process)))
        if stored is not False:
            return True
        _log.warning("registration was removed; registering again")
        # Peers that advertised this router during an earlier outage may have
        # stopped doing so.
        self._advertising_peers.clear()
        self._registered = False
        return False

    async def leave(self) -> None:
        """Removes the registration of this router after its last request.

        The registration stays if no peer agreed to advertise the unregistered
        routers that this one advertises. Without it, changes could be accepted
        without those routers; with it, changes stay pending until the VM of
        this router is gone.
        """
        if not await self._hand_over_advertised():
            _log.warning(
                "registration kept: no peer took over the advertised routers",
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
            # If the key already exists, its value is this registration,
            # written by an attempt whose reply was lost or by an advertising
            # peer.
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
        # Once the router is registered, only the stored registration counts.
        # If it has been removed, the router has stopped.
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
