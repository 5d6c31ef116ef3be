"""Tests how a router registers and receives its configuration."""

import asyncio

import pytest

from hibiscuspass.core import incarnation
from hibiscuspass.core import reason
from hibiscuspass.core.configuration import entry as entry_lib
from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import messages
from hibiscuspass.core.configuration import record
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.core.membership import fleet_view
from hibiscuspass.router import config_runtime
from hibiscuspass.settings import config_sync
from hibiscuspass.settings import process as process_lib
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import recorder as recorder_lib
from tests import assertions
from tests import config_fakes
from tests import virtual_loop

_PLACE = process_lib.ProcessSettings("a", "127.0.0.1", "domain-a", "north")


class _Fleet:
    """A key-value service and the routers that a test starts."""

    def __init__(self):
        self.data = config_fakes.KvData()
        self.network = config_fakes.Network()
        self.view = config_fakes.FakeFleet()
        self.stores = {}
        self.transports = {}

    async def start(self, process, up=True, **cfg):
        inc = incarnation.parse(process)
        address = f"{inc.name}:1"
        store = config_fakes.FakeKvStore(self.data)
        store.up = up
        transport = config_fakes.FakeTransport(self.network, inc, address)
        self.stores[process] = store
        self.transports[process] = transport
        runtime = config_runtime.make_config_runtime(
            process=inc,
            place=_PLACE,
            peer_address=address,
            store=store,
            transport=transport,
            fleet=self.view,
            recorder=recorder_lib.Recorder(inc),
            cfg=config_sync.ConfigSyncSettings(**cfg),
            kv_timeout_s=1.0,
        )
        self.view.routers += (
            config_fakes.make_router_member(process, address),
        )
        await transport.start()
        await runtime.start()
        return runtime

    def write(self, name, *, priority=5, access_keys=()):
        ws = workspace_lib.Workspace(
            name, priority=priority, access_keys=access_keys
        )
        key = keys.workspace(name)
        current = self.data.values.get(key)
        written = self.data.write(
            key,
            0 if current is None else current.revision,
            record.encode(record.Record(ws)),
        )
        assert written.succeeded
        return written.revision


def _run(scenario):
    virtual_loop.run(scenario(_Fleet()))


def test_the_router_registers_before_it_reads():
    async def scenario(fleet):
        fleet.write("bakery")
        router = await fleet.start("a/1", up=False)
        assertions.assert_refused(
            await router.load("bakery"), reason.Reason.NOT_READY
        )
        assert not router.is_ready()
        fleet.stores["a/1"].up = True
        await asyncio.sleep(5)
        assert keys.member("a/1") in fleet.data.values
        assert (await router.load("bakery")).name == "bakery"

    _run(scenario)


def test_a_registration_whose_reply_was_lost_is_recognised():
    async def scenario(fleet):
        router = await fleet.start("a/1", up=False)
        store = fleet.stores["a/1"]
        store.up = store.lose_replies = True
        await asyncio.sleep(5)
        assert not router.is_ready()
        store.lose_replies = False
        await asyncio.sleep(5)
        assert router.is_ready()

    _run(scenario)


def test_a_watch_delivers_a_change_within_a_second():
    async def scenario(fleet):
        router = await fleet.start("a/1")
        fleet.write("bakery", priority=1)
        await router.load("bakery")
        revision = fleet.write("bakery", priority=2)
        await asyncio.sleep(1)
        assert router.revision("bakery") == revision
        assert router.workspace("bakery").priority == 2

    _run(scenario)


@pytest.mark.parametrize("fault", ["lost", "silent"])
def test_polling_finds_what_the_watch_missed(fault):
    async def scenario(fleet):
        router = await fleet.start("a/1")
        fleet.write("bakery", priority=1)
        await router.load("bakery")
        store = fleet.stores["a/1"]
        store.watch_silent = fault == "silent"
        revision = fleet.write("bakery", priority=2)
        if fault == "lost":
            store.lose_watches()
        await asyncio.sleep(5)
        assert router.revision("bakery") == revision

    _run(scenario)


def test_a_silent_watch_is_opened_again():
    async def scenario(fleet):
        router = await fleet.start("a/1", poll_interval_s=60)
        fleet.write("bakery")
        await router.load("bakery")
        fleet.stores["a/1"].watch_silent = True
        revision = fleet.write("bakery")
        await asyncio.sleep(50)
        assert router.revision("bakery") < revision
        fleet.stores["a/1"].watch_silent = False
        await asyncio.sleep(15)
        next_revision = fleet.write("bakery")
        await asyncio.sleep(1)
        assert router.revision("bakery") == next_revision

    _run(scenario)


def test_peers_pass_changes_on_to_a_router_cut_off_from_the_service():
    async def scenario(fleet):
        first = await fleet.start("a/1")
        second = await fleet.start("b/1")
        fleet.write("bakery")
        await first.load("bakery")
        await second.load("bakery")
        fleet.stores["b/1"].up = False
        fleet.stores["b/1"].lose_watches()
        revision = fleet.write("bakery")
        await asyncio.sleep(1)
        assert second.revision("bakery") == revision

    _run(scenario)


def test_a_router_that_starts_in_an_outage_copies_from_a_peer():
    async def scenario(fleet):
        key, stored = secrets.make_access_key("bakery")
        fleet.write("bakery", access_keys=(stored,))
        first = await fleet.start("a/1")
        await first.load("bakery")
        fleet.stores["a/1"].up = False
        second = await fleet.start("b/1", up=False)
        assert second.is_ready()
        presented = secrets.parse_access_key(key)
        ws = await second.load_by_key_id(presented.key_id)
        assert secrets.is_valid_access_key(ws, presented)
        ack = await fleet.transports["b/1"].request(
            "a:1", messages.ConfigAnnounce(()), timeout_s=1
        )
        assert "b/1" in [r.process for r in ack.routers]
        assertions.assert_refused(
            await second.load("absent"), reason.Reason.UNAVAILABLE
        )

    _run(scenario)


def test_a_router_that_starts_in_an_outage_without_peers_is_not_ready():
    async def scenario(fleet):
        router = await fleet.start("a/1", up=False)
        await asyncio.sleep(60)
        assert not router.is_ready()

    _run(scenario)


def test_an_advertising_peer_registers_routers_that_cannot():
    """Guards against a router that is lost when its advertising peer crashes.

    The router can't reach the key-value service, so the peer registers it.
    """

    async def scenario(fleet):
        await fleet.start("a/1")
        await fleet.start("b/1", up=False)
        await asyncio.sleep(5)
        assert keys.member("b/1") in fleet.data.values

    _run(scenario)


def test_a_graceful_stop_removes_the_registration():
    async def scenario(fleet):
        router = await fleet.start("a/1")
        assert keys.member("a/1") in fleet.data.values
        await router.stop()
        assert keys.member("a/1") not in fleet.data.values

    _run(scenario)


def test_an_advertising_peer_stays_registered_if_handover_fails():
    """Guards against changes accepted without the advertised router."""

    async def scenario(fleet):
        first = await fleet.start("a/1", poll_interval_s=60)
        await fleet.start("b/1", up=False)
        fleet.network.cut.add(frozenset(("a:1", "b:1")))
        await first.stop()
        assert keys.member("a/1") in fleet.data.values

    _run(scenario)


def test_a_restarted_router_removes_its_predecessors_registration():
    async def scenario(fleet):
        first = await fleet.start("a/1")
        await first.abort()
        await fleet.start("a/2")
        assert keys.member("a/1") not in fleet.data.values
        assert keys.member("a/2") in fleet.data.values

    _run(scenario)


def test_a_router_whose_registration_was_removed_reloads():
    """Guards against stale configuration after a removed registration.

    If the VM list omits a running VM, its registration is removed and changes
    are accepted without it, so the router must drop what it has loaded.
    """

    async def scenario(fleet):
        router = await fleet.start("a/1")
        fleet.write("bakery")
        await router.load("bakery")
        stored = fleet.data.values[keys.member("a/1")]
        fleet.data.write(stored.key, stored.revision, None)
        fleet.stores["a/1"].watch_silent = True
        await asyncio.sleep(60)
        assert keys.member("a/1") in fleet.data.values
        assert router.is_ready()
        assert router.workspace("bakery") is None
        assert await router.load("bakery") is not None

    _run(scenario)


def test_routers_that_are_certainly_gone_are_not_advertised():
    async def scenario(fleet):
        await fleet.start("a/1")
        fleet.view.routers += (
            config_fakes.make_router_member(
                "c/1", "c:1", fleet_view.MemberState.GONE
            ),
            config_fakes.make_router_member(
                "d/1", "d:1", fleet_view.MemberState.SUSPECTED
            ),
        )
        ack = await fleet.transports["a/1"].request(
            "a:1", messages.ConfigAnnounce(()), timeout_s=1
        )
        assert [r.process for r in ack.routers] == ["a/1", "d/1"]

    _run(scenario)


def test_an_acknowledgement_contains_the_applied_revision():
    """Guards against acknowledging a malformed entry that was not applied."""

    async def scenario(fleet):
        router = await fleet.start("a/1")
        fleet.write("bakery")
        await router.load("bakery")
        malformed = entry_lib.ConfigEntry("bakery", b"{}", 99)
        ack = await fleet.transports["a/1"].request(
            "a:1", messages.ConfigAnnounce((malformed,)), timeout_s=1
        )
        assert ack.acknowledged[0].revision == router.revision("bakery") < 99

    _run(scenario)


def test_concurrent_loads_of_one_workspace_share_one_read():
    async def scenario(fleet):
        router = await fleet.start("a/1", poll_interval_s=60)
        fleet.write("bakery")
        before = fleet.stores["a/1"].calls
        await asyncio.gather(*(router.load("bakery") for _ in range(50)))
        assert fleet.stores["a/1"].calls == before + 1

    _run(scenario)


@pytest.mark.parametrize("name", ["", "a/b", "../x", "A", "x" * 100])
def test_names_that_no_workspace_can_have_are_not_read(name):
    async def scenario(fleet):
        router = await fleet.start("a/1", poll_interval_s=60)
        before = fleet.stores["a/1"].calls
        assert await router.load(name) is None
        assert fleet.stores["a/1"].calls == before

    _run(scenario)


def test_a_revoked_key_is_not_found_within_a_second():
    async def scenario(fleet):
        router = await fleet.start("a/1")
        _, stored = secrets.make_access_key("bakery")
        fleet.write("bakery", access_keys=(stored,))
        assert await router.load_by_key_id(stored.key_id) is not None
        fleet.write("bakery")
        await asyncio.sleep(1)
        assert await router.load_by_key_id(stored.key_id) is None

    _run(scenario)
