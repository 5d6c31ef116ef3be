"""Tests of copying the list of backend servers while the store is silent."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random

import attrs
import pytest

from hibiscuspass.backends import kv_store
from hibiscuspass.core import list_copy
from hibiscuspass.core import reason as reason_lib
from hibiscuspass.core import refusal
from hibiscuspass.gateway import follower as follower_lib
from hibiscuspass.gateway import list_copies
from hibiscuspass.gateway import store_probe
from hibiscuspass.peers import transport as transport_lib
from tests import memory_store
from tests import peer_links

_PREFIX = "servers/"
_ADDRESS = "127.0.0.1:1"
_CONTACT_S = 3.0
_MIN_INTERVAL_S = 0.6


class _SlowStore(memory_store.MemoryStore):
    """Keeps replies back until `heard` is set.

    Attributes:
      heard: Set while replies arrive at once.
      reads: Number of full reads.
      polls: Number of polls and checks.
    """

    def __init__(self) -> None:
        super().__init__()
        self.polls = 0
        self.heard = asyncio.Event()
        self.heard.set()
        self.reads = 0

    async def get_prefix(self, prefix, *, timeout_s, **options):
        self.reads += 1
        # Replies arrive as a whole.
        del options["on_reply"]
        reply = await super().get_prefix(prefix, timeout_s=timeout_s, **options)
        return await self._deliver(reply, timeout_s)

    async def poll(self, prefix, after, *, timeout_s, **options):
        del options["on_reply"]
        self.polls += 1
        reply = await super().poll(
            prefix, after, timeout_s=timeout_s, **options
        )
        return await self._deliver(reply, timeout_s)

    async def _deliver(self, reply, timeout_s):
        try:
            await asyncio.wait_for(self.heard.wait(), timeout_s)
        except TimeoutError:
            return refusal.Refusal(reason_lib.Reason.TIMEOUT, "no reply")
        return reply


async def _wait_until(is_true: Callable[[], bool], timeout_s: float) -> None:
    for _ in range(round(timeout_s / 0.01)):
        if is_true():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError


class _Keeper(list_copies.EntryKeeper):
    """Records the lists that it was given.

    Attributes:
      lists: Values by key of each list.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lists: list[dict[str, bytes]] = []

    def on_list(self, entries: Sequence[kv_store.KeyValue]) -> None:
        super().on_list(entries)
        self.lists.append({e.key: e.value for e in entries})


class _NoPeers(follower_lib.Peers):
    def announce(self, prefix: str, revision: int) -> None:
        pass


@attrs.define
class _Router:
    """A follower of a list.

    Attributes:
      follower: Follows the list.
      keeper: Keeps what was read.
    """

    follower: follower_lib.Follower
    keeper: _Keeper

    @property
    def values(self) -> dict[str, bytes]:
        """Values by key."""
        return {k: e.value for k, e in self.keeper.entries.entries.items()}

    async def wait_for(
        self, values: dict[str, bytes], timeout_s: float
    ) -> None:
        """Returns when the router has read a list."""
        await _wait_until(lambda: self.values == values, timeout_s)


@contextlib.asynccontextmanager
async def _router(
    store: memory_store.MemoryStore,
    transport: transport_lib.Transport,
    min_interval_s: float = 0.0,
) -> AsyncIterator[_Router]:
    keeper = _Keeper()
    follower = follower_lib.Follower(
        store,
        _PREFIX,
        keeper,
        _NoPeers(),
        store_probe.StoreProbe(store),
        contact_s=_CONTACT_S,
        min_interval_s=min_interval_s,
    )
    follower.copies.copier = list_copies.ListCopies(
        transport, keeper, follower, store
    )

    async def check() -> None:
        while True:
            await asyncio.sleep(0.05)
            follower.check()

    tasks = [asyncio.create_task(c) for c in (follower.run(), check())]
    try:
        yield _Router(follower, keeper)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


@attrs.define
class _Fleet:
    """A router whose store is silent at times, and a peer.

    Attributes:
      store: Store of both.
      slow: The store as the first router hears it.
      router: Router with the slow store.
      peer: Its peer.
      address: Address of the peer.
    """

    store: memory_store.MemoryStore
    slow: _SlowStore
    router: _Router
    peer: _Router
    address: str

    async def put(
        self, writes: dict[str, bytes], deletes: tuple[str, ...] = ()
    ) -> None:
        """Changes entries; the peer has read them when this returns."""
        for store in (self.store, self.slow):
            store.apply({}, writes, deletes)
        await self.peer.wait_for(self.values, 2.0)

    @property
    def values(self) -> dict[str, bytes]:
        """Values in the store by key."""
        return {k: e.value for k, e in self.store.items.items()}

    def announce(self) -> None:
        """Tells the router that its peer has read all changes."""
        self.router.follower.on_announced(
            self.peer.follower.newest_change, self.address
        )


@contextlib.asynccontextmanager
async def _fleet() -> AsyncIterator[_Fleet]:
    client, server = peer_links.make("a"), peer_links.make("b")
    for transport in (client, server):
        transport._codec.registry.add(list_copy.EntriesCopy)
    store, slow = memory_store.MemoryStore(), _SlowStore()
    async with (
        peer_links.running(client, server),
        _router(slow, client, _MIN_INTERVAL_S) as router,
        _router(store, server) as peer,
    ):
        fleet = _Fleet(store, slow, router, peer, server.address)
        await fleet.put({"servers/a": b"ready", "servers/b": b"ready"})
        await router.wait_for(fleet.values, 2.0)
        yield fleet


@pytest.mark.usefixtures("each_transport")
async def test_changes_are_copied_while_a_check_is_not_answered() -> None:
    """A busy link held up the store's replies for seconds.

    Requests were sent to servers that had left.
    """
    async with _fleet() as fleet:
        fleet.slow.heard.clear()
        await fleet.put({"servers/a": b"draining"}, ("servers/b",))
        fleet.announce()
        await fleet.router.wait_for({"servers/a": b"draining"}, 1.0)


async def test_changes_are_copied_while_a_read_is_not_answered() -> None:
    async with _fleet() as fleet:
        fleet.slow.heard.clear()
        fleet.router.follower.on_store_unreachable()
        await _wait_until(lambda: fleet.slow.reads == 2, 2.0)
        await fleet.put({"servers/a": b"draining"})
        fleet.announce()
        await fleet.router.wait_for(fleet.values, 1.0)


async def test_late_reply_does_not_replace_a_newer_copy() -> None:
    """The reply was sent before the change that the copy has."""
    async with _fleet() as fleet:
        fleet.slow.heard.clear()
        fleet.router.follower.on_store_unreachable()
        await _wait_until(lambda: fleet.slow.reads == 2, 2.0)
        await fleet.put({"servers/a": b"draining"})
        fleet.announce()
        await fleet.router.wait_for(fleet.values, 1.0)
        lists = len(fleet.router.keeper.lists)
        fleet.slow.heard.set()
        await _wait_until(lambda: len(fleet.router.keeper.lists) > lists, 1.0)
        assert fleet.router.keeper.lists[lists] == fleet.values
        await fleet.put({"servers/c": b"ready"})
        await fleet.router.wait_for(fleet.values, 1.0)


async def test_changes_between_two_polls_are_copied() -> None:
    """The second one came 0.6 s later, or never if the link was busy then."""
    async with _fleet() as fleet:
        await fleet.put({"servers/a": b"draining"})
        await fleet.router.wait_for(fleet.values, 1.0)
        polls = fleet.slow.polls
        await fleet.put({"servers/b": b"draining"})
        fleet.announce()
        await fleet.router.wait_for(fleet.values, _MIN_INTERVAL_S / 2)
        assert fleet.slow.polls == polls


async def test_peer_that_missed_a_removal_gives_the_whole_list() -> None:
    """The removal shows only in its full read."""
    async with _fleet() as fleet:
        fleet.slow.heard.clear()
        await fleet.put({}, ("servers/b",))
        fleet.peer.keeper.entries._removed.clear()
        await fleet.put({"servers/c": b"ready"})
        fleet.announce()
        await fleet.router.wait_for(
            {"servers/a": b"ready", "servers/c": b"ready"}, 1.0
        )


class _Transport:
    """Answers with a scripted reply."""

    def __init__(self, reply: object) -> None:
        self._reply = reply

    def register(self, msg_type, handler) -> None:
        pass

    async def request(self, address, msg, *, timeout_s):
        return self._reply


@pytest.mark.parametrize(
    "reply",
    [
        None,
        list_copy.EntriesCopy(0),
        list_copy.EntriesCopy(9, None, random.Random(1).randbytes(50)),
        # Of another list, and of another era.
        list_copy.EntriesCopy(9, None, b"x\x9cc\x00\x00\x00\x01\x00\x01"),
        list_copy.EntriesCopy(9, 5, b"x\x9cc\x00\x00\x00\x01\x00\x01"),
    ],
)
async def test_unusable_copy_is_ignored(reply: object) -> None:
    keeper = list_copies.EntryKeeper()
    keeper.on_list([kv_store.KeyValue("servers/a", b"ready", 3)])
    store = memory_store.MemoryStore()
    follower = follower_lib.Follower(
        store,
        _PREFIX,
        keeper,
        _NoPeers(),
        store_probe.StoreProbe(store),
        contact_s=_CONTACT_S,
    )
    follower.newest_change = 3
    copies = list_copies.ListCopies(_Transport(reply), keeper, follower, store)
    assert await copies.copy(_ADDRESS, 8) is None
