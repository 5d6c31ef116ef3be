"""Tests of copying the configuration from peers while the store is slow."""

import asyncio
import json
import random
import zlib

import pytest

from hibiscuspass.backends import kv_store
from hibiscuspass.core import config_copy
from hibiscuspass.core.configuration import messages as configuration_messages
from hibiscuspass.core.forwarding import backend_set
from hibiscuspass.core.membership import copy_policy
from hibiscuspass.gateway import config_copies
from hibiscuspass.gateway import config_follower
from hibiscuspass.gateway import evacuation_follower
from hibiscuspass.gateway import message_types
from hibiscuspass.gateway import peer_copies
from hibiscuspass.peers import codec
from hibiscuspass.platform import operator_config
from tests import peer_links
from tests import store_link
from tests.soak import proxy

_CONTACT_S = 4.0
# Time within which an acknowledged change must be in force.
_APPLY_S = 3.0
# Time after which a peer with a fast link has a change, and gives a copy.
_PEER_S = 0.4
# Size of a reply in bytes that takes time on a slow link.
_LARGE = 400_000
# What requests leave of a link of 5 Mbit/s at the busiest of many routers.
_BUSY_BYTES_PER_S = 25_000
_SOURCE = copy_policy.Source("10.0.0.1:7000", 5)


class _Peer(peer_copies.Copier):
    """A peer with a fast link to the store.

    Attributes:
      asks: Number of requests for copies.
    """

    def __init__(self, link: store_link.StoreLink, *, fails: bool = False):
        self._link = link
        self._fails = fails
        self.asks = 0

    async def copy(self, address, revision):
        self.asks += 1
        await asyncio.sleep(_PEER_S)
        if self._fails:
            return None
        value, value_revision = self._link.stand_in.items[operator_config.KEY]
        entry = kv_store.KeyValue(operator_config.KEY, value, value_revision)
        return kv_store.ReadResult((entry,), self._link.stand_in.revision)


async def test_large_versions_in_quick_succession_are_in_force_in_time() -> (
    None
):
    """A second value of 1 MB waited for the transfer of the first one."""
    async with (
        store_link.running(_CONTACT_S, store_link.BYTES_PER_S) as link,
        asyncio.timeout(20.0),
    ):
        link.follower.copies.copier = _Peer(link)
        for version in range(2, 6):
            link.put(version, transfer_s=2.2)
            await asyncio.sleep(0.6)
        assert await link.time_until(5) < _APPLY_S - 0.6


async def test_copy_replaces_a_slow_full_read() -> None:
    async with (
        store_link.running(_CONTACT_S, store_link.BYTES_PER_S) as link,
        asyncio.timeout(20.0),
    ):
        link.follower.copies.copier = _Peer(link)
        link.follower.on_store_unreachable()
        await asyncio.sleep(0.05)
        link.put(2, transfer_s=2.2)
        assert await link.time_until(2) < 1.5


async def test_reply_of_the_store_arrives_although_peers_fail() -> None:
    async with (
        store_link.running(_CONTACT_S, store_link.BYTES_PER_S) as link,
        asyncio.timeout(20.0),
    ):
        peer = _Peer(link, fails=True)
        link.follower.copies.copier = peer
        link.put(2, transfer_s=1.8)
        assert await link.time_until(2) < _APPLY_S
        assert peer.asks == 1


async def test_changes_after_a_copy_are_read_from_the_store() -> None:
    async with (
        store_link.running(_CONTACT_S, store_link.BYTES_PER_S) as link,
        asyncio.timeout(20.0),
    ):
        link.follower.copies.copier = _Peer(link)
        link.put(2, transfer_s=1.8)
        await link.time_until(2)
        link.put(3, transfer_s=0.01, is_announced=False)
        assert await link.time_until(3) < 1.0


def test_peers_are_asked_only_while_a_reply_is_slow() -> None:
    policy = copy_policy.CopyPolicy(random.Random(1))
    policy.on_announced(_SOURCE)
    assert policy.choose(4, _LARGE, arriving_since_s=0.0, now_s=0.05) is None
    assert policy.choose(4, _LARGE, arriving_since_s=0.0, now_s=0.2) == _SOURCE
    assert policy.choose(5, _LARGE, arriving_since_s=0.0, now_s=0.2) is None
    not_begun_s = float("inf")
    assert policy.choose(4, _LARGE, not_begun_s, now_s=9.0) is None


def test_first_peer_with_the_newest_change_is_asked() -> None:
    """It has the fastest link; after a failure the next one is asked."""
    policy = copy_policy.CopyPolicy(random.Random(1))
    second = copy_policy.Source("10.0.0.2:7000", 5)
    for source in (_SOURCE, second, copy_policy.Source("10.0.0.3:7000", 4)):
        policy.on_announced(source)
    assert policy.choose(3, _LARGE, 0.0, 1.0) == _SOURCE
    policy.on_failed(_SOURCE)
    assert policy.choose(3, _LARGE, 0.0, 1.0) == second
    newer = copy_policy.Source(_SOURCE.address, 6)
    policy.on_announced(newer)
    assert policy.choose(3, _LARGE, 0.0, 1.0) == newer


def test_reply_on_a_link_that_was_slow_waits_for_a_copy() -> None:
    """Until a copy replaced it, a reply took the link from requests."""
    policy = copy_policy.CopyPolicy(random.Random(1))
    assert policy.hold_s(_LARGE) == 0, "the link may be fast"
    policy.on_transfer(_LARGE, 0.7)
    assert 0.3 <= policy.hold_s(_LARGE) <= 0.6
    assert policy.hold_s(1000) == 0
    policy.on_announced(_SOURCE)
    assert policy.choose(4, _LARGE, arriving_since_s=0.0, now_s=0.0) == _SOURCE
    policy.on_transfer(1000, 0.001)
    assert policy.hold_s(_LARGE) > 0, "a short reply shows nothing"
    policy.on_transfer(_LARGE, 0.04)
    assert policy.hold_s(_LARGE) == 0, "the link was only busy"


async def test_copy_replaces_a_held_reply() -> None:
    async with (
        store_link.running(_CONTACT_S, store_link.BYTES_PER_S) as link,
        asyncio.timeout(20.0),
    ):
        link.follower.copies.copier = peer = _Peer(link)
        link.follower.copies.on_transfer(_LARGE, 0.7)
        sent = link.proxy.bytes_sent
        for version in range(2, 6):
            link.put(version, transfer_s=2.2)
            assert await link.time_until(version) < 1.0
        assert peer.asks == 4
        assert link.proxy.bytes_sent - sent < 2 * store_link.BYTES_PER_S


async def test_held_reply_arrives_if_no_peer_has_it() -> None:
    async with (
        store_link.running(_CONTACT_S, store_link.BYTES_PER_S) as link,
        asyncio.timeout(20.0),
    ):
        link.follower.copies.copier = peer = _Peer(link)
        link.follower.copies.on_transfer(_LARGE, 0.7)
        link.put(2, transfer_s=1.5, is_announced=False)
        assert await link.time_until(2) < _APPLY_S
        assert peer.asks == 0


async def test_changes_are_copied_while_the_store_is_out_of_reach() -> None:
    """Peers had a change seconds before a router that found no link to it."""
    async with (
        store_link.running(_CONTACT_S) as link,
        asyncio.timeout(20.0),
    ):
        link.follower.copies.copier = peer = _Peer(link)
        link.proxy.mode = proxy.Mode.SILENT
        link.follower.on_store_unreachable()
        await asyncio.sleep(2.0)
        for version in (2, 3):
            link.put(version, transfer_s=0.01)
            assert await link.time_until(version) < 1.0
        assert peer.asks == 2
        link.proxy.mode = proxy.Mode.PASS
        link.put(4, transfer_s=0.01, is_announced=False)
        assert await link.time_until(4) < _APPLY_S


def test_second_peer_is_asked_if_the_first_is_silent() -> None:
    """A peer that lost power after its announcement delayed the copy."""
    policy = copy_policy.CopyPolicy(random.Random(1))
    second = copy_policy.Source("10.0.0.2:7000", 5)
    policy.on_announced(_SOURCE)
    policy.on_announced(second)
    policy.on_ask(_SOURCE, 1.0)
    assert policy.choose(4, _LARGE, 0.0, 1.2) is None
    assert policy.choose(4, _LARGE, 0.0, 1.3) == second
    policy.on_ask(second, 1.3)
    assert policy.choose(4, _LARGE, 0.0, 2.0) is None
    policy.on_end(_SOURCE)
    assert policy.choose(4, _LARGE, 0.0, 2.0) == _SOURCE


async def test_silent_peer_does_not_delay_a_copy() -> None:
    class _Silent(_Peer):
        async def copy(self, address, revision):
            if address == store_link.PEER:
                await asyncio.sleep(30.0)
            return await super().copy(address, revision)

    async with (
        store_link.running(_CONTACT_S, store_link.BYTES_PER_S) as link,
        asyncio.timeout(20.0),
    ):
        link.follower.copies.copier = _Silent(link)
        link.put(2, transfer_s=2.5)
        link.follower.on_announced(link.stand_in.revision, "127.0.0.1:2")
        assert await link.time_until(2) < 1.5


class _Follower:
    """Stands for a follower that has read some changes."""

    def __init__(self, newest_change: int) -> None:
        self.newest_change = newest_change


def _evacuations(
    *domains: str,
) -> evacuation_follower.EvacuationFollower:
    evacuations = evacuation_follower.EvacuationFollower(
        operator_config.evacuated_domain, backend_set.BackendSet()
    )
    evacuations.on_list(
        [
            kv_store.KeyValue(operator_config.evacuation_key(d), b"{}", 3)
            for d in domains
        ]
    )
    return evacuations


def _config(value: bytes | None) -> config_follower.ConfigFollower:
    config = config_follower.ConfigFollower(
        operator_config.KEY, operator_config.decode, lambda _: None
    )
    if value is not None:
        config.on_list([kv_store.KeyValue(operator_config.KEY, value, 7)])
    return config


def _random_config(version: int, routes: int) -> bytes:
    """Returns a configuration whose names can't be compressed much."""
    rng = random.Random(1)
    names = [f"{rng.getrandbits(160):040x}" for _ in range(routes)]
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": name[:20],
                    "host": f"{name[20:30]}.example",
                    "path_prefix": f"/{name[30:]}/",
                    "kind": "idempotent",
                    "timeout_ms": 800,
                    "service": "app",
                }
                for name in names
            ],
            "services": [{"name": "app"}],
        }
    ).encode()


async def test_router_whose_link_is_busy_has_a_change_in_time() -> None:
    """Requests leave little of a link, and each version was sent whole.

    Several changes, one each second or so, were late at the router with the
    most requests, or it had none of them.
    """
    client, server = peer_links.make("a"), peer_links.make("b")
    for transport in (client, server):
        transport._codec.registry.add(config_copy.OperatorConfigCopy)
    async with (
        store_link.running(_CONTACT_S) as link,
        peer_links.running(client, server),
        asyncio.timeout(60.0),
    ):
        peer_link = proxy.Proxy(server.address, random.Random(1))
        await peer_link.start()
        peer = _config(None)
        reader = _Follower(0)
        config_copies.ConfigCopies(server, peer, _evacuations(), reader)
        link.follower.copies.copier = config_copies.ConfigCopies(
            client, link.config, _evacuations(), link.follower
        )
        # The proxy reads short pieces only while its bandwidth is limited.
        link.proxy.bytes_per_s = peer_link.bytes_per_s = 1e8
        link.put_value(_random_config(2, routes=2000))
        await link.time_until(2)
        assert link.config.entry is not None
        peer.on_list([link.config.entry])
        link.proxy.bytes_per_s = peer_link.bytes_per_s = _BUSY_BYTES_PER_S
        for version in range(3, 6):
            value = _random_config(version, routes=2000)
            link.put_value(value)
            revision = link.stand_in.revision
            peer.on_list(
                [kv_store.KeyValue(operator_config.KEY, value, revision)]
            )
            reader.newest_change = revision
            await asyncio.sleep(0.05)
            link.follower.on_announced(revision, peer_link.address)
            assert await link.time_until(version) < _APPLY_S - 1.2
        await peer_link.close()


@pytest.mark.usefixtures("each_transport")
async def test_peers_give_each_other_the_configuration() -> None:
    value = store_link.make_config(3, transfer_s=1.5)
    client, server = peer_links.make("a"), peer_links.make("b")
    for transport in (client, server):
        transport._codec.registry.add(config_copy.OperatorConfigCopy)
    async with peer_links.running(client, server):
        config_copies.ConfigCopies(
            server, _config(value), _evacuations("a", "b"), _Follower(9)
        )
        copies = config_copies.ConfigCopies(
            client, _config(None), _evacuations(), _Follower(0)
        )
        result = await copies.copy(server.address, 8)
        assert result is not None
        assert (result.revision, result.entries[0].revision) == (9, 7)
        assert result.entries[0].value == value
        keys = [e.key for e in result.entries[1:]]
        assert keys == ["op/evacuate/a", "op/evacuate/b"]
        assert await copies.copy(server.address, 10) is None
        assert await copies.copy(server.address, 8) == result
        assert await copies.copy("127.0.0.1:9", 8) is None


def test_value_that_a_peer_cannot_decode_is_copied_too() -> None:
    """A later version of the program may decode it."""
    config = _config(store_link.make_config(3, transfer_s=0.01))
    unknown = kv_store.KeyValue(operator_config.KEY, b"{]", 8)
    config.on_list([unknown])
    assert config.table is not None
    assert config.table.version == 3
    assert config.entry == unknown


async def test_unreadable_copy_is_ignored() -> None:
    class _Transport:
        def register(self, msg_type, handler) -> None:
            pass

        async def request(self, address, msg, *, timeout_s):
            return config_copy.OperatorConfigCopy(
                9, 7, random.Random(1).randbytes(50), []
            )

    copies = config_copies.ConfigCopies(
        _Transport(), _config(None), _evacuations(), _Follower(0)
    )
    assert await copies.copy("10.0.0.1:7000", 8) is None


async def test_copy_that_says_nothing_of_evacuations_is_not_used() -> None:
    """The evacuation would be skipped, since later polls start after it."""

    class _Transport:
        def register(self, msg_type, handler) -> None:
            pass

        async def request(self, address, msg, *, timeout_s):
            return config_copy.OperatorConfigCopy(9, 7, zlib.compress(b"{}"))

    copies = config_copies.ConfigCopies(
        _Transport(), _config(None), _evacuations(), _Follower(0)
    )
    assert await copies.copy("10.0.0.1:7000", 8) is None


def test_types_of_messages_are_known_to_gateways() -> None:
    assert config_copy.OperatorConfigCopy in message_types.WITHOUT_HANDLER


def test_names_of_messages_differ_from_those_of_other_programs() -> None:
    """A process that had loaded both could not start a gateway."""
    registry = codec.Registry()
    types = (*message_types.WITHOUT_HANDLER, config_copy.AskOperatorConfig)
    for msg_type in (*types, configuration_messages.ConfigCopy):
        registry.add(msg_type)
