"""Clients of the backend servers in the fleet view."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from hibiscuspass.backends import engine
from hibiscuspass.backends import service
from hibiscuspass.backends import vm_list
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.router import fleet_source

Backend = engine.Engine | service.Service
EngineFactory = Callable[[vm_list.Vm], engine.Engine]
ServiceFactory = Callable[[vm_list.Vm], service.Service]


@attrs.frozen
class _CachedClient:
    """A client and the address that it connects to."""

    address: str
    backend: Backend


class BackendPool:
    """Keeps one client per backend server.

    Clients of servers that left the fleet view or changed their address stay
    open until the pool is closed, since their streams may still be running.
    """

    def __init__(
        self,
        fleet: fleet_source.FleetSource,
        make_engine: EngineFactory,
        make_service: ServiceFactory,
    ) -> None:
        self._make_engine = make_engine
        self._make_service = make_service
        self._members: dict[str, fleet_view.BackendMember] = {}
        self._clients: dict[str, _CachedClient] = {}
        self._replaced: list[Backend] = []
        self._subscription = fleet.changes().subscribe(self._on_view)

    def engine(self, name: str) -> engine.Engine | None:
        """Returns the client of an engine, or None if it is not known."""
        client = self._client(name, vm_list.VmRole.ENGINE)
        return client if isinstance(client, engine.Engine) else None

    def service(self, name: str) -> service.Service | None:
        """Returns the client of a plain service's server, or None."""
        client = self._client(name, vm_list.VmRole.SERVICE)
        return client if isinstance(client, service.Service) else None

    def available_servers(self, service_name: str) -> tuple[str, ...]:
        """Returns the servers of a plain service that accept work."""
        return tuple(
            member.vm.name
            for member in self._members.values()
            if member.accepts_work
            and member.vm.role is vm_list.VmRole.SERVICE
            and member.vm.service == service_name
        )

    def engine_names(self) -> tuple[str, ...]:
        """Returns the names of all engines in the fleet view."""
        return tuple(
            name
            for name, member in self._members.items()
            if member.vm.role is vm_list.VmRole.ENGINE
        )

    async def close(self) -> None:
        """Closes all clients."""
        self._subscription.dispose()
        closing: list[Awaitable[None]] = [
            client.backend.close() for client in self._clients.values()
        ]
        closing += [backend.close() for backend in self._replaced]
        await asyncio.gather(*closing)

    def _on_view(self, view: fleet_view.FleetView) -> None:
        self._members = {member.vm.name: member for member in view.backends}

    def _client(self, name: str, role: vm_list.VmRole) -> Backend | None:
        member = self._members.get(name)
        cached = self._clients.get(name)
        if member is None:
            # A server that left the fleet may still finish its streams.
            return cached.backend if cached is not None else None
        if member.vm.role is not role:
            return None
        if cached is None or cached.address != member.vm.address:
            if cached is not None:
                self._replaced.append(cached.backend)
            cached = _CachedClient(member.vm.address, self._make(member.vm))
            self._clients[name] = cached
        return cached.backend

    def _make(self, vm: vm_list.Vm) -> Backend:
        if vm.role is vm_list.VmRole.ENGINE:
            return self._make_engine(vm)
        return self._make_service(vm)
