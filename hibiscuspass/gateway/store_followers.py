"""Followers of the configuration and of the list of backend servers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any

import attrs

from hibiscuspass.backends import kv_store
from hibiscuspass.backends import txn_store
from hibiscuspass.core.forwarding import cold_servers
from hibiscuspass.core.forwarding import route_table
from hibiscuspass.gateway import backend_follower
from hibiscuspass.gateway import config_copies
from hibiscuspass.gateway import config_follower
from hibiscuspass.gateway import evacuation_follower
from hibiscuspass.gateway import follower
from hibiscuspass.gateway import list_copies
from hibiscuspass.gateway import store_probe
from hibiscuspass.peers import transport as transport_lib
from hibiscuspass.platform import operator_config
from hibiscuspass.platform import server_list

# Interval of the checks whether replies of waiting polls were lost.
_CHECK_INTERVAL_S = 0.1
# Shortest time between two replies with changes of the backend servers, as a
# share of the contact time. During a release each change would otherwise cost
# one call per router.
_BACKEND_INTERVAL_SHARE = 0.2


@attrs.frozen
class _Subscribers(follower.Subscriber):
    """Several subscribers of one prefix."""

    _subscribers: Sequence[follower.Subscriber]

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        """See base class."""
        for each in self._subscribers:
            each.on_list(entries)

    def on_event(self, event: kv_store.WatchEvent) -> None:
        """See base class."""
        for each in self._subscribers:
            each.on_event(event)

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """See base class."""
        for each in self._subscribers:
            each.on_reachability_changed(is_reachable)

    def on_restored(self) -> None:
        """See base class."""
        for each in self._subscribers:
            each.on_restored()


@attrs.define
class StoreFollowers:
    """All followers of one gateway.

    Attributes:
      config: Keeps the newest configuration.
      backends: Keeps the set of backend servers.
      evacuations: Keeps the evacuated failure domains.
    """

    config: config_follower.ConfigFollower
    backends: backend_follower.BackendFollower
    evacuations: evacuation_follower.EvacuationFollower
    _store: txn_store.TxnStore
    _server_entries: list_copies.EntryKeeper
    _followers: Sequence[follower.Follower]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Returns the work of all followers, which runs until cancelled."""
        return [*(f.run() for f in self._followers), self._check()]

    def on_announced(self, prefix: str, revision: int, address: str) -> None:
        """Handles the announcement of a change that a peer has read."""
        for each in self._followers:
            if each.prefix == prefix:
                each.on_announced(revision, address)

    def copy_from_peers(self, transport: transport_lib.Transport) -> None:
        """Makes followers copy from peers what the store gives slowly."""
        for each in self._followers:
            if each.prefix == operator_config.PREFIX:
                each.copies.copier = config_copies.ConfigCopies(
                    transport, self.config, self.evacuations, each
                )
            elif each.prefix == server_list.PREFIX:
                each.copies.copier = list_copies.ListCopies(
                    transport, self._server_entries, each, self._store
                )

    def on_store_unreachable(self) -> None:
        """Reads all prefixes again as soon as the store answers."""
        for each in self._followers:
            each.on_store_unreachable()

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for each in self._followers:
                each.check()


def make_store_followers(
    store: txn_store.TxnStore,
    peers: follower.Peers,
    on_table: Callable[[route_table.RouteTable], None],
    contact_s: float,
    probe: store_probe.StoreProbe,
    cold_bounds: Callable[[], cold_servers.ColdBounds],
) -> StoreFollowers:
    """Creates the followers of a gateway.

    Args:
      store: Store of the configuration and the list of backend servers.
      peers: Routers that follow the same prefixes.
      on_table: Called with each new configuration.
      contact_s: Time within which a lost connection to the store must be
        noticed, in seconds.
      probe: Shows when the store can be reached again.
      cold_bounds: Returns the bound on the requests to a cold server.
    """
    config = config_follower.ConfigFollower(
        operator_config.KEY, operator_config.decode, on_table
    )
    backends = backend_follower.BackendFollower(
        server_list.PREFIX,
        server_list.decode,
        server_list.decode_cold_left_s,
        cold_servers.ColdServers(
            lambda name: (
                config.table.services.get(name) if config.table else None
            ),
            cold_bounds,
        ),
    )
    evacuations = evacuation_follower.EvacuationFollower(
        operator_config.evacuated_domain, backends.backends
    )
    server_entries = list_copies.EntryKeeper()
    return StoreFollowers(
        config,
        backends,
        evacuations,
        store,
        server_entries,
        (
            follower.Follower(
                store,
                operator_config.PREFIX,
                _Subscribers((evacuations, config)),
                peers,
                probe,
                contact_s=contact_s,
            ),
            follower.Follower(
                store,
                server_list.PREFIX,
                _Subscribers((server_entries, backends)),
                peers,
                probe,
                contact_s=contact_s,
                min_interval_s=contact_s * _BACKEND_INTERVAL_SHARE,
            ),
        ),
    )
